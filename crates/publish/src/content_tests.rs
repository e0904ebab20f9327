use crate::{Blob, Change, ChangeKind, Content, Manifest, canonical, changes, join};
use googletest::prelude::*;
use poplarswitch_objects::{ObjectSet, Workspace};

fn set(weights: &[u32]) -> ObjectSet {
    let workspaces = weights.iter().enumerate().map(|(index, weight)| {
        let name = format!("w-{index}");
        Workspace::builder()
            .name(name.as_str())
            .weight(*weight)
            .build()
    });
    ObjectSet {
        workspaces: workspaces.collect(),
        ..ObjectSet::default()
    }
}

fn parts(content: &Content) -> Vec<&Blob> {
    let parts = content.manifest.parts.iter();
    parts.map(|part| &content.blobs[&part.hash]).collect()
}

#[gtest]
fn joined_parts_equal_the_canonical_set() {
    let set = set(&[1; 2_000]);
    let content = Content::split(&set, 1, None);
    expect_that!(content.manifest.parts.len(), gt(8));
    let joined = join(parts(&content).into_iter()).expect("parses");
    expect_that!(joined, eq(&canonical(set)));
}

#[gtest]
fn a_change_rewrites_one_part_and_the_manifest() {
    let mut weights = vec![1; 2_000];
    let old = Content::split(&set(&weights), 1, None);
    weights[7] = 2;
    let new = Content::split(&set(&weights), 2, Some(&old.manifest));
    expect_that!(new.new_refs(2).len(), eq(2));
    let root = &new.blobs[&new.root.hash];
    expect_that!(Manifest::parse(root).expect("parses"), eq(&new.manifest));
}

#[gtest]
fn changes_lists_added_and_altered_objects() {
    let changed = changes(&set(&[1, 1]), &set(&[1, 2, 3]));
    let change = |name: &str, change| Change {
        kind: "workspace".to_owned(),
        name: name.to_owned(),
        change,
    };
    let expected = vec![
        change("w-1", ChangeKind::Altered),
        change("w-2", ChangeKind::Added),
    ];
    expect_that!(changed, eq(&expected));
}
