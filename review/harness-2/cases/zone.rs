//! Two of the three VMs of a zone are partitioned from the store, right after a configuration has been
//! accepted; the next one moves a route to another service. CONFIG is broken if the third VM, which is in
//! touch, handles a request that is sent later than `config_apply_ms` as only the older version allows.
//!
//! One of the two is the VM that reads the configuration for the zone; the other one is each of the others
//! in turn, in a deployment of its own.

use super::{beat, call, record_arrivals};
use crate::{
    fleet::{Fleet, Route, ZONES, configuration},
    record::Record,
    replica::{Arrival, Replica},
};
use std::{
    io, thread,
    time::{Duration, Instant},
};

/// `config_apply_ms`.
const CONFIG_APPLY: Duration = Duration::from_millis(2_000);
/// Time for which the VMs run before; longer than `contact_ms`.
const CALM: Duration = Duration::from_secs(6);
/// Length of the partition.
const CUT: Duration = Duration::from_millis(5_500);

pub fn run(record: &mut Record, trouble: bool) -> io::Result<bool> {
    let mut late = 0;
    for touched in 0..2 {
        late += run_round(record, trouble, touched)?;
    }
    Ok(late > 0)
}

/// Runs one deployment; `touched` says which VM that is not the reader stays in touch. Returns the number
/// of its late requests that the older version's service has run.
fn run_round(record: &mut Record, trouble: bool, touched: usize) -> io::Result<usize> {
    let mut fleet = Fleet::new()?;
    let put = |fleet: &Fleet, version, service| {
        let routes = [Route {
            name: "book",
            kind: "unsafe",
            service,
        }];
        fleet.store.put(
            "config",
            b"main",
            configuration(version, &routes).as_bytes(),
        );
        Instant::now()
    };
    put(&fleet, 3, "booking");
    let old = Replica::start(fleet.ip, "booking", "i-7f3a91c2")?;
    let new = Replica::start(fleet.ip, "notes", "i-5b10c7aa")?;
    let replicas = [old, new];
    for (index, replica) in replicas.iter().enumerate() {
        beat(&fleet, index, replica, "ready", 1);
    }
    for _ in 0..3 {
        fleet.add_vm(ZONES[0])?;
    }
    fleet.await_ready()?;
    record.line("the VMs are ready");
    thread::sleep(CALM);
    let reader = (0..3)
        .max_by_key(|vm| fleet.vms[*vm].store.config_reads())
        .unwrap_or(0);
    let others: Vec<usize> = (0..3).filter(|vm| *vm != reader).collect();
    let (touched, other) = (others[touched], others[1 - touched]);
    record.line(&format!(
        "VM {} reads the configuration for its zone",
        reader + 1
    ));
    put(&fleet, 4, "booking");
    record.line("store: has accepted version 4, which changes no route");
    thread::sleep(Duration::from_millis(50));
    if trouble {
        for vm in [reader, other] {
            fleet.vms[vm].store.set_cut(true);
            record.line(&format!("VM {} is partitioned from the store", vm + 1));
        }
    }
    let accepted = put(&fleet, 5, "notes");
    record.line("store: has accepted version 5, which moves the route from booking to notes");
    let mut late_ids = Vec::new();
    let mut n = 0;
    while accepted.elapsed() < CUT {
        let id = format!("b{n:04}");
        if accepted.elapsed() > CONFIG_APPLY {
            late_ids.push(id.clone());
        }
        call(&fleet, record, touched, "/book/1", &id);
        n += 1;
        thread::sleep(Duration::from_millis(20));
    }
    record_arrivals(record, &replicas);
    let is_late = |arrival: &Arrival| arrival.ran && late_ids.contains(&arrival.id);
    let late = replicas[0]
        .arrivals()
        .iter()
        .filter(|arrival| is_late(arrival))
        .count();
    record.line(&format!(
        "{late} late requests to VM {} were run by the service of the older version",
        touched + 1
    ));
    Ok(late)
}
