//! An entry of another writer appears among those of the replicas. ROUTE is broken if a request is run by
//! a replica of a service that is not its route's.

use super::{BORN, HEARTBEAT, beat, call, record_arrivals, zone};
use crate::{
    fleet::{Fleet, Route, ZONES, configuration},
    record::Record,
    replica::{Arrival, Replica, entry},
};
use std::{
    io, thread,
    time::{Duration, Instant},
};

/// What is wrong with the entry.
#[derive(Clone, Copy)]
pub enum Foreign {
    /// It lacks the field `born`.
    MissingBorn,
    /// Its name has a byte that can't be read.
    UnreadableName,
}

/// Name with the control character 1, as JSON text has it.
const UNREADABLE_NAME: &[u8] = b"i-c4\\u00013e";
/// Heartbeats after which the entry is written again.
const FOREIGN_BEATS: core::ops::Range<u32> = 3..7;
const BEATS: u32 = 8;

pub fn run(record: &mut Record, trouble: bool, foreign: Foreign) -> io::Result<bool> {
    let mut fleet = Fleet::new()?;
    let routes = [
        Route {
            name: "book",
            kind: "unsafe",
            service: "booking",
        },
        Route {
            name: "note",
            kind: "safe",
            service: "notes",
        },
    ];
    fleet
        .store
        .put("config", b"main", configuration(3, &routes).as_bytes());
    let ids = [
        ("booking", "i-7f3a91c2"),
        ("booking", "i-02d9e6b4"),
        ("notes", "i-5b10c7aa"),
    ];
    let replicas: io::Result<Vec<Replica>> = ids
        .iter()
        .map(|(service, id)| Replica::start(fleet.ip, service, id))
        .collect();
    let replicas = replicas?;
    let notes = &replicas[2];
    let mut count = 0;
    for sequence in 1..BEATS {
        for (index, replica) in replicas.iter().enumerate() {
            beat(&fleet, index, replica, "ready", sequence);
        }
        if sequence == 1 {
            for zone in ZONES {
                fleet.add_vm(zone)?;
            }
            fleet.await_ready()?;
            record.line("the VMs are ready");
        }
        if trouble && FOREIGN_BEATS.contains(&sequence) {
            thread::sleep(HEARTBEAT / 4);
            let (name, born) = match foreign {
                Foreign::MissingBorn => (notes.id.as_bytes(), String::new()),
                Foreign::UnreadableName => (UNREADABLE_NAME, format!(",\"born\":{BORN}")),
            };
            let spec = entry("booking", notes.address, zone(2), "ready", sequence, &born);
            fleet.store.put("servers", name, spec.as_bytes());
            record.line(&format!(
                "another writer: entry {}: {spec}",
                name.escape_ascii()
            ));
        }
        let until = Instant::now() + HEARTBEAT * 3 / 4;
        while Instant::now() < until {
            let (prefix, path) = if count % 4 == 3 {
                ('n', "/note/1")
            } else {
                ('b', "/book/1")
            };
            call(
                &fleet,
                record,
                count % ZONES.len(),
                path,
                &format!("{prefix}{count:04}"),
            );
            count += 1;
            thread::sleep(Duration::from_millis(40));
        }
    }
    record_arrivals(record, &replicas);
    let misplaced: usize = replicas.iter().map(misplaced).sum();
    record.line(&format!(
        "{misplaced} requests were run by a service that is not their route's"
    ));
    Ok(misplaced > 0)
}

/// Number of requests that a replica has run although their route leads to the other service.
fn misplaced(replica: &Replica) -> usize {
    let own = if replica.service == "booking" {
        'b'
    } else {
        'n'
    };
    let is_misplaced = |arrival: &Arrival| arrival.ran && !arrival.id.starts_with(own);
    replica
        .arrivals()
        .iter()
        .filter(|arrival| is_misplaced(arrival))
        .count()
}
