//! The operators' and the metrics port under many connections.

mod common;

use common::{Backs, node};
use core::time::Duration;
use googletest::prelude::*;
use poplarswitch_standins::EngineSpec;
use std::thread;
use ureq::Agent;

const CLIENTS: usize = 8;
const CONNECTIONS: usize = 150;
/// Only a lost connection reaches it.
const PATIENCE: Duration = Duration::from_secs(5);

fn unanswered(url: &str) -> usize {
    let is_lost = |_: &usize| {
        let config = Agent::config_builder().timeout_global(Some(PATIENCE));
        let agent: Agent = config.build().into();
        let answer = agent.get(url).call();
        answer
            .and_then(|mut answer| answer.body_mut().read_to_string())
            .is_err()
    };
    (0..CONNECTIONS).filter(is_lost).count()
}

#[gtest]
fn every_connection_is_answered() {
    let backs = Backs::start(1, &EngineSpec::default());
    let node = node(&backs);
    let url = format!("http://{}/metrics", node.addresses().metrics);
    let lost: usize = thread::scope(|scope| {
        let clients: Vec<_> = (0..CLIENTS)
            .map(|_| scope.spawn(|| unanswered(&url)))
            .collect();
        let counts = clients.into_iter().map(thread::ScopedJoinHandle::join);
        counts.map(|count| count.expect("a count")).sum()
    });
    expect_that!(lost, eq(0));
}
