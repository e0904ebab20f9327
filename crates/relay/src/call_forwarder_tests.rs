use crate::{call_forwarder::CallRequest, forwarding::Hop};
use bytes::Bytes;
use googletest::prelude::*;
use http::{HeaderMap, Method, Uri};
use poplarswitch_entity::{ServiceName, Time, WorkspaceName};
use poplarswitch_ingress::{
    Call, Config, RequestId, RequestParts, RouteKind, RouteSpec, RoutingTable, Target, VersionPin,
    WorkspaceSpec,
};
use std::sync::Arc;

/// The key of a call belongs to the workspace `owner`.
fn table(owner: &str) -> RoutingTable {
    let route = RouteSpec {
        name: "all".into(),
        host: "tours.example".into(),
        prefix: "/".into(),
        kind: RouteKind::Unsafe,
        timeout: None,
        objective: None,
        max_gap: None,
        max_attempts: 1,
        priority: 1,
        public: false,
        targets: vec![Target {
            service: ServiceName::new("seats"),
            weight: 1,
        }],
    };
    let workspaces = [("guides", 0), ("agents", 4)].map(|(name, priority)| WorkspaceSpec {
        name: WorkspaceName::new(name),
        keys: (name == owner).then(|| "k1".into()).into_iter().collect(),
        priority: Some(priority),
    });
    RoutingTable::new(Config {
        version: 7,
        routes: vec![Arc::new(route)],
        workspaces: Some(workspaces.into()),
        ..Config::default()
    })
}

/// A key moved to another workspace while a long body arrived; the call ran as the former one.
#[gtest]
fn call_runs_as_the_workspace_that_its_key_belongs_to() {
    let before = table("guides");
    let route = before.route("tours.example", "/").unwrap();
    let mut request = CallRequest {
        route: Arc::clone(route),
        service: ServiceName::new("seats"),
        call: Call {
            key: Some("k1".into()),
            ..Call::default()
        },
        method: Method::POST,
        uri: Uri::from_static("/"),
        headers: HeaderMap::new(),
        body: Bytes::new(),
        host: "tours.example".into(),
        workspace: Some("guides".into()),
        priority: 0,
        arrived: Time::ZERO,
        deadline: Time::ZERO,
        pin: VersionPin::Any,
        id: RequestId::new(&RequestParts {
            host: "tours.example",
            method: "POST",
            path: "/",
            caller: "guides",
            body: b"",
        }),
        hop: Hop::Caller,
        is_counted: true,
    };
    let after = table("agents");
    let route = after.route("tours.example", "/").unwrap();
    request.set_caller(&after, route);
    expect_that!(request.workspace.as_deref(), some(eq("agents")));
    expect_that!(request.priority, gt(0));
}
