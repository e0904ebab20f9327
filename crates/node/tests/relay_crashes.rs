//! Prompts with a section that crashes each engine that begins an answer on it, beside sound calls of
//! the same route, caller and first section.

mod relay;

use core::{
    sync::atomic::{AtomicBool, Ordering},
    time::Duration,
};
use googletest::prelude::*;
use poplarswitch_deployment::{Endpoint, EndpointKind};
use relay::Fleet;
use std::{thread, time::Instant};

/// Number of VMs.
const VM_COUNT: u8 = 3;
/// Number of engines, including those that each fleet has.
const ENGINE_COUNT: usize = 10;
/// Time for which an engine is down after a crash.
const DOWN_TIME: Duration = Duration::from_secs(2);
/// Time within which VMs in touch must know what one of them has learned; from the operators'
/// specification.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Number of crashes after which that time begins; from the operators' specification.
const KNOWN_CRASHES: usize = 5;
/// Number of calls that may still reach engines after that time; from the operators' specification.
const MAX_LATE_CALLS: usize = 3;
/// Time without a trial, though calls wait for one, after which the next trial is due much later.
const QUIET_TIME: Duration = Duration::from_secs(4);
/// Time within which the trials that are due soon must be over.
const MAX_TRIAL_TIME: Duration = Duration::from_secs(20);
/// Section that all calls share.
const FIRST_SECTION: u64 = 0xf1;
/// Section that crashes engines.
const BAD_SECTION: u64 = 0xbad;

/// A sound call.
struct SoundCall {
    sent: Instant,
    served: bool,
}

fn start_fleet(net: u8) -> Fleet {
    let mut fleet = Fleet::start(net, VM_COUNT);
    for index in 2..ENGINE_COUNT {
        fleet.add_endpoint(&format!("engine-{}", index + 1), EndpointKind::Engine);
    }
    for endpoint in &fleet.endpoints {
        endpoint.update_behaviour(|behaviour| {
            behaviour.event_interval = Duration::from_millis(30);
        });
    }
    fleet
}

/// Path on one of the two routes. Bodies are alike, so that paths tell requests apart.
fn path_of(count: u32, name: &str) -> String {
    let route = ["/chat", "/brief"][count as usize % 2];
    format!("{route}/{name}")
}

/// Makes sound calls on all VMs until `stop`; each session is one of a few.
fn make_sound_calls(fleet: &Fleet, stop: &AtomicBool, caller: u32) -> Vec<SoundCall> {
    let mut calls = Vec::new();
    for count in 0.. {
        if stop.load(Ordering::Relaxed) {
            break;
        }
        let session = 0x5000 + (caller * 7 + count) % 20;
        let prompt = format!("{FIRST_SECTION:x}:100,{session:x}:50,{count:x}{caller:x}:10");
        let path = path_of(count, &format!("sound-{caller}-{count}"));
        let sent = Instant::now();
        let vm = count as usize % usize::from(VM_COUNT);
        let (_, response) = fleet.call_with_prompt(vm, &path, &prompt);
        let served = response.is_ok_and(|response| response.status == 200);
        calls.push(SoundCall { sent, served });
        thread::sleep(Duration::from_millis(20));
    }
    calls
}

fn served_share(calls: &[SoundCall], from: Instant, to: Instant) -> f64 {
    let counted = calls.iter().filter(|call| (from..to).contains(&call.sent));
    let (served, all) = counted.fold((0_u32, 0_u32), |(served, all), call| {
        (served + u32::from(call.served), all + 1)
    });
    f64::from(served) / f64::from(all.max(1))
}

/// Starts of the runs that crashed an engine, in order.
fn crash_times(fleet: &Fleet) -> Vec<Instant> {
    let runs = fleet.endpoints.iter().flat_map(Endpoint::runs);
    let crashed = runs.filter(|run| run.crashed);
    let mut times: Vec<Instant> = crashed.map(|run| run.started).collect();
    times.sort_unstable();
    times
}

/// Makes calls with the bad section for a while, no two alike, in turn at all VMs.
fn make_bad_calls(fleet: &Fleet, length: Duration) {
    let start = Instant::now();
    make_bad_calls_until(fleet, || start.elapsed() >= length);
}

/// Makes such calls until a condition holds.
fn make_bad_calls_until(fleet: &Fleet, mut is_over: impl FnMut() -> bool) {
    thread::scope(|scope| {
        let mut count = 0_u32;
        while !is_over() {
            count += 1;
            scope.spawn(move || {
                let prompt = format!("{FIRST_SECTION:x}:100,{BAD_SECTION:x}:50,{count:x}0:10");
                let path = path_of(count, &format!("bad-{count}"));
                fleet.call_with_prompt(count as usize % usize::from(VM_COUNT), &path, &prompt)
            });
            thread::sleep(Duration::from_millis(150));
        }
    });
}

/// Engines crashed one after the other under calls with one section in common.
#[gtest]
fn section_that_crashes_engines_is_stopped_and_sound_calls_are_served() {
    let fleet = start_fleet(31);
    for endpoint in &fleet.endpoints {
        endpoint.crash_on(&[BAD_SECTION], DOWN_TIME);
    }
    let stop = AtomicBool::new(false);
    let started = Instant::now();
    let (calls, began, ended) = thread::scope(|scope| {
        let callers: Vec<_> = (0..4)
            .map(|caller| {
                let (fleet, stop) = (&fleet, &stop);
                scope.spawn(move || make_sound_calls(fleet, stop, caller))
            })
            .collect();
        thread::sleep(Duration::from_secs(2));
        let began = Instant::now();
        make_bad_calls(&fleet, Duration::from_secs(12));
        let ended = Instant::now();
        stop.store(true, Ordering::Relaxed);
        let calls = callers
            .into_iter()
            .flat_map(|caller| caller.join().unwrap());
        (calls.collect::<Vec<_>>(), began, ended)
    });
    let crashes = crash_times(&fleet);
    let known = crashes.get(KNOWN_CRASHES - 1).copied().unwrap_or(began) + CONTACT_TIME;
    let late = crashes.iter().filter(|at| **at > known).count();
    expect_that!(late, le(MAX_LATE_CALLS), "{} crashes", crashes.len());
    let before = served_share(&calls, started, began);
    let after = served_share(&calls, known + CONTACT_TIME, ended);
    expect_that!(before, gt(0.9));
    expect_that!(after, gt(before / 2.0));
}

/// Whether the logs of the VMs say that a section was held.
fn is_any_held(fleet: &Fleet) -> bool {
    let held = r#""message":"section","event":"held""#;
    (0..usize::from(VM_COUNT)).any(|vm| fleet.log(vm).contains(held))
}

/// Whether a call was refused because its request was held.
fn is_any_refused(fleet: &Fleet) -> bool {
    (0..usize::from(VM_COUNT)).any(|vm| fleet.log(vm).contains(r#""event":"request_held""#))
}

/// Number of trials that have ended, and of those that crashed an engine.
fn count_trials(fleet: &Fleet) -> (usize, usize) {
    let logs: String = (0..usize::from(VM_COUNT)).map(|vm| fleet.log(vm)).collect();
    let ended = logs
        .lines()
        .filter(|line| line.contains(r#""event":"trial_ended""#));
    let cut = ended
        .clone()
        .filter(|line| line.contains(r#""outcome":"cut""#));
    (ended.count(), cut.count())
}

/// Starts a fleet whose VMs hold the bad section, and have sent the trials that come soon.
fn start_fleet_with_held_section(net: u8) -> Fleet {
    let fleet = start_fleet(net);
    for endpoint in &fleet.endpoints {
        endpoint.crash_on(&[BAD_SECTION], DOWN_TIME);
    }
    let start = Instant::now();
    let mut seen = (0, start);
    make_bad_calls_until(&fleet, || {
        assert!(start.elapsed() < MAX_TRIAL_TIME, "a trial is due still");
        let (ended, cut) = count_trials(&fleet);
        if ended != seen.0 {
            seen = (ended, Instant::now());
        }
        cut > 0 && seen.1.elapsed() >= QUIET_TIME
    });
    expect_that!(is_any_held(&fleet), eq(true));
    // All VMs and the platform have learned of it by then.
    thread::sleep(Duration::from_millis(500));
    fleet
}

/// A popular section must not be held because all engines crashed of a common cause.
#[gtest]
fn common_cause_of_crashes_holds_no_section() {
    let fleet = start_fleet(32);
    let stop = AtomicBool::new(false);
    let (calls, last_second, end) = thread::scope(|scope| {
        let callers: Vec<_> = (0..4)
            .map(|caller| {
                let (fleet, stop) = (&fleet, &stop);
                scope.spawn(move || make_sound_calls(fleet, stop, caller))
            })
            .collect();
        for pause in [Duration::ZERO, Duration::from_millis(250)] {
            thread::sleep(Duration::from_secs(1));
            for endpoint in &fleet.endpoints {
                endpoint.crash(Duration::from_millis(800));
                thread::sleep(pause);
            }
        }
        thread::sleep(Duration::from_secs(1));
        let last_second = Instant::now();
        thread::sleep(Duration::from_secs(1));
        let end = Instant::now();
        stop.store(true, Ordering::Relaxed);
        let calls = callers
            .into_iter()
            .flat_map(|caller| caller.join().unwrap());
        (calls.collect::<Vec<_>>(), last_second, end)
    });
    expect_that!(is_any_held(&fleet), eq(false));
    expect_that!(is_any_refused(&fleet), eq(false));
    expect_that!(served_share(&calls, last_second, end), gt(0.9));
}

/// A VM that restarts must learn held sections before it sends calls with them.
#[gtest]
fn restarted_vm_refuses_calls_with_a_held_section() {
    let mut fleet = start_fleet_with_held_section(33);
    for vm in 0..usize::from(VM_COUNT) {
        fleet.kill(vm);
        fleet.start_process(vm);
        fleet.await_ready();
        let before = crash_times(&fleet).len();
        let prompt = format!("{FIRST_SECTION:x}:100,{BAD_SECTION:x}:50,7{vm}0:10");
        let path = format!("/chat/restarted-{vm}");
        let (_, response) = fleet.call_with_prompt(vm, &path, &prompt);
        expect_that!(response.unwrap().not_run(), eq(true), "VM {vm}");
        expect_that!(crash_times(&fleet).len(), eq(before), "VM {vm}");
    }
}

/// Held sections must not be forgotten when all VMs are killed at once.
#[gtest]
fn held_section_outlives_all_vms() {
    let mut fleet = start_fleet_with_held_section(34);
    for vm in 0..usize::from(VM_COUNT) {
        fleet.kill(vm);
    }
    for vm in 0..usize::from(VM_COUNT) {
        fleet.start_process(vm);
    }
    fleet.await_ready();
    let before = crash_times(&fleet).len();
    for vm in 0..usize::from(VM_COUNT) {
        let prompt = format!("{FIRST_SECTION:x}:100,{BAD_SECTION:x}:50,8{vm}0:10");
        let path = format!("/chat/started-{vm}");
        let (_, response) = fleet.call_with_prompt(vm, &path, &prompt);
        expect_that!(response.unwrap().not_run(), eq(true), "VM {vm}");
    }
    expect_that!(crash_times(&fleet).len(), eq(before));
}

/// A trial of a held section was sent to a second engine after it had crashed the first one.
#[gtest]
fn trial_of_a_held_section_crashes_one_engine_at_most() {
    let fleet = start_fleet_with_held_section(35);
    make_bad_calls(&fleet, Duration::from_secs(1));
    let logs: String = (0..usize::from(VM_COUNT)).map(|vm| fleet.log(vm)).collect();
    let trials = logs
        .lines()
        .filter(|line| line.contains(r#""event":"trial""#));
    let ids: Vec<String> = trials
        .filter_map(|line| {
            let (_, id) = line.split_once(r#""id":""#)?;
            Some(id.split('"').next()?.to_owned())
        })
        .collect();
    expect_that!(ids.len(), ge(1));
    for id in ids {
        let crashed = fleet.runs_of(&id).filter(|run| run.crashed).count();
        expect_that!(crashed, le(1), "call {id}");
    }
}
