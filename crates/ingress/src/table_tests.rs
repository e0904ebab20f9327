use crate::{Access, Config, RouteKind, RouteSpec, RoutingTable, Target, WorkspaceSpec};
use googletest::prelude::*;
use poplarswitch_entity::{ServiceName, WorkspaceName};

fn route(name: &str, prefix: &str, priority: u8) -> RouteSpec {
    RouteSpec {
        name: name.into(),
        host: "Tours.example".into(),
        prefix: prefix.into(),
        kind: RouteKind::Safe,
        timeout: None,
        objective: None,
        max_gap: None,
        max_attempts: 1,
        priority,
        public: false,
        targets: vec![Target {
            service: ServiceName::new("chat"),
            weight: 1,
        }],
    }
}

fn workspace(name: &str, key: &str, priority: Option<u8>) -> WorkspaceSpec {
    WorkspaceSpec {
        name: WorkspaceName::new(name),
        keys: vec![key.into()],
        priority,
    }
}

fn table() -> RoutingTable {
    RoutingTable::new(Config {
        version: 7,
        routes: vec![
            route("all", "/", 2),
            route("seats", "/seats/", 0),
            route("notes", "/notes/", 1),
        ],
        workspaces: Some(vec![
            workspace("guides", "k1", Some(0)),
            workspace("agents", "k2", Some(1)),
            workspace("mushers", "k3", None),
        ]),
        ..Config::default()
    })
}

#[gtest]
fn the_longest_prefix_wins() {
    let table = table();
    let name = |path| {
        table
            .route("tours.example:80", path)
            .map(|r| r.name.to_string())
    };
    expect_that!(name("/seats/3"), some(eq("seats")));
    expect_that!(name("/seats"), some(eq("all")));
    expect_that!(table.route("other.example", "/seats/3"), none());
}

#[gtest]
fn a_key_names_its_workspace() {
    let table = table();
    let route = table.route("tours.example", "/seats/").unwrap();
    let granted = table.access(route, Some("k2"));
    expect_that!(granted, matches_pattern!(Access::Granted(_)));
    expect_that!(table.access(route, Some("k9")), eq(&Access::Denied));
    expect_that!(table.access(route, None), eq(&Access::Denied));
}

#[gtest]
fn without_workspaces_no_key_is_needed() {
    let table = RoutingTable::new(Config {
        version: 1,
        routes: vec![route("all", "/", 0)],
        ..Config::default()
    });
    let route = table.route("tours.example", "/x").unwrap();
    expect_that!(table.access(route, None), eq(&Access::Open));
}

/// Engines preempt the least urgent call. With the workspace's priority alone, all calls of one
/// workspace were equal, and briefings were preempted while planner chats ran on.
#[gtest]
fn among_equal_workspaces_the_route_decides_the_rank() {
    let table = table();
    let rank = |path, key| {
        let route = table.route("tours.example", path).unwrap();
        match table.access(route, Some(key)) {
            Access::Granted(workspace) => table.rank(route, Some(&workspace)),
            _ => panic!("key {key} is known"),
        }
    };
    expect_that!(rank("/seats/", "k2"), lt(rank("/notes/", "k2")));
    expect_that!(rank("/notes/", "k2"), lt(rank("/x", "k2")));
    expect_that!(rank("/x", "k1"), lt(rank("/seats/", "k2")));
    expect_that!(rank("/seats/", "k1"), eq(0));
}

#[gtest]
fn ranks_stay_within_what_engines_know() {
    let workspaces = (0..8).map(|n| workspace("w", "k", Some(n)));
    let routes = (0..5).map(|n| route("r", "/", n));
    let table = RoutingTable::new(Config {
        version: 1,
        routes: routes.collect(),
        workspaces: Some(workspaces.collect()),
        ..Config::default()
    });
    let last = crate::Workspace {
        name: WorkspaceName::new("w"),
        priority: Some(7),
    };
    expect_that!(table.rank(&route("r", "/", 4), Some(&last)), eq(9));
}

#[gtest]
fn a_split_route_keeps_to_its_weights() {
    let table = table();
    let mut split = route("split", "/", 0);
    split.targets = vec![
        Target {
            service: ServiceName::new("old"),
            weight: 900,
        },
        Target {
            service: ServiceName::new("new"),
            weight: 100,
        },
    ];
    let to_new = (0..10_000)
        .filter(|n| {
            table
                .select_target(&split, &n.to_string())
                .is_some_and(|s| s.as_str() == "new")
        })
        .count();
    expect_that!(to_new, all![gt(850), lt(1_150)]);
}
