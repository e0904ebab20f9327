//! Counts connections to the metrics port that get no answer within a second.

use core::time::Duration;
use poplarswitch_node::{Node, Setup};
use poplarswitch_settings::{Addresses, Secret, Secrets, Settings};
use std::{
    sync::atomic::{AtomicUsize, Ordering},
    thread,
};
use ureq::Agent;

const CLIENTS: usize = 12;
const CONNECTIONS: usize = 1_000;
const PATIENCE: Duration = Duration::from_secs(1);

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
    let node = Node::start(setup).expect("a node");
    let url = format!("http://{}/metrics", node.addresses().metrics);
    let unanswered = AtomicUsize::new(0);
    let client = || {
        for _ in 0..CONNECTIONS {
            let config = Agent::config_builder().timeout_global(Some(PATIENCE));
            let agent: Agent = config.build().into();
            let answer = agent.get(&url).call();
            if answer
                .and_then(|mut a| a.body_mut().read_to_string())
                .is_err()
            {
                unanswered.fetch_add(1, Ordering::Relaxed);
            }
        }
    };
    thread::scope(|scope| {
        for _ in 0..CLIENTS {
            scope.spawn(client);
        }
    });
    println!("{unanswered:?} of {} unanswered", CLIENTS * CONNECTIONS);
}
