//! Measures, in virtual time, how sets spread, what control costs and how soon a death is known.
//!
//! Members and followers run together over one virtual network. Bytes are those of the CBOR
//! encoding, without headers of the link. The processor time is that of the whole simulation
//! divided by the VMs, so it is an upper bound. The argument is the largest fleet to measure.

mod fleet;

use core::time::Duration;
use fleet::{Fleet, set};
use poplarswitch_members::State;
use poplarswitch_objects::ObjectSet;
use poplarswitch_oracle::cluster_net::Health;
use std::{
    io::{self, Write},
    time::Instant,
};

/// Time between two changes at the target of 11,000 a day.
const CHANGE_EVERY: Duration = Duration::from_millis(7_855);

#[derive(Clone, Copy, Debug)]
enum Scene {
    Up,
    Slow,
    /// All VMs but one have lost the platform.
    OneReaches,
}

fn measure_spread(
    size: usize,
    scene: Scene,
    set: &ObjectSet,
    out: &mut impl Write,
) -> io::Result<()> {
    let mut fleet = Fleet::new(size, set.clone());
    fleet.run(Duration::from_secs(30));
    fleet.publish();
    fleet.run(Duration::from_mins(1));
    match scene {
        Scene::Up => {}
        Scene::Slow => fleet.net.set_health(Health::Slow),
        Scene::OneReaches => {
            fleet.net.set_health(Health::Down);
            fleet.net.isolated = (1..size).collect();
            fleet.run(Duration::from_secs(1));
            fleet.net.set_health(Health::Up);
        }
    }
    fleet.run(Duration::from_secs(10));
    fleet.publish();
    fleet.run(Duration::from_mins(1));
    match fleet.spread() {
        Some(times) => {
            let (half, most) = (times[times.len() / 2], times[times.len() - 1]);
            writeln!(out, "| {size} | {scene:?} | {half:.3} | {most:.3} |")
        }
        None => writeln!(
            out,
            "| {size} | {scene:?} | not everywhere | not everywhere |"
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
    let before = (fleet.bytes, fleet.members_bytes, fleet.net.counts);
    let clock = Instant::now();
    let rounds = 8;
    for _ in 0..rounds {
        if changes {
            fleet.publish();
        }
        fleet.run(CHANGE_EVERY);
    }
    let seconds = CHANGE_EVERY.as_secs_f64() * f64::from(rounds);
    let per_node = |count: u64| count as f64 / seconds / size as f64;
    let counts = fleet.net.counts;
    let members = per_node(fleet.members_bytes - before.1);
    let publish = per_node(fleet.bytes - before.0) - members;
    let messages = per_node(counts.messages - before.2.messages);
    let reads = (counts.reads - before.2.reads) as f64 / seconds;
    let writes = (counts.writes - before.2.writes) as f64 / seconds;
    let core = clock.elapsed().as_secs_f64() / seconds / size as f64 * 100.0;
    writeln!(
        out,
        "| {size} | {changes} | {messages:.1} | {members:.0} | {publish:.0} | {reads:.1} | {writes:.2} | {core:.3} |"
    )
}

/// The first VM falls silent; no link tells that it has.
fn measure_death(size: usize, out: &mut impl Write) -> io::Result<()> {
    const STEP: Duration = Duration::from_millis(100);
    let mut fleet = Fleet::new(size, ObjectSet::default());
    fleet.run(Duration::from_secs(30));
    let dead = fleet.vms[0].members.me().clone();
    for other in 1..size {
        fleet.net.cut.extend([(0, other), (other, 0)]);
    }
    let start = fleet.net.now;
    let (mut near, mut all) = (None, None);
    while all.is_none() && fleet.net.now.since(start) < Duration::from_mins(2) {
        fleet.run(STEP);
        let now = fleet.net.now.since(start).as_secs_f64();
        let lists = |vm: &&fleet::Vm| {
            let member = vm.members.member(dead.incarnation);
            member.is_some_and(|member| member.state == State::Alive)
        };
        let listing: Vec<_> = fleet.vms.iter().skip(1).filter(lists).collect();
        let near_lists = listing.iter().any(|vm| vm.members.me().cell == dead.cell);
        near = near.or((!near_lists).then_some(now));
        all = listing.is_empty().then_some(now);
    }
    let text = |time: Option<f64>| time.map_or("never".to_owned(), |time| format!("{time:.1}"));
    writeln!(out, "| {size} | {} | {} |", text(near), text(all))
}

fn main() -> io::Result<()> {
    let mut out = io::stdout().lock();
    let small = set(27, 10);
    let large = set(6_500, 900);
    let most: usize = std::env::args()
        .nth(1)
        .and_then(|most| most.parse().ok())
        .unwrap_or(340);
    writeln!(
        out,
        "| VMs | out of its cell's answers, s | out of all answers, s |"
    )?;
    writeln!(out, "|---|---|---|")?;
    for size in [3, 9, 30, 340].into_iter().filter(|size| *size <= most) {
        measure_death(size, &mut out)?;
    }
    writeln!(out)?;
    writeln!(out, "| VMs | platform | half of them, s | all of them, s |")?;
    writeln!(out, "|---|---|---|---|")?;
    for size in [3, 9, 30, 340].into_iter().filter(|size| *size <= most) {
        for scene in [Scene::Up, Scene::Slow, Scene::OneReaches] {
            let set = if size == 340 { &large } else { &small };
            measure_spread(size, scene, set, &mut out)?;
        }
    }
    writeln!(out)?;
    writeln!(
        out,
        "| VMs | 11,000 changes a day | messages sent | members, B/s | sets, B/s | fleet's reads/s | fleet's writes/s | core, % |"
    )?;
    writeln!(out, "|---|---|---|---|---|---|---|---|")?;
    for size in [3, 9, 30, 120, 340]
        .into_iter()
        .filter(|size| *size <= most)
    {
        let set = if size >= 120 { &large } else { &small };
        for changes in [false, true] {
            measure_cost(size, changes, set, &mut out)?;
        }
    }
    Ok(())
}
