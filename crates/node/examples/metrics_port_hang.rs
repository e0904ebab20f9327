//! Counts requests to the metrics port, each on its own connection, that get no complete response
//! within a second.

use core::time::Duration;
use poplarswitch_node::{Node, Setup};
use poplarswitch_settings::{Addresses, Secret, Secrets, Settings};
use std::{
    sync::atomic::{AtomicUsize, Ordering},
    thread,
};
use ureq::Agent;

/// Number of concurrent clients.
const CLIENT_COUNT: usize = 12;
/// Connections that each client opens, one after another.
const CONNECTIONS_PER_CLIENT: usize = 1_000;
/// Time after which a request counts as unanswered.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);

fn main() {
    let settings = Settings::builder()
        .vm("vm-1")
        .data_centre("here")
        .cell("here")
        .addresses(Addresses::loopback())
        .build();
    let secrets = Secrets {
        operators: Secret::new("operators"),
        peers: Secret::new("peers"),
    };
    let setup = Setup::builder().settings(settings).secrets(secrets).build();
    let node = Node::start(setup).expect("node starts");
    let url = format!("http://{}/metrics", node.addresses().metrics);
    let unanswered = AtomicUsize::new(0);
    let client = || {
        for _ in 0..CONNECTIONS_PER_CLIENT {
            let config = Agent::config_builder().timeout_global(Some(RESPONSE_TIMEOUT));
            let agent: Agent = config.build().into();
            let response = agent.get(&url).call();
            if response
                .and_then(|mut response| response.body_mut().read_to_string())
                .is_err()
            {
                unanswered.fetch_add(1, Ordering::Relaxed);
            }
        }
    };
    thread::scope(|scope| {
        for _ in 0..CLIENT_COUNT {
            scope.spawn(client);
        }
    });
    println!(
        "{unanswered:?} of {} requests unanswered",
        CLIENT_COUNT * CONNECTIONS_PER_CLIENT
    );
}
