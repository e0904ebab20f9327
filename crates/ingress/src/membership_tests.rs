use crate::{EngineWork, Heartbeat, Membership, Phase};
use core::net::Ipv4Addr;
use googletest::prelude::*;
use poplarswitch_entity::Time;
use rand::{Rng as _, RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;

const BEAT_MS: u64 = 300;

fn ip(vm: usize) -> Ipv4Addr {
    Ipv4Addr::new(10, 1, (vm / 200) as u8, (vm % 200) as u8 + 1)
}

struct Cluster {
    vms: Vec<Option<Membership>>,
    phases: Vec<Phase>,
    draws: Pcg64Mcg,
    now: Time,
    lost: f64,
    work: EngineWork,
}

impl Cluster {
    /// VMs that know only the first of them.
    fn new(count: usize, seed: u64) -> Self {
        let vms = (0..count).map(|vm| {
            let mut roster = Membership::new(ip(vm), (vm % 3) as u8, 1_000);
            roster.add_member(ip(0), None);
            Some(roster)
        });
        Self {
            vms: vms.collect(),
            phases: vec![Phase::Ready; count],
            draws: Pcg64Mcg::seed_from_u64(seed),
            now: Time::from_millis(5_000),
            lost: 0.05,
            work: EngineWork(70, 20),
        }
    }

    fn run(&mut self, millis: u64) {
        for _ in 0..millis / BEAT_MS {
            self.now = Time(self.now.0 + BEAT_MS * 1_000);
            for vm in 0..self.vms.len() {
                self.beat(vm);
            }
        }
    }

    fn beat(&mut self, vm: usize) {
        let (now, phase) = (self.now, self.phases[vm]);
        let draws = &mut self.draws;
        let Some(roster) = &mut self.vms[vm] else {
            return;
        };
        let beat = roster.next_heartbeat(now, phase, self.work);
        let to = roster.receivers(now, || draws.next_u64());
        for receiver in to {
            let [_, _, high, low] = receiver.octets();
            let index = usize::from(high) * 200 + usize::from(low) - 1;
            if self.draws.random_bool(self.lost) {
                continue;
            }
            if let Some(Some(other)) = self.vms.get_mut(index) {
                other.receive(now, &beat);
            }
        }
    }

    fn answer(&self, vm: usize) -> Vec<Ipv4Addr> {
        let roster = self.vms[vm].as_ref().unwrap();
        roster.caller_addresses(self.now, None, true, 400)
    }
}

#[gtest]
fn a_vm_that_starts_knows_an_order_of_those_it_has_not_heard() {
    let now = Time::from_millis(5_000);
    let started = |me: usize| {
        let mut roster = Membership::new(ip(me), 0, 1_000);
        for vm in 0..4 {
            roster.add_member(ip(vm), Some((vm / 3) as u8));
        }
        roster
    };
    let order = started(0).listed_local_vms(now);
    expect_that!(
        order,
        unordered_elements_are![eq(&ip(0)), eq(&ip(1)), eq(&ip(2))]
    );
    expect_that!(started(2).listed_local_vms(now), eq(&order));
    expect_that!(started(0).local_vms(now), eq(&vec![ip(0)]));
}

#[gtest]
fn everybody_learns_of_everybody_through_one() {
    for count in [3, 9, 87] {
        let mut fleet = Cluster::new(count, 7);
        fleet.run(6_000);
        for vm in 0..count {
            assert_that!(fleet.answer(vm).len(), eq(count), "VM {vm} of {count}");
        }
    }
}

#[gtest]
fn a_vm_that_dies_is_out_of_all_answers_within_seconds() {
    for (count, within) in [(9, 1_500), (87, 4_000)] {
        let mut fleet = Cluster::new(count, 3);
        fleet.run(6_000);
        fleet.vms[1] = None;
        fleet.run(within);
        for vm in (0..count).filter(|vm| *vm != 1) {
            assert_that!(
                fleet.answer(vm).contains(&ip(1)),
                eq(false),
                "VM {vm} of {count}"
            );
        }
    }
}

#[gtest]
fn lost_beats_take_no_living_vm_out() {
    for count in [9, 87] {
        let mut fleet = Cluster::new(count, 11);
        fleet.run(6_000);
        for _ in 0..100 {
            fleet.run(BEAT_MS);
            let worst = (0..count).map(|vm| fleet.answer(vm).len()).min();
            assert_that!(worst, some(ge(count - 1)), "{count} VMs");
        }
    }
}

#[gtest]
fn a_vm_that_leaves_is_in_no_answer() {
    let mut fleet = Cluster::new(9, 5);
    fleet.run(3_000);
    fleet.phases[4] = Phase::Leaving;
    fleet.run(600);
    expect_that!(fleet.answer(0).contains(&ip(4)), eq(false));
}

#[gtest]
fn a_process_that_starts_with_a_clock_that_went_back_is_heard_again() {
    let mut fleet = Cluster::new(9, 5);
    fleet.run(3_000);
    let mut roster = Membership::new(ip(4), 1, 10);
    roster.add_member(ip(0), None);
    fleet.vms[4] = Some(roster);
    fleet.run(3_000);
    expect_that!(fleet.answer(7).contains(&ip(4)), eq(true));
}

#[gtest]
fn a_caller_gets_addresses_of_its_own_data_centre_while_two_are_ready() {
    let mut fleet = Cluster::new(9, 5);
    fleet.run(3_000);
    let near = |fleet: &Cluster| {
        fleet.vms[0]
            .as_ref()
            .unwrap()
            .caller_addresses(fleet.now, Some(1), true, 64)
    };
    expect_that!(near(&fleet), eq(&vec![ip(1), ip(4), ip(7)]));
    fleet.vms[1] = None;
    fleet.vms[4] = None;
    fleet.run(3_000);
    expect_that!(near(&fleet).len(), eq(7));
}

/// The order decides who reads the platform for the others.
#[gtest]
fn neighbours_agree_on_their_order() {
    let mut fleet = Cluster::new(9, 5);
    fleet.run(3_000);
    let order = |vm: usize| fleet.vms[vm].as_ref().unwrap().local_vms(fleet.now);
    expect_that!(order(1), eq(&order(4)));
    expect_that!(order(1).len(), eq(3));
}

/// The boundary between patient and urgent calls rests on the sum; it must be the same on all.
#[gtest]
fn everybody_knows_the_work_of_all() {
    let mut fleet = Cluster::new(87, 5);
    fleet.run(6_000);
    fleet.work = EngineWork(140, 10);
    fleet.run(2_400);
    for vm in 0..87 {
        let roster = fleet.vms[vm].as_ref().unwrap();
        let sum: u32 = roster.alive(fleet.now).map(|m| u32::from(m.work.0)).sum();
        assert_that!(sum, ge(140 * 86 * 9 / 10), "VM {vm}");
    }
}

/// Each beat tells on a part of a large fleet only. Where that part was always the same, or too
/// small, members that lived were taken for silent.
#[gtest]
fn few_living_members_are_missed_in_large_fleets() {
    for (count, missed_most) in [(66, 0), (87, 0), (300, 2 * 300)] {
        let mut fleet = Cluster::new(count, 5);
        fleet.run(9_000);
        let missed = (0..count).map(|vm| count - fleet.answer(vm).len());
        assert_that!(missed.sum::<usize>(), le(missed_most), "{count} VMs");
    }
}

#[gtest]
fn a_full_beat_fits_a_datagram() {
    let mut fleet = Cluster::new(87, 5);
    fleet.work = EngineWork(u16::MAX, u16::MAX);
    for roster in fleet.vms.iter_mut().flatten() {
        *roster = Membership::new(roster.local_ip(), 2, 1_800_000_000_000);
        roster.add_member(ip(0), None);
    }
    fleet.run(6_000);
    let roster = fleet.vms[1].as_mut().unwrap();
    let beat = roster.next_heartbeat(fleet.now, Phase::Ready, fleet.work);
    let mut bytes = Vec::new();
    ciborium::into_writer(&beat, &mut bytes).unwrap();
    expect_that!(bytes.len(), lt(1_500));
    let read: Heartbeat = ciborium::from_reader(bytes.as_slice()).unwrap();
    expect_that!(read, eq(&beat));
}
