//! The metrics port under many short connections; the operators' port uses the same server.

mod common;

use common::{Backends, start_node};
use core::time::Duration;
use googletest::prelude::*;
use poplarswitch_standins::EngineSpec;
use std::thread;
use ureq::Agent;

/// Number of concurrent clients.
const CLIENT_COUNT: usize = 8;
/// Connections that each client opens, one after another.
const CONNECTIONS_PER_CLIENT: usize = 150;
/// Time after which a request counts as unanswered; only a connection that is never served reaches
/// it.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Sends one request on each of [`CONNECTIONS_PER_CLIENT`] connections; returns the number of
/// requests without a complete response.
fn count_unanswered(url: &str) -> usize {
    let is_unanswered = |_: &usize| {
        let config = Agent::config_builder().timeout_global(Some(REQUEST_TIMEOUT));
        let agent: Agent = config.build().into();
        let response = agent.get(url).call();
        response
            .and_then(|mut response| response.body_mut().read_to_string())
            .is_err()
    };
    (0..CONNECTIONS_PER_CLIENT).filter(is_unanswered).count()
}

#[gtest]
fn every_connection_to_the_metrics_port_is_answered() {
    let backends = Backends::start(1, &EngineSpec::default());
    let node = start_node(&backends);
    let url = format!("http://{}/metrics", node.addresses().metrics);
    let unanswered: usize = thread::scope(|scope| {
        let clients: Vec<_> = (0..CLIENT_COUNT)
            .map(|_| scope.spawn(|| count_unanswered(&url)))
            .collect();
        let counts = clients.into_iter().map(thread::ScopedJoinHandle::join);
        counts
            .map(|count| count.expect("the client does not panic"))
            .sum()
    });
    expect_that!(unanswered, eq(0));
}
