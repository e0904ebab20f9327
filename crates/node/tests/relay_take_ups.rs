//! Streams of which no VM that answers has a record: they go on only if the platform shows that their
//! service has had one version.

mod relay;

use core::time::Duration;
use googletest::prelude::*;
use poplarswitch_deployment::{
    CallError, CallResponse, EndpointKind, LinkMode, StoreFault, TakenUp,
};
use relay::{Fleet, last_event, wait_until};
use std::{collections::HashMap, thread};

/// Path of a stream that may be resumed.
const BRIEF: &str = "/brief/1";
/// Number of streams of a test.
const STREAM_COUNT: usize = 18;
/// Number of events of a whole stream, and the time between them.
const EVENT_COUNT: u32 = 40;
const EVENT_INTERVAL: Duration = Duration::from_millis(50);
/// Number of times that callers try again to take streams up, and the time between.
const RETRY_COUNT: usize = 10;
const RETRY_INTERVAL: Duration = Duration::from_millis(300);
/// Index of an engine of the second version.
const NEWER: usize = 4;

/// Lets the endpoints send their events.
fn set_events(fleet: &Fleet) {
    for endpoint in &fleet.endpoints {
        endpoint.update_behaviour(|b| {
            b.event_count = EVENT_COUNT;
            b.event_interval = EVENT_INTERVAL;
        });
    }
}

/// Begins streams at VM 0, kills it, and returns those that broke off, with their last events.
fn break_streams(fleet: &mut Fleet) -> Vec<(String, String)> {
    let shared: &Fleet = fleet;
    let results: Vec<(String, Result<CallResponse, CallError>)> = thread::scope(|scope| {
        let calls: Vec<_> = (0..STREAM_COUNT)
            .map(|_| scope.spawn(|| shared.call(0, BRIEF)))
            .collect();
        thread::sleep(EVENT_INTERVAL * 6);
        shared.signal(0, rustix::process::Signal::KILL);
        calls.into_iter().map(|call| call.join().unwrap()).collect()
    });
    fleet.kill(0);
    broken_streams(results)
}

/// Streams that broke off after some events, with the last event.
fn broken_streams(
    results: Vec<(String, Result<CallResponse, CallError>)>,
) -> Vec<(String, String)> {
    let broken = results.into_iter().filter_map(|(id, result)| {
        let last = last_event(result.err()?.partial_body())?;
        Some((id, last))
    });
    broken.collect()
}

/// Takes streams up at a VM at the same time, by their first attempts; returns the attempts with their
/// statuses.
fn take_up_all(
    fleet: &Fleet,
    vm: usize,
    streams: &[(String, String)],
) -> Vec<(String, String, Option<u16>)> {
    thread::scope(|scope| {
        let calls: Vec<_> = streams
            .iter()
            .map(|(first, last_event)| {
                scope.spawn(move || {
                    let stream = TakenUp {
                        first_attempt: Some(first),
                        last_event,
                    };
                    let (id, response) = fleet.take_up(vm, BRIEF, stream);
                    (id, first.clone(), response.ok().map(|r| r.status))
                })
            })
            .collect();
        calls.into_iter().map(|call| call.join().unwrap()).collect()
    })
}

/// Number of streams that ran at engines of both versions.
fn count_mixed(fleet: &Fleet, taken_up: &[(String, String, Option<u16>)]) -> usize {
    let firsts: HashMap<&str, &str> = taken_up
        .iter()
        .map(|(id, first, _)| (id.as_str(), first.as_str()))
        .collect();
    let mut versions: HashMap<String, [bool; 2]> = HashMap::new();
    for (index, endpoint) in fleet.endpoints.iter().enumerate() {
        for run in endpoint.runs() {
            let id = run.call_id.as_str();
            let first = firsts.get(id).copied().unwrap_or(id);
            versions.entry(first.to_owned()).or_default()[usize::from(index == NEWER)] = true;
        }
    }
    versions.values().filter(|ran| ran[0] && ran[1]).count()
}

/// A VM that was cut off from the others and the platform let streams of a version that it had not seen
/// go on at the one that it knew (ORDER).
#[gtest]
fn stream_of_a_version_that_a_vm_has_not_seen_goes_on_nowhere_there() {
    let mut fleet = Fleet::new(208, 2);
    fleet.processes[1].cut_off = true;
    fleet.start_all();
    for vm in 0..2 {
        wait_until("the VM is ready", || fleet.is_ready(vm));
    }
    set_events(&fleet);
    thread::sleep(Duration::from_millis(500));
    fleet.store_proxies[1].set_mode(LinkMode::Hangs);
    fleet.add_endpoint("engine-3", EndpointKind::Engine);
    set_events(&fleet);
    fleet.endpoints[NEWER].set_software("v2".into());
    fleet.register(NEWER, EndpointKind::Engine, 2, false);
    thread::sleep(Duration::from_millis(150));
    let broken = break_streams(&mut fleet);
    expect_that!(broken.len(), ge(12));
    let newer = fleet.endpoints[NEWER].runs().len();
    expect_that!(newer, ge(3));
    let taken_up = take_up_all(&fleet, 1, &broken);
    expect_that!(count_mixed(&fleet, &taken_up), eq(0));
    let refused = taken_up
        .iter()
        .filter(|(_, _, status)| *status == Some(503));
    expect_that!(refused.count(), eq(broken.len()));
}

/// Plays a version that comes and goes, with `is_newer` as the second one and else as the first, while VM 1 is
/// cut off from the platform and the other VM, which is killed; returns the streams that broke off there. If
/// the platform `forgets`, VM 1 gets a listing in place of the changes.
fn play_unseen_version(fleet: &mut Fleet, is_newer: bool, forgets: bool) -> Vec<(String, String)> {
    fleet.processes[1].cut_off = true;
    fleet.start_all();
    for vm in 0..2 {
        wait_until("the VM is ready", || fleet.is_ready(vm));
    }
    set_events(fleet);
    thread::sleep(Duration::from_millis(500));
    // No open watch reports what follows.
    fleet.store_proxies[1].set_mode(LinkMode::Resets);
    thread::sleep(Duration::from_millis(150));
    fleet.add_endpoint("engine-3", EndpointKind::Engine);
    set_events(fleet);
    if is_newer {
        fleet.endpoints[NEWER].set_software("v2".into());
    }
    fleet.register(NEWER, EndpointKind::Engine, 2, false);
    thread::sleep(Duration::from_millis(300));
    let broken = break_streams(fleet);
    expect_that!(broken.len(), ge(12));
    expect_that!(fleet.endpoints[NEWER].runs().len(), ge(3));
    fleet.store.unregister(&fleet.endpoints[NEWER].name());
    if forgets {
        fleet.store.clear_history();
    }
    fleet.store_proxies[1].set_mode(LinkMode::Passes);
    broken
}

/// Takes streams up until all have gone on or some seconds are over; returns how many have gone on, and how
/// many of those at an engine of the other version.
fn take_up_again(fleet: &Fleet, streams: &[(String, String)]) -> (usize, usize) {
    let mut left = streams.to_vec();
    let mut mixed = 0;
    for _ in 0..RETRY_COUNT {
        let taken_up = take_up_all(fleet, 1, &left);
        mixed += count_mixed(fleet, &taken_up);
        let refused = |first: &str| {
            let mut taken_up = taken_up.iter();
            taken_up.any(|(_, known, status)| known == first && *status != Some(200))
        };
        left.retain(|(first, _)| refused(first));
        if left.is_empty() {
            break;
        }
        thread::sleep(RETRY_INTERVAL);
    }
    (streams.len() - left.len(), mixed)
}

/// A version that came and went while a VM was cut off left no trace in its view, and streams of that version
/// went on at the one that it knew (ORDER). The changes that the platform reports at once show it.
#[gtest]
fn stream_of_a_version_that_came_and_went_goes_on_nowhere_where_it_was_not_seen() {
    let mut fleet = Fleet::new(224, 2);
    let broken = play_unseen_version(&mut fleet, true, false);
    expect_that!(take_up_again(&fleet, &broken).1, eq(0));
}

/// The same if the platform has lost the changes. What the other VM wrote into its entry shows it.
#[gtest]
fn stream_of_a_version_that_a_listing_skips_goes_on_nowhere() {
    let mut fleet = Fleet::new(225, 2);
    let broken = play_unseen_version(&mut fleet, true, true);
    expect_that!(take_up_again(&fleet, &broken).1, eq(0));
}

/// Guards the mends of the above: streams of the only version go on soon after the gap.
#[gtest]
fn streams_of_the_only_version_go_on_after_a_gap() {
    for (net, forgets) in [(226, false), (227, true)] {
        let mut fleet = Fleet::new(net, 2);
        let broken = play_unseen_version(&mut fleet, false, forgets);
        expect_that!(take_up_again(&fleet, &broken).0, eq(broken.len()));
    }
}

/// Guards the mend of the above: streams that no VM knows still go on at VMs that reach the platform, also
/// at those that get the endpoints from others, while a third of the VMs is dead.
#[gtest]
fn streams_of_the_only_version_go_on_while_a_third_of_the_vms_are_dead() {
    let mut fleet = Fleet::start(209, 6);
    set_events(&fleet);
    for endpoint in &fleet.endpoints {
        endpoint.update_behaviour(|b| b.event_interval = Duration::from_millis(5));
    }
    for vm in [0, 1] {
        fleet.kill(vm);
    }
    for round in 0..2 {
        for vm in 2..6 {
            let unknown = |n| (format!("never-sent-{round}-{vm}-{n}"), "3".to_owned());
            let streams: Vec<_> = (0..STREAM_COUNT).map(unknown).collect();
            let taken_up = take_up_all(&fleet, vm, &streams);
            let served = taken_up
                .iter()
                .filter(|(_, _, status)| *status == Some(200));
            expect_that!(served.count(), eq(STREAM_COUNT), "VM {vm}, round {round}");
        }
        // The dead VMs count as silent from now on.
        thread::sleep(Duration::from_millis(1_500));
    }
}

/// A take-up at a VM whose platform is slow waits for the confirmation.
#[gtest]
fn stream_of_the_only_version_goes_on_while_the_platform_is_slow() {
    let fleet = Fleet::start(210, 2);
    let slow = StoreFault::Slow(Duration::from_millis(350));
    fleet.store.set_fault(slow);
    for vm in 0..2 {
        let stream = TakenUp {
            first_attempt: Some("never-sent"),
            last_event: "3",
        };
        let (_, response) = fleet.take_up(vm, BRIEF, stream);
        expect_that!(response.map(|r| r.status), ok(eq(&200)));
    }
}

/// Starts VMs before engines of two versions.
fn start_two_versions(net: u8) -> Fleet {
    let mut fleet = Fleet::start(net, 3);
    fleet.add_endpoint("engine-3", EndpointKind::Engine);
    set_events(&fleet);
    fleet.endpoints[NEWER].set_software("v2".into());
    fleet.register(NEWER, EndpointKind::Engine, 2, false);
    thread::sleep(Duration::from_secs(1));
    fleet
}

/// Begins streams at all VMs, lets the store fail at first, kills all VMs, starts them again and takes all
/// streams up; returns their number, how many went on, and how many of those at another version.
fn play_failed_writes(net: u8, fault: StoreFault, fault_time: Duration) -> (usize, usize, usize) {
    let mut fleet = start_two_versions(net);
    let shared: &Fleet = &fleet;
    let results: Vec<(String, Result<CallResponse, CallError>)> = thread::scope(|scope| {
        shared.store.set_fault(fault);
        let calls: Vec<_> = (0..STREAM_COUNT)
            .map(|n| scope.spawn(move || shared.call(n % 3, BRIEF)))
            .collect();
        thread::sleep(fault_time);
        shared.store.set_fault(StoreFault::None);
        thread::sleep(Duration::from_millis(1_200).saturating_sub(fault_time));
        for vm in 0..3 {
            shared.signal(vm, rustix::process::Signal::KILL);
        }
        calls.into_iter().map(|call| call.join().unwrap()).collect()
    });
    let broken = broken_streams(results);
    for vm in 0..3 {
        fleet.kill(vm);
        fleet.start_process(vm);
    }
    fleet.await_ready();
    thread::sleep(Duration::from_millis(500));
    let taken_up = take_up_all(&fleet, 1, &broken);
    let served = taken_up
        .iter()
        .filter(|(_, _, status)| *status == Some(200));
    (broken.len(), served.count(), count_mixed(&fleet, &taken_up))
}

/// One refused write of the entries that keep streams put the next one off by two seconds, and all streams
/// of that time were lost with the VMs (LOST).
#[gtest]
fn streams_are_kept_soon_after_a_refused_write() {
    let refusal = StoreFault::Refuses(503);
    let (broken, gone_on, mixed) = play_failed_writes(211, refusal, Duration::from_millis(300));
    expect_that!(broken, ge(12));
    expect_that!(mixed, eq(0));
    expect_that!(gone_on, ge(broken * 9 / 10));
}

/// The same after writes whose connections were cut, which may have been executed or not.
#[gtest]
fn streams_are_kept_soon_after_a_write_without_an_answer() {
    let fault = StoreFault::LosesAnswers;
    let (broken, gone_on, mixed) = play_failed_writes(212, fault, Duration::from_millis(300));
    expect_that!(broken, ge(12));
    expect_that!(mixed, eq(0));
    expect_that!(gone_on, ge(broken * 9 / 10));
}

/// A VM that was told to leave while its entry lacked streams did nothing else any more, and was killed at
/// the end of its grace (soak seeds 1000, 1024 and 1035).
#[gtest]
fn vms_that_are_told_to_leave_while_streams_begin_exit_in_time() {
    let mut fleet = start_two_versions(218);
    thread::scope(|scope| {
        let shared: &Fleet = &fleet;
        for vm in 0..3 {
            shared.signal(vm, rustix::process::Signal::TERM);
        }
        let calls: Vec<_> = (0..STREAM_COUNT)
            .map(|n| scope.spawn(move || shared.call(n % 3, BRIEF)))
            .collect();
        for call in calls {
            let (_, response) = call.join().unwrap();
            expect_that!(response.map(|r| r.status), ok(eq(&200)));
        }
    });
    for vm in 0..3 {
        expect_that!(fleet.await_exit(vm), eq(true));
    }
}

/// A write of an entry failed because the platform closed the idle connection on which it was sent.
#[gtest]
fn write_whose_idle_connection_breaks_is_repeated_at_once() {
    let fleet = start_two_versions(221);
    fleet.store.set_fault(StoreFault::LosesAnswer);
    for vm in 0..3 {
        let (_, response) = fleet.call(vm, BRIEF);
        expect_that!(response.map(|r| r.status), ok(eq(&200)));
    }
    let logs: Vec<String> = (0..3).map(|vm| fleet.log(vm)).collect();
    let lines = |wanted: &str| {
        let lines = logs.iter().flat_map(|log| log.lines());
        lines.filter(|line| line.contains(wanted)).count()
    };
    expect_that!(lines(r#""event":"kept""#), ge(1));
    expect_that!(lines(r#""call":"put_vm""#), eq(0));
}

/// Streams that began at an endpoint that had been started again as another version, a moment before its
/// VM could know, were recorded as of the version before.
#[gtest]
fn stream_that_begins_at_an_unseen_incarnation_is_not_of_the_version_before() {
    let mut fleet = Fleet::new(222, 2);
    fleet.processes[1].cut_off = true;
    fleet.start_all();
    for vm in 0..2 {
        wait_until("the VM is ready", || fleet.is_ready(vm));
    }
    for endpoint in &fleet.endpoints {
        endpoint.update_behaviour(|b| {
            b.event_count = EVENT_COUNT;
            b.event_interval = Duration::from_millis(5);
        });
    }
    thread::sleep(Duration::from_millis(500));
    // The VM has no connection to the engine that is another process, of another version, from now on.
    fleet.store_proxies[1].set_mode(LinkMode::Hangs);
    fleet.endpoints[0].update_behaviour(|b| {
        b.reported_start = Some(2);
        b.cut_after = Some(3);
    });
    let begun: Vec<(String, String)> = (0..STREAM_COUNT)
        .map(|n| {
            let prompt = format!("f1:100,{:x}:50,{n:x}0:10", 0x700 + n);
            let (id, _) = fleet.call_with_prompt(1, BRIEF, &prompt);
            (id, "3".to_owned())
        })
        .collect();
    let unseen = |id: &str| {
        let runs = fleet.endpoints[0].runs();
        runs.iter().filter(|run| run.call_id == id).count() > 0
    };
    let begun: Vec<_> = begun.into_iter().filter(|(id, _)| unseen(id)).collect();
    expect_that!(begun.len(), ge(3));
    for (id, _) in &begun {
        let joined = fleet.runs_of(id).filter(|run| run.after_event > 0);
        expect_that!(joined.count(), eq(0));
    }
    let taken_up = take_up_all(&fleet, 1, &begun);
    let ran = taken_up.iter().filter(|(id, _, _)| fleet.run_count(id) > 0);
    expect_that!(ran.count(), eq(0));
}

/// Endpoints that reported late got no streams that were taken up, though they got new ones (LOST).
#[gtest]
fn streams_go_on_at_endpoints_that_report_late() {
    let mut fleet = start_two_versions(223);
    let broken = break_streams(&mut fleet);
    expect_that!(broken.len(), ge(12));
    let delays = [250, 600, 1_200].map(Duration::from_millis);
    let groups = broken.chunks(broken.len().div_ceil(delays.len()));
    for (delay, streams) in delays.into_iter().zip(groups) {
        for endpoint in &fleet.endpoints {
            endpoint.update_behaviour(|b| b.report_delay = delay);
        }
        let (_, new) = fleet.call(1, BRIEF);
        expect_that!(new.map(|r| r.status), ok(eq(&200)));
        let taken_up = take_up_all(&fleet, 1, streams);
        let served = taken_up
            .iter()
            .filter(|(_, _, status)| *status == Some(200));
        expect_that!(served.count(), eq(streams.len()), "{delay:?}");
        expect_that!(count_mixed(&fleet, &taken_up), eq(0));
    }
}

/// A VM whose links hung kept streams waiting for reports on idle connections, and refused them in the end,
/// though another VM reached the endpoints.
#[gtest]
fn streams_go_on_through_another_vm_while_links_hang() {
    let mut fleet = Fleet::start_linked(230, 3);
    set_events(&fleet);
    // Leaves idle connections.
    for _ in 0..2 {
        thread::scope(|scope| {
            let fleet = &fleet;
            for _ in 0..STREAM_COUNT {
                scope.spawn(move || fleet.call(1, "/chat/1"));
            }
        });
    }
    let broken = break_streams(&mut fleet);
    expect_that!(broken.len(), ge(12));
    fleet.set_links(1, LinkMode::Hangs);
    let taken_up = take_up_all(&fleet, 1, &broken);
    let served = taken_up
        .iter()
        .filter(|(_, _, status)| *status == Some(200));
    expect_that!(served.count(), eq(broken.len()));
}
