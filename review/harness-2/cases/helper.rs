//! VM 2 is partitioned from the store. A new configuration moves a route to another service, and VM 1
//! serves it. Then VM 1 is partitioned from the replicas, and passes calls on through VM 2. CONFIG is
//! broken if a request to VM 1 is handled as only the older version allows.

use super::{beat, call, record_arrivals};
use crate::{
    fleet::{Fleet, Route, ZONES, configuration},
    link::Link,
    record::Record,
    replica::Replica,
};
use std::{
    io, thread,
    time::{Duration, Instant},
};

/// Time after a replica has seen the effect of a version after which no request may be handled as only an
/// older version allows (`rollback_slack_ms`).
const ROLLBACK_SLACK: Duration = Duration::from_millis(250);
/// Time after their start in which VMs may get entries of replicas from each other, with the addresses of
/// each other's links.
const START_TIME: Duration = Duration::from_secs(4);
/// Length of both partitions.
const CUT: Duration = Duration::from_millis(5_500);
/// Time from the effect of the new version until VM 1 is partitioned from the replicas.
const SERVED: Duration = Duration::from_millis(150);

pub fn run(record: &mut Record, trouble: bool) -> io::Result<bool> {
    let mut fleet = Fleet::new()?;
    let route = |service| {
        [Route {
            name: "book",
            kind: "unsafe",
            service,
        }]
    };
    fleet.store.put(
        "config",
        b"main",
        configuration(3, &route("booking")).as_bytes(),
    );
    let replicas: io::Result<Vec<Replica>> = [
        ("booking", "i-7f3a91c2"),
        ("booking", "i-02d9e6b4"),
        ("notes", "i-5b10c7aa"),
    ]
    .iter()
    .map(|(service, id)| Replica::start(fleet.ip, service, id))
    .collect();
    let replicas = replicas?;
    let beat_all = |fleet: &Fleet, sequence| {
        for (index, replica) in replicas.iter().enumerate() {
            beat(fleet, index, replica, "ready", sequence);
        }
    };
    beat_all(&fleet, 1);
    for zone in &ZONES[..2] {
        fleet.add_vm(zone)?;
    }
    fleet.await_ready()?;
    thread::sleep(START_TIME);
    let links: io::Result<Vec<Link>> = replicas
        .iter()
        .map(|replica| {
            let link = Link::start(fleet.ip, replica.address)?;
            fleet.vms[0].store.replace(replica.address, link.address);
            Ok(link)
        })
        .collect();
    let links = links?;
    beat_all(&fleet, 2);
    thread::sleep(Duration::from_millis(300));
    record.line("the VMs are ready, and VM 1 has links of its own to the replicas");
    for n in 0..6 {
        call(&fleet, record, n % 2, "/book/1", &format!("b{n:04}"));
    }
    let start = Instant::now();
    if trouble {
        fleet.vms[1].store.set_cut(true);
        record.line("VM 2 is partitioned from the store");
    }
    fleet.store.put(
        "config",
        b"main",
        configuration(4, &route("notes")).as_bytes(),
    );
    record.line("store: has accepted version 4, which moves the route from booking to notes");
    let mut seen: Option<Instant> = None;
    let mut is_cut = false;
    let mut n = 6;
    while start.elapsed() < CUT {
        if trouble && !is_cut && seen.is_some_and(|at| at.elapsed() > SERVED) {
            links.iter().for_each(Link::cut);
            is_cut = true;
            record.line("VM 1 is partitioned from the replicas");
        }
        call(&fleet, record, 0, "/book/1", &format!("b{n:04}"));
        seen = seen.or_else(|| replicas[2].arrivals().first().map(|arrival| arrival.at));
        n += 1;
        thread::sleep(Duration::from_millis(50));
    }
    record_arrivals(record, &replicas);
    let Some(seen) = seen else {
        return Err(io::Error::other("version 4 was never in effect"));
    };
    let old = replicas[..2].iter().flat_map(Replica::arrivals);
    let late = old
        .filter(|arrival| arrival.ran && arrival.at > seen + ROLLBACK_SLACK)
        .count();
    record.line(&format!(
        "{late} requests to VM 1 were run by the service of the older version"
    ));
    Ok(late > 0)
}
