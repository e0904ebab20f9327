use crate::{EngineWork, ListingSchedule, ListingView, Membership, Phase};
use core::{net::Ipv4Addr, time::Duration};
use googletest::prelude::*;
use poplarswitch_entity::Time;
use rand::{Rng as _, RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;

const HEARTBEAT_MS: u64 = 300;

fn ip(vm: usize) -> Ipv4Addr {
    Ipv4Addr::new(10, 1, (vm / 200) as u8, (vm % 200) as u8 + 1)
}

fn index_of(ip: Ipv4Addr) -> usize {
    let [_, _, high, low] = ip.octets();
    usize::from(high) * 200 + usize::from(low) - 1
}

/// VMs that start together, and the list of their entries.
struct Start {
    vms: Vec<Membership>,
    schedules: Vec<ListingSchedule>,
    /// When each VM has written its entry.
    written: Vec<Time>,
    /// Time by which what a read returns is out of date.
    staleness: Duration,
    reads: usize,
    loss_rate: f64,
    rng: Pcg64Mcg,
    now: Time,
}

impl Start {
    /// VMs that write their entries within `spread` of each other, and read the list after that.
    fn new(count: usize, spread: Duration, staleness: Duration, loss_rate: f64) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(17);
        let begin = Time::from_millis(5_000);
        let spread = spread.as_millis() as u64;
        let written =
            (0..count).map(|_| begin + Duration::from_millis(rng.random_range(0..=spread)));
        let written: Vec<Time> = written.collect();
        let mut start = Self {
            vms: (0..count)
                .map(|vm| Membership::new(ip(vm), 0, 1_000))
                .collect(),
            schedules: written.iter().map(|at| ListingSchedule::new(*at)).collect(),
            written,
            staleness,
            reads: 0,
            loss_rate,
            rng,
            now: begin,
        };
        for vm in 0..count {
            start.read(vm, start.written[vm]);
        }
        start.now = begin + Duration::from_millis(spread);
        start
    }

    fn read(&mut self, vm: usize, now: Time) {
        self.reads += 1;
        let seen = now - self.staleness;
        for (other, written) in self.written.iter().enumerate() {
            if *written <= seen {
                self.vms[vm].add_member(ip(other), Some(0));
            }
        }
    }

    fn run(&mut self, length: Duration) {
        let end = self.now + length;
        while self.now < end {
            self.now = self.now + Duration::from_millis(HEARTBEAT_MS);
            for vm in 0..self.vms.len() {
                self.step(vm);
            }
        }
    }

    fn step(&mut self, vm: usize) {
        let now = self.now;
        let order = self.vms[vm].local_vms(now);
        let view = ListingView {
            is_reader: order.first() == Some(&ip(vm)),
            alive: self.vms[vm].alive(now).count(),
            silent: self.vms[vm].silent_count(now),
        };
        if self.schedules[vm].decide(now, view) {
            self.read(vm, now);
        }
        let rng = &mut self.rng;
        let receivers = self.vms[vm].receivers(now, || rng.next_u64());
        let work = EngineWork::default();
        let heartbeats = self.vms[vm].next_heartbeats(now, Phase::Ready, work, receivers.len());
        for (receiver, heartbeat) in receivers.into_iter().zip(heartbeats.iter().cycle()) {
            if !self.rng.random_bool(self.loss_rate) {
                self.vms[index_of(receiver)].receive(now, heartbeat);
            }
        }
    }

    /// The smallest number of other VMs from which any VM has heard.
    fn least_heard(&self) -> usize {
        let heard = self.vms.iter().map(|vm| vm.alive(Time::ZERO).count());
        heard.min().unwrap_or(0)
    }

    /// The smallest number of VMs that any VM lists, itself included.
    fn least_known(&self) -> usize {
        let known = self.vms.iter().map(|vm| vm.alive_count(self.now));
        known.min().unwrap_or(0)
    }
}

/// VMs that started together knew nobody for good, because no entry was written yet when they read
/// the list.
#[gtest]
fn vms_that_start_together_know_each_other_within_two_seconds() {
    for count in [2, 6, 60] {
        for spread_ms in [0, 100] {
            let spread = Duration::from_millis(spread_ms);
            let mut start = Start::new(count, spread, Duration::ZERO, 0.1);
            start.run(Duration::from_secs(2));
            expect_that!(
                start.least_known(),
                ge(count - 1),
                "{count} VMs, {spread_ms} ms"
            );
        }
    }
}

/// The same for the number of VMs in the target, whose heartbeats carry a part of the members only.
#[gtest]
fn many_vms_that_start_together_know_each_other() {
    let mut start = Start::new(340, Duration::from_millis(300), Duration::ZERO, 0.05);
    start.run(Duration::from_secs(15));
    expect_that!(start.least_heard(), eq(339));
}

/// The same after reads that returned an old list.
#[gtest]
fn vms_that_read_an_old_list_know_each_other_within_seconds() {
    for count in [6, 60] {
        let staleness = Duration::from_secs(3);
        let mut start = Start::new(count, Duration::from_millis(100), staleness, 0.1);
        start.run(Duration::from_secs(9));
        expect_that!(start.least_known(), ge(count - 1), "{count} VMs");
    }
}

/// In the steady state only one VM of a data centre reads the list.
#[gtest]
fn few_reads_are_made_once_vms_know_each_other() {
    let mut start = Start::new(60, Duration::from_millis(100), Duration::ZERO, 0.05);
    start.run(Duration::from_secs(30));
    let before = start.reads;
    start.run(Duration::from_mins(2));
    expect_that!(start.reads - before, le(5));
}

/// A VM that hears nobody, and one that reads for others while some are silent, must learn from the
/// platform in time what the others hold.
#[gtest]
fn parted_vm_reads_the_list_every_two_seconds() {
    let now = Time::from_millis(100_000);
    let view = ListingView {
        is_reader: false,
        alive: 0,
        silent: 5,
    };
    let reader = ListingView {
        is_reader: true,
        alive: 5,
        silent: 1,
    };
    for view in [view, reader] {
        let mut schedule = ListingSchedule::new(now);
        let seconds =
            (0..300).filter(|second| schedule.decide(now + Duration::from_secs(*second), view));
        let seconds: Vec<u64> = seconds.collect();
        expect_that!(seconds.first(), some(eq(&1)));
        let gaps = seconds.windows(2).map(|pair| pair[1] - pair[0]);
        expect_that!(gaps.collect::<Vec<_>>(), each(eq(&2)));
    }
    let mut schedule = ListingSchedule::new(now);
    for second in 0..300 {
        schedule.decide(now + Duration::from_secs(second), view);
    }
    let settled = ListingView {
        alive: 5,
        silent: 1,
        ..view
    };
    expect_that!(
        schedule.decide(now + Duration::from_secs(400), settled),
        eq(false)
    );
    schedule.hurry(now + Duration::from_secs(400));
    expect_that!(
        schedule.decide(now + Duration::from_secs(402), view),
        eq(true)
    );
}
