//! Measures the distribution of sets, the cost of control messages and the detection of dead VMs.
//!
//! Membership and followers run together on one simulated network in virtual time. Bytes are those
//! of the CBOR encoding, without headers of the link. The processor time of a VM is that of the
//! whole simulation divided by the number of VMs, so it is an upper bound. The argument is the
//! largest number of VMs to measure.

mod fleet;

use core::time::Duration;
use fleet::{Fleet, set};
use poplarswitch_members::State;
use poplarswitch_objects::ObjectSet;
use poplarswitch_oracle::cluster_env::PlatformHealth;
use std::{
    io::{self, Write},
    time::Instant,
};

/// Interval between changes at the target of 11,000 changes a day.
const CHANGE_INTERVAL: Duration = Duration::from_millis(7_855);

#[derive(Clone, Copy, Debug)]
enum PlatformCondition {
    /// Requests are answered within milliseconds.
    Up,
    /// Requests are answered within seconds.
    Slow,
    /// Only one VM can reach the platform.
    OneReaches,
}

fn measure_distribution(
    size: usize,
    condition: PlatformCondition,
    set: &ObjectSet,
    out: &mut impl Write,
) -> io::Result<()> {
    let mut fleet = Fleet::new(size, set.clone());
    fleet.run(Duration::from_secs(30));
    fleet.publish();
    fleet.run(Duration::from_mins(1));
    match condition {
        PlatformCondition::Up => {}
        PlatformCondition::Slow => fleet.env.set_health(PlatformHealth::Slow),
        PlatformCondition::OneReaches => {
            fleet.env.set_health(PlatformHealth::Down);
            fleet.env.isolated = (1..size).collect();
            fleet.run(Duration::from_secs(1));
            fleet.env.set_health(PlatformHealth::Up);
        }
    }
    fleet.run(Duration::from_secs(10));
    fleet.publish();
    fleet.run(Duration::from_mins(1));
    match fleet.activation_delays() {
        Some(times) => {
            let (median, max) = (times[times.len() / 2], times[times.len() - 1]);
            writeln!(out, "| {size} | {condition:?} | {median:.3} | {max:.3} |")
        }
        None => writeln!(
            out,
            "| {size} | {condition:?} | not on all VMs | not on all VMs |"
        ),
    }
}

fn measure_cost(
    size: usize,
    changes: bool,
    set: &ObjectSet,
    out: &mut impl Write,
) -> io::Result<()> {
    let mut fleet = Fleet::new(size, set.clone());
    fleet.run(Duration::from_secs(30));
    fleet.publish();
    fleet.run(Duration::from_secs(30));
    let before = (fleet.total_bytes, fleet.members_bytes, fleet.env.counts);
    let clock = Instant::now();
    let rounds = 8;
    for _ in 0..rounds {
        if changes {
            fleet.publish();
        }
        fleet.run(CHANGE_INTERVAL);
    }
    let seconds = CHANGE_INTERVAL.as_secs_f64() * f64::from(rounds);
    let per_vm = |count: u64| count as f64 / seconds / size as f64;
    let counts = fleet.env.counts;
    let members = per_vm(fleet.members_bytes - before.1);
    let publish = per_vm(fleet.total_bytes - before.0) - members;
    let messages = per_vm(counts.messages - before.2.messages);
    let reads = (counts.reads - before.2.reads) as f64 / seconds;
    let writes = (counts.writes - before.2.writes) as f64 / seconds;
    let core_percent = clock.elapsed().as_secs_f64() / seconds / size as f64 * 100.0;
    writeln!(
        out,
        "| {size} | {changes} | {messages:.1} | {members:.0} | {publish:.0} | {reads:.1} | {writes:.2} | {core_percent:.3} |"
    )
}

/// Cuts off the first VM without closing its links, and measures when the answers of the others no
/// longer list it.
fn measure_detection(size: usize, out: &mut impl Write) -> io::Result<()> {
    const STEP: Duration = Duration::from_millis(100);
    let mut fleet = Fleet::new(size, ObjectSet::default());
    fleet.run(Duration::from_secs(30));
    let dead = fleet.vms[0].members.me().clone();
    for other in 1..size {
        fleet.env.cut_links.extend([(0, other), (other, 0)]);
    }
    let start = fleet.env.now;
    let (mut same_cell, mut all) = (None, None);
    while all.is_none() && fleet.env.now.since(start) < Duration::from_mins(2) {
        fleet.run(STEP);
        let now = fleet.env.now.since(start).as_secs_f64();
        let lists = |vm: &&fleet::Vm| {
            let member = vm.members.member(dead.incarnation);
            member.is_some_and(|member| member.state == State::Alive)
        };
        let listing: Vec<_> = fleet.vms.iter().skip(1).filter(lists).collect();
        let listed_in_cell = listing.iter().any(|vm| vm.members.me().cell == dead.cell);
        same_cell = same_cell.or((!listed_in_cell).then_some(now));
        all = listing.is_empty().then_some(now);
    }
    let text = |time: Option<f64>| time.map_or("never".to_owned(), |time| format!("{time:.1}"));
    writeln!(out, "| {size} | {} | {} |", text(same_cell), text(all))
}

fn main() -> io::Result<()> {
    let mut out = io::stdout().lock();
    let small = set(27, 10);
    let large = set(6_500, 900);
    let max_size: usize = std::env::args()
        .nth(1)
        .and_then(|text| text.parse().ok())
        .unwrap_or(340);
    writeln!(
        out,
        "| VMs | not listed in its cell after, s | not listed anywhere after, s |"
    )?;
    writeln!(out, "|---|---|---|")?;
    for size in [3, 9, 30, 340].into_iter().filter(|size| *size <= max_size) {
        measure_detection(size, &mut out)?;
    }
    writeln!(out)?;
    writeln!(
        out,
        "| VMs | platform | in force on half of the VMs after, s | on all VMs after, s |"
    )?;
    writeln!(out, "|---|---|---|---|")?;
    for size in [3, 9, 30, 340].into_iter().filter(|size| *size <= max_size) {
        for condition in [
            PlatformCondition::Up,
            PlatformCondition::Slow,
            PlatformCondition::OneReaches,
        ] {
            let set = if size == 340 { &large } else { &small };
            measure_distribution(size, condition, set, &mut out)?;
        }
    }
    writeln!(out)?;
    writeln!(
        out,
        "| VMs | 11,000 changes a day | messages/s per VM | membership, B/s per VM | sets, B/s per VM | reads/s of all VMs | writes/s of all VMs | core, % per VM |"
    )?;
    writeln!(out, "|---|---|---|---|---|---|---|---|")?;
    for size in [3, 9, 30, 120, 340]
        .into_iter()
        .filter(|size| *size <= max_size)
    {
        let set = if size >= 120 { &large } else { &small };
        for changes in [false, true] {
            measure_cost(size, changes, set, &mut out)?;
        }
    }
    Ok(())
}
