use crate::{
    Ask, Decision, EndpointKey, Entry, Fleet, Part, Prompt, Reason, Report, Side, Sides,
    fleet_tests::entry,
};
use core::time::Duration;
use googletest::prelude::*;
use poplarswitch_entity::{DataCentre, ServiceName, Time};

const NOW: Time = Time::from_millis(10_000);

fn fleet(count: usize) -> Fleet {
    let mut fleet = Fleet::default();
    fleet.count_ask(Side::Short);
    for n in 0..count {
        fleet.upsert(entry(&format!("e{n}"), 1));
    }
    fleet
}

fn prompt(session: u64) -> Prompt {
    let part = |id, tokens| Part { id, tokens };
    Prompt {
        parts: vec![part(1, 100), part(session, 80), part(session + 1_000, 600)],
        input: 780,
        output: 100,
        hint: None,
    }
}

fn decide(fleet: &Fleet, prompt: Option<&Prompt>, tried: &[EndpointKey], urgent: bool) -> Decision {
    let service = ServiceName::new("chat");
    let data_centre = DataCentre::new("bole");
    let ask = Ask {
        service: &service,
        prompt,
        objective: Some(Duration::from_millis(500)),
        left: Duration::from_millis(1_500),
        urgent,
        tried,
        data_centre: &data_centre,
    };
    fleet.choose(NOW, ask, &Sides::default())
}

fn choose(fleet: &Fleet, prompt: Option<&Prompt>, tried: &[EndpointKey]) -> (EndpointKey, Reason) {
    match decide(fleet, prompt, tried, false) {
        Decision::Send(choice) => (choice.endpoint, choice.reason),
        other => panic!("{other:?}"),
    }
}

/// Answers probes with what each engine's report says, until the call is decided.
fn decide_with(fleet: &mut Fleet, report: Report, urgent: bool) -> (Decision, usize) {
    let prompt = prompt(3);
    fleet.pressure_mut(Side::Short).note(NOW, true);
    for probes in 0..9 {
        match decide(fleet, Some(&prompt), &[], urgent) {
            Decision::Probe(key) => {
                fleet.note_report(NOW, key, Side::Short, report);
            }
            decided => return (decided, probes),
        }
    }
    panic!("probes without end")
}

#[gtest]
fn a_session_keeps_its_endpoint_on_every_vm() {
    let (one, other) = (fleet(9), fleet(9));
    for session in 0..50 {
        let prompt = prompt(session);
        let (a, _) = choose(&one, Some(&prompt), &[]);
        let (b, _) = choose(&other, Some(&prompt), &[]);
        let name = |fleet: &Fleet, key| fleet.get(key).map(|e| e.entry.name.clone());
        assert_that!(name(&one, a), eq(&name(&other, b)));
    }
}

/// Pattern: one key gets much of the traffic.
#[gtest]
fn a_hot_session_spills_before_it_crowds_its_endpoint() {
    let mut fleet = fleet(9);
    let prompt = prompt(7);
    let mut spilled = 0;
    for _ in 0..90 {
        let (key, reason) = choose(&fleet, Some(&prompt), &[]);
        spilled += usize::from(reason == Reason::Spill);
        fleet.get_mut(key).unwrap().open += 1;
    }
    let most = fleet.iter().map(|(_, e)| e.open).max();
    expect_that!(most, some(lt(32)));
    expect_that!(spilled, gt(50));
}

#[gtest]
fn an_endpoint_that_leaves_moves_only_its_own_sessions() {
    let mut fleet = fleet(9);
    let before: Vec<EndpointKey> = (0..200)
        .map(|session| choose(&fleet, Some(&prompt(session)), &[]).0)
        .collect();
    let gone = before[0];
    let name = fleet.get(gone).unwrap().entry.name.clone();
    fleet.remove(&name, 2, None);
    for (session, key) in before.iter().enumerate().filter(|(_, key)| **key != gone) {
        let (now, _) = choose(&fleet, Some(&prompt(session as u64)), &[]);
        assert_that!(now, eq(*key));
    }
}

#[gtest]
fn calls_without_a_prompt_go_to_the_endpoint_that_holds_fewest() {
    let mut fleet = fleet(3);
    let (first, _) = choose(&fleet, None, &[]);
    fleet.get_mut(first).unwrap().open = 2;
    let (second, reason) = choose(&fleet, None, &[]);
    expect_that!(second, not(eq(first)));
    expect_that!(reason, eq(Reason::Least));
}

#[gtest]
fn an_endpoint_of_this_data_centre_is_preferred_among_equals() {
    let mut fleet = fleet(2);
    let near = Entry {
        data_centre: DataCentre::new("kality"),
        ..entry("far", 1)
    };
    fleet.upsert(near);
    for _ in 0..10 {
        let (key, _) = choose(&fleet, None, &[]);
        assert_that!(fleet.get(key).unwrap().entry.name.as_str(), not(eq("far")));
    }
}

#[gtest]
fn resting_endpoints_are_used_only_when_all_rest() {
    let mut fleet = fleet(2);
    let (first, _) = choose(&fleet, None, &[]);
    fleet.get_mut(first).unwrap().health.note_unreachable(NOW);
    let (second, _) = choose(&fleet, None, &[]);
    expect_that!(second, not(eq(first)));
    fleet.get_mut(second).unwrap().health.note_unreachable(NOW);
    expect_that!(choose(&fleet, None, &[]).1, eq(Reason::Resting));
}

/// Pattern: a burst of long work. All engines are behind; what can't begin in time is refused at
/// once, after a few engines were asked.
#[gtest]
fn a_call_that_no_engine_can_begin_in_time_is_refused() {
    let behind = Report {
        waiting: 30,
        running: 4,
    };
    let (decision, probes) = decide_with(&mut fleet(9), behind, false);
    expect_that!(decision, matches_pattern!(Decision::Refuse { .. }));
    expect_that!(probes, eq(3));
}

#[gtest]
fn the_most_urgent_kind_is_never_refused_for_lack_of_places() {
    let behind = Report {
        waiting: 30,
        running: 4,
    };
    let (decision, _) = decide_with(&mut fleet(9), behind, true);
    expect_that!(decision, matches_pattern!(Decision::Send(_)));
}

#[gtest]
fn nothing_is_refused_while_an_engine_that_was_asked_has_places() {
    let mut fleet = fleet(9);
    let behind = Report {
        waiting: 30,
        running: 4,
    };
    fleet.pressure_mut(Side::Short).note(NOW, true);
    let prompt = prompt(3);
    let Decision::Probe(first) = decide(&fleet, Some(&prompt), &[], false) else {
        panic!("asks the first")
    };
    fleet.note_report(NOW, first, Side::Short, behind);
    let Decision::Probe(second) = decide(&fleet, Some(&prompt), &[], false) else {
        panic!("asks the second")
    };
    fleet.note_report(NOW, second, Side::Short, Report::default());
    let Decision::Send(choice) = decide(&fleet, Some(&prompt), &[], false) else {
        panic!("sends")
    };
    expect_that!(choice.endpoint, eq(second));
    expect_that!(choice.keeper, some(eq(first)));
    expect_that!(choice.reason, eq(Reason::Spill));
}

/// Decides about a patient call with every engine asked that the decision needs; engine `n` has
/// `waiting[n]` prompts of 40 ms before it and free places.
fn decide_patient(waiting: &[u32]) -> Decision {
    let mut fleet = Fleet::default();
    for n in 0..waiting.len() {
        fleet.upsert(Entry {
            slots: 64,
            ..entry(&format!("e{n}"), 1)
        });
    }
    fleet.pressure_mut(Side::Long).note(NOW, true);
    let prompt = prompt(3);
    let service = ServiceName::new("chat");
    let data_centre = DataCentre::new("bole");
    let ask = Ask {
        service: &service,
        prompt: Some(&prompt),
        objective: Some(Duration::from_secs(2)),
        left: Duration::from_secs(12),
        urgent: false,
        tried: &[],
        data_centre: &data_centre,
    };
    let mut waiting = waiting.iter();
    loop {
        match fleet.choose(NOW, ask, &Sides::default()) {
            Decision::Probe(key) => {
                let report = Report {
                    waiting: *waiting.next().expect("no more engines to ask"),
                    running: 0,
                };
                fleet.note_report(NOW, key, Side::Long, report);
            }
            decided => return decided,
        }
    }
}

/// Pattern: a burst of reconciliations, three times what the engines can read. Calls that were let
/// in to begin shortly after their objective made those behind them late too: a third of the
/// answers came late, and not one caller more had an answer.
#[gtest]
fn a_patient_call_that_would_begin_late_is_refused_while_it_can_come_back() {
    expect_that!(
        decide_patient(&[42, 44, 46]),
        matches_pattern!(Decision::Refuse { .. })
    );
}

/// Pattern: the same burst, with one engine of the session's order less behind.
#[gtest]
fn a_patient_call_waits_for_an_engine_that_begins_it_in_time() {
    expect_that!(
        decide_patient(&[42, 44, 30]),
        matches_pattern!(Decision::Send(_))
    );
}
