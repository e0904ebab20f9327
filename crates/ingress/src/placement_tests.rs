use crate::{
    EndpointEntry, EndpointGroup, EndpointKey, EndpointTable, EngineReport, GroupSplit,
    PlacementDecision, PlacementReason, PlacementRequest, Prompt, PromptSection,
    endpoints_tests::entry,
};
use core::time::Duration;
use googletest::prelude::*;
use poplarswitch_entity::{DataCentre, ServiceName, Time};

const NOW: Time = Time::from_millis(10_000);

fn fleet(count: usize) -> EndpointTable {
    let mut fleet = EndpointTable::default();
    fleet.count_call(EndpointGroup::Strict);
    for n in 0..count {
        fleet.upsert(entry(&format!("e{n}"), 1));
    }
    fleet
}

fn prompt(session: u64) -> Prompt {
    let part = |id, tokens| PromptSection { id, tokens };
    Prompt {
        sections: vec![part(1, 100), part(session, 80), part(session + 1_000, 600)],
        input_tokens: 780,
        max_output: 100,
        output_hint: None,
    }
}

fn decide(
    fleet: &EndpointTable,
    prompt: Option<&Prompt>,
    tried: &[EndpointKey],
    top_priority: bool,
) -> PlacementDecision {
    let service = ServiceName::new("chat");
    let data_centre = DataCentre::new("bole");
    let ask = PlacementRequest {
        service: &service,
        prompt,
        objective: Some(Duration::from_millis(500)),
        time_left: Duration::from_millis(1_500),
        top_priority,
        tried,
        data_centre: &data_centre,
    };
    fleet.choose(NOW, ask, &GroupSplit::default())
}

fn choose(
    fleet: &EndpointTable,
    prompt: Option<&Prompt>,
    tried: &[EndpointKey],
) -> (EndpointKey, PlacementReason) {
    match decide(fleet, prompt, tried, false) {
        PlacementDecision::Send(choice) => (choice.endpoint, choice.reason),
        other => panic!("{other:?}"),
    }
}

/// Answers probes with what each engine's report says, until the call is decided.
fn decide_with(
    fleet: &mut EndpointTable,
    report: EngineReport,
    urgent: bool,
) -> (PlacementDecision, usize) {
    let prompt = prompt(3);
    fleet
        .group_load_mut(EndpointGroup::Strict)
        .record(NOW, true);
    for probes in 0..9 {
        match decide(fleet, Some(&prompt), &[], urgent) {
            PlacementDecision::Probe(key) => {
                fleet.record_report(NOW, key, EndpointGroup::Strict, report);
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
        let name = |fleet: &EndpointTable, key| fleet.get(key).map(|e| e.entry.name.clone());
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
        spilled += usize::from(reason == PlacementReason::Spill);
        fleet.get_mut(key).unwrap().open_calls += 1;
    }
    let most = fleet.iter().map(|(_, e)| e.open_calls).max();
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
    fleet.get_mut(first).unwrap().open_calls = 2;
    let (second, reason) = choose(&fleet, None, &[]);
    expect_that!(second, not(eq(first)));
    expect_that!(reason, eq(PlacementReason::LeastLoaded));
}

#[gtest]
fn an_endpoint_of_this_data_centre_is_preferred_among_equals() {
    let mut fleet = fleet(2);
    let near = EndpointEntry {
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
    fleet.get_mut(first).unwrap().health.record_unreachable(NOW);
    let (second, _) = choose(&fleet, None, &[]);
    expect_that!(second, not(eq(first)));
    fleet
        .get_mut(second)
        .unwrap()
        .health
        .record_unreachable(NOW);
    expect_that!(choose(&fleet, None, &[]).1, eq(PlacementReason::AllEjected));
}

/// Pattern: a burst of long work. All engines are behind; what can't begin in time is refused at
/// once, after a few engines were asked.
#[gtest]
fn a_call_that_no_engine_can_begin_in_time_is_refused() {
    let behind = EngineReport {
        waiting: 30,
        running: 4,
    };
    let (decision, probes) = decide_with(&mut fleet(9), behind, false);
    expect_that!(decision, matches_pattern!(PlacementDecision::Refuse { .. }));
    expect_that!(probes, eq(3));
}

#[gtest]
fn the_most_urgent_kind_is_never_refused_for_lack_of_places() {
    let behind = EngineReport {
        waiting: 30,
        running: 4,
    };
    let (decision, _) = decide_with(&mut fleet(9), behind, true);
    expect_that!(decision, matches_pattern!(PlacementDecision::Send(_)));
}

#[gtest]
fn nothing_is_refused_while_an_engine_that_was_asked_has_places() {
    let mut fleet = fleet(9);
    let behind = EngineReport {
        waiting: 30,
        running: 4,
    };
    fleet
        .group_load_mut(EndpointGroup::Strict)
        .record(NOW, true);
    let prompt = prompt(3);
    let PlacementDecision::Probe(first) = decide(&fleet, Some(&prompt), &[], false) else {
        panic!("asks the first")
    };
    fleet.record_report(NOW, first, EndpointGroup::Strict, behind);
    let PlacementDecision::Probe(second) = decide(&fleet, Some(&prompt), &[], false) else {
        panic!("asks the second")
    };
    fleet.record_report(NOW, second, EndpointGroup::Strict, EngineReport::default());
    let PlacementDecision::Send(choice) = decide(&fleet, Some(&prompt), &[], false) else {
        panic!("sends")
    };
    expect_that!(choice.endpoint, eq(second));
    expect_that!(choice.cache_source, some(eq(first)));
    expect_that!(choice.reason, eq(PlacementReason::Spill));
}

/// Decides about a patient call with every engine asked that the decision needs; engine `n` has
/// `waiting[n]` prompts of 40 ms before it and free places.
fn decide_patient(waiting: &[u32]) -> PlacementDecision {
    let mut fleet = EndpointTable::default();
    for n in 0..waiting.len() {
        fleet.upsert(EndpointEntry {
            slots: 64,
            ..entry(&format!("e{n}"), 1)
        });
    }
    fleet
        .group_load_mut(EndpointGroup::Relaxed)
        .record(NOW, true);
    let prompt = prompt(3);
    let service = ServiceName::new("chat");
    let data_centre = DataCentre::new("bole");
    let ask = PlacementRequest {
        service: &service,
        prompt: Some(&prompt),
        objective: Some(Duration::from_secs(2)),
        time_left: Duration::from_secs(12),
        top_priority: false,
        tried: &[],
        data_centre: &data_centre,
    };
    let mut waiting = waiting.iter();
    loop {
        match fleet.choose(NOW, ask, &GroupSplit::default()) {
            PlacementDecision::Probe(key) => {
                let report = EngineReport {
                    waiting: *waiting.next().expect("no more engines to ask"),
                    running: 0,
                };
                fleet.record_report(NOW, key, EndpointGroup::Relaxed, report);
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
        matches_pattern!(PlacementDecision::Refuse { .. })
    );
}

/// Pattern: the same burst, with one engine of the session's order less behind.
#[gtest]
fn a_patient_call_waits_for_an_engine_that_begins_it_in_time() {
    expect_that!(
        decide_patient(&[42, 44, 30]),
        matches_pattern!(PlacementDecision::Send(_))
    );
}
