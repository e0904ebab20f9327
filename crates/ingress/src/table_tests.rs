use crate::{Access, Config, RouteKind, RouteSpec, RoutingTable, Target, WorkspaceSpec};
use googletest::prelude::*;
use poplarswitch_entity::{ServiceName, WorkspaceName};
use std::sync::Arc;

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

fn shared(routes: impl IntoIterator<Item = RouteSpec>) -> Vec<Arc<RouteSpec>> {
    routes.into_iter().map(Arc::new).collect()
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
        routes: shared([
            route("all", "/", 2),
            route("seats", "/seats/", 0),
            route("notes", "/notes/", 1),
        ]),
        workspaces: Some(vec![
            workspace("guides", "k1", Some(0)),
            workspace("agents", "k2", Some(1)),
            workspace("mushers", "k3", None),
        ]),
        ..Config::default()
    })
}

#[gtest]
fn longest_prefix_is_selected() {
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

/// Prefixes that sort between a path and its own prefix don't hide that one.
#[gtest]
fn longest_prefix_is_found_among_many() {
    let prefixes = ["/", "/a/", "/a/b/", "/a/bz/", "/a/b/c0/", "/ä/", "/ä/ö/"];
    let all = prefixes.map(|prefix| route(prefix, prefix, 0));
    let numbered = (0..2_000).map(|n| format!("/a/b/c/{n}/"));
    let numbered = numbered.map(|prefix| route(&prefix, &prefix, 0));
    let table = RoutingTable::new(Config {
        version: 1,
        routes: shared(all.into_iter().chain(numbered)),
        ..Config::default()
    });
    for path in [
        "/a/b/c/1999/x",
        "/a/b/c/20000/",
        "/a/c/d",
        "/a",
        "/a/",
        "/ä/ö",
        "/ä/öx/",
        "/a/bz/y",
        "/z",
        "",
    ] {
        let specs = &table.config().routes;
        let matching = specs.iter().filter(|spec| path.starts_with(&*spec.prefix));
        let longest = matching.max_by_key(|spec| spec.prefix.len());
        let found = table.route("tours.example", path);
        assert_that!(found, eq(longest), "{path}");
    }
}

#[gtest]
fn key_identifies_its_workspace() {
    let table = table();
    let route = table.route("tours.example", "/seats/").unwrap();
    let granted = table.access(route, Some("k2"));
    expect_that!(granted, matches_pattern!(Access::Granted(_)));
    expect_that!(table.access(route, Some("k9")), eq(&Access::Denied));
    expect_that!(table.access(route, None), eq(&Access::Denied));
}

/// A request with a key that was taken away, or that no workspace ever had, ran on a public route (ROUTE,
/// CONFIG).
#[gtest]
fn public_route_needs_no_key_and_denies_an_unknown_one() {
    let mut public = route("all", "/", 0);
    public.public = true;
    let table = RoutingTable::new(Config {
        version: 1,
        routes: shared([public]),
        workspaces: Some([].into()),
        ..Config::default()
    });
    let route = table.route("tours.example", "/x").unwrap();
    expect_that!(table.access(route, None), eq(&Access::Open));
    expect_that!(table.access(route, Some("k9")), eq(&Access::Denied));
}

#[gtest]
fn no_key_is_needed_without_workspaces() {
    let table = RoutingTable::new(Config {
        version: 1,
        routes: shared([route("all", "/", 0)]),
        ..Config::default()
    });
    let route = table.route("tours.example", "/x").unwrap();
    expect_that!(table.access(route, None), eq(&Access::Open));
}

/// Engines preempt the call of the lowest rank. When the rank depended on the workspace's priority
/// alone, all calls of a workspace had equal ranks, and calls of a route with higher priority were
/// preempted while those of a lower one continued.
#[gtest]
fn route_priority_orders_calls_of_equal_workspaces() {
    let table = table();
    let rank = |path, key| {
        let route = table.route("tours.example", path).unwrap();
        match table.access(route, Some(key)) {
            Access::Granted(workspace) => table.rank(route, Some(&workspace)),
            _ => panic!("access with key {key} is not granted"),
        }
    };
    expect_that!(rank("/seats/", "k2"), lt(rank("/notes/", "k2")));
    expect_that!(rank("/notes/", "k2"), lt(rank("/x", "k2")));
    expect_that!(rank("/x", "k1"), lt(rank("/seats/", "k2")));
    expect_that!(rank("/seats/", "k1"), eq(0));
}

#[gtest]
fn ranks_stay_within_the_engine_limit() {
    let workspaces = (0..8).map(|n| workspace("w", "k", Some(n)));
    let routes = (0..5).map(|n| route("r", "/", n));
    let table = RoutingTable::new(Config {
        version: 1,
        routes: shared(routes),
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
fn calls_are_split_by_the_target_weights() {
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
