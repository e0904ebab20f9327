//! Another writer has written an entry with bytes that can't be read. Later, a replica drains as planned.
//! DRAIN is broken if requests that VMs in touch have taken reach it later than `drain_ms` after that.

use super::{HEARTBEAT, beat, call, record_arrivals};
use crate::{
    fleet::{Fleet, Route, ZONES, configuration},
    record::Record,
    replica::Replica,
};
use std::{
    io, thread,
    time::{Duration, Instant},
};

/// `drain_ms`.
const DRAIN: Duration = Duration::from_millis(2_000);
/// Spec of the other writer's entry: a service in bytes that are no text.
const SPEC: &[u8] = b"{\"service\":\"\x02\x8b\x1f\xff\",\"state\":\"ready\"}";
const NAME: &[u8] = b"i-c49f3e10";
/// Heartbeat after which the entry is written.
const FOREIGN_BEAT: u32 = 3;
/// Heartbeat with which the replica drains; all VMs are in touch.
const DRAIN_BEAT: u32 = 7;
const BEATS: u32 = 11;

pub fn run(record: &mut Record, trouble: bool) -> io::Result<bool> {
    let mut fleet = Fleet::new()?;
    let routes = [Route {
        name: "book",
        kind: "unsafe",
        service: "booking",
    }];
    fleet
        .store
        .put("config", b"main", configuration(3, &routes).as_bytes());
    let ids = ["i-7f3a91c2", "i-02d9e6b4", "i-5b10c7aa"];
    let replicas: io::Result<Vec<Replica>> = ids
        .iter()
        .map(|id| Replica::start(fleet.ip, "booking", id))
        .collect();
    let replicas = replicas?;
    let mut drained = None;
    let mut count = 0;
    for sequence in 1..BEATS {
        for (index, replica) in replicas.iter().enumerate() {
            let drains = index == 0 && sequence >= DRAIN_BEAT;
            beat(
                &fleet,
                index,
                replica,
                if drains { "draining" } else { "ready" },
                sequence,
            );
        }
        if sequence == 1 {
            for zone in ZONES {
                fleet.add_vm(zone)?;
            }
            fleet.await_ready()?;
            record.line("the VMs are ready");
        }
        if trouble && sequence == FOREIGN_BEAT {
            fleet.store.put("servers", NAME, SPEC);
            let (name, spec) = (NAME.escape_ascii(), SPEC.escape_ascii());
            record.line(&format!("another writer: entry {name}: {spec}"));
        }
        if sequence == DRAIN_BEAT {
            drained = Some(Instant::now());
            record.line(&format!(
                "store: has accepted that replica {} is draining",
                ids[0]
            ));
        }
        let until = Instant::now() + HEARTBEAT;
        while Instant::now() < until {
            call(
                &fleet,
                record,
                count % ZONES.len(),
                "/book/1",
                &format!("b{count:04}"),
            );
            count += 1;
            thread::sleep(Duration::from_millis(60));
        }
    }
    record_arrivals(record, &replicas);
    let late = replicas[0].arrivals().into_iter();
    let late = late
        .filter(|a| a.ran && drained.is_some_and(|at| a.at > at + DRAIN))
        .count();
    record.line(&format!(
        "{late} requests reached replica {} too late",
        ids[0]
    ));
    Ok(late > 0)
}
