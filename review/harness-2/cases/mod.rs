//! The cases, and what they have in common.

mod drain;
mod helper;
mod route;
mod versions;
mod zone;

use crate::{fleet::Fleet, http::Message, record::Record, replica::Replica};
use std::{
    io,
    time::{Duration, Instant},
};

/// Interval at which replicas write their entries (`heartbeat_ms`).
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Start of the first replica, in Unix milliseconds.
const BORN: u64 = 1_764_900_000_000;

/// Runs a case; returns whether its rule was broken.
pub fn run(case: &str, record: &mut Record, trouble: bool) -> io::Result<bool> {
    match case {
        "missing-born" => route::run(record, trouble, route::Foreign::MissingBorn),
        "unreadable-name" => route::run(record, trouble, route::Foreign::UnreadableName),
        "unreadable-bytes" => drain::run(record, trouble),
        "stale-helper" => helper::run(record, trouble),
        "two-versions" => versions::run(record, trouble),
        "late-version" => zone::run(record, trouble),
        _ => Err(io::Error::other("unknown case")),
    }
}

/// Sends a request to a VM, and records it with its answer.
fn call(fleet: &Fleet, record: &mut Record, vm: usize, path: &str, id: &str) {
    let method = if path.starts_with("/book/") {
        "POST"
    } else {
        "GET"
    };
    let sent = Instant::now();
    let answer = fleet.call(vm, method, path, id);
    let text = match &answer {
        Ok(answer) => {
            let body = String::from_utf8_lossy(&answer.body);
            format!("{} {body}", Message::status(answer))
        }
        Err(error) => format!("no answer: {error}"),
    };
    record.line_at(
        sent,
        &format!("client: {method} {path}, id {id}, to VM {}", vm + 1),
    );
    record.line(&format!("client: id {id}: {text}"));
}

/// Zone of the replica with an index.
fn zone(index: usize) -> &'static str {
    crate::fleet::ZONES[index % crate::fleet::ZONES.len()]
}

/// Writes the entry of the replica with an index, as its heartbeats do.
fn beat(fleet: &Fleet, index: usize, replica: &Replica, state: &str, sequence: u32) {
    let entry = replica.entry(zone(index), state, sequence, BORN + index as u64);
    fleet
        .store
        .put("servers", replica.id.as_bytes(), entry.as_bytes());
}

fn record_arrivals(record: &mut Record, replicas: &[Replica]) {
    for replica in replicas {
        for arrival in replica.arrivals() {
            let expected = arrival.expected.as_deref().unwrap_or("none");
            let verb = if arrival.ran { "ran" } else { "turned away" };
            record.line_at(
                arrival.at,
                &format!(
                    "replica {} of service {}: {verb} id {}, X-Expect-Instance {expected}",
                    replica.id, replica.service, arrival.id
                ),
            );
        }
    }
}
