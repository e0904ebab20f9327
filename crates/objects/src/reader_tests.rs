use crate::{Kind, MAX_FILE_BYTES, read_dir};
use googletest::prelude::*;
use std::{fs, path::Path};
use tempfile::TempDir;

const TIER: &str = r#"{"kind": "tier", "name": "high", "rank": 0}"#;

fn directory(files: &[(&str, &str)]) -> TempDir {
    let root = TempDir::new().expect("a directory");
    for (file, text) in files {
        let path = root.path().join(file);
        fs::create_dir_all(path.parent().expect("a parent")).expect("a directory");
        fs::write(path, text).expect("a file");
    }
    root
}

#[gtest]
fn set_gives_location_of_each_object() {
    let list = format!("[{TIER}, {TIER}]");
    let root = directory(&[
        ("b/tiers.json", &list),
        ("a.json", TIER),
        ("README.md", "#"),
    ]);
    let located = read_dir(root.path()).expect("all files are valid");
    let locations: Vec<String> = (0..3)
        .filter_map(|index| located.location(Kind::Tier, index))
        .map(ToString::to_string)
        .collect();
    expect_that!(
        locations,
        eq(&["a.json", "b/tiers.json[0]", "b/tiers.json[1]"])
    );
    expect_that!(located.set.len(), eq(3));
}

#[gtest]
fn errors_of_all_files_are_reported_together() {
    let large = " ".repeat(MAX_FILE_BYTES as usize + 1);
    let root = directory(&[("a.json", "{"), ("b.json", &large), ("c.json", "[1, 2]")]);
    let errors = read_dir(root.path()).expect_err("all files are invalid");
    let texts: Vec<String> = errors.iter().map(ToString::to_string).collect();
    expect_that!(texts.len(), eq(4));
    expect_that!(
        texts[1],
        eq("b.json: has 1048577 bytes, expected at most 1048576")
    );
}

#[gtest]
fn files_of_version_control_are_skipped() {
    let root = directory(&[(".git/x.json", "{"), ("a.json", TIER)]);
    let located = read_dir(root.path()).expect("the visible file is valid");
    expect_that!(located.set.len(), eq(1));
}

#[gtest]
fn missing_directory_is_an_error() {
    let errors = read_dir(Path::new("/nonexistent")).expect_err("nothing to read");
    expect_that!(errors.len(), eq(1));
    expect_that!(
        errors[0].to_string(),
        starts_with(".: cannot be read: No such file")
    );
}

#[cfg(unix)]
#[gtest]
fn cycle_of_symbolic_links_is_an_error() {
    let root = directory(&[("a.json", TIER)]);
    std::os::unix::fs::symlink(root.path(), root.path().join("loop")).expect("a link");
    let errors = read_dir(root.path()).expect_err("the cycle is reported");
    expect_that!(errors.is_empty(), eq(false));
}

#[cfg(unix)]
#[gtest]
fn dangling_symbolic_link_is_an_error() {
    let root = directory(&[("a.json", TIER)]);
    std::os::unix::fs::symlink("gone", root.path().join("b.json")).expect("a link");
    let errors = read_dir(root.path()).expect_err("the link is reported");
    expect_that!(errors[0].location.to_string(), eq("b.json"));
}
