use crate::{
    Core, FailureMark, Identity, Input, MembersMessage, Output, SeenHeartbeat, Settings, State,
};
use core::{net::SocketAddr, time::Duration};
use googletest::prelude::*;
use poplarswitch_entity::{Incarnation, Time};

const SILENT: Incarnation = Incarnation(2);
const WITNESS: Incarnation = Incarnation(3);
const STEP: Duration = Duration::from_millis(250);

fn identity(vm: u16, incarnation: u64, started: u64) -> Identity {
    let address = SocketAddr::from(([127, 0, 0, 1], vm));
    Identity::builder()
        .vm(format!("vm-{vm}").as_str())
        .incarnation(Incarnation(incarnation))
        .started(started)
        .data_centre("a")
        .cell("a")
        .address(address)
        .caller_address(address)
        .build()
}

/// A core that has links to a silent member and to a witness.
fn linked() -> Core {
    let mut core = Core::new(identity(1, 1, 0), Settings::builder().build(), 1);
    let mut out = Vec::new();
    core.tick(Time::ZERO, &mut out);
    for peer in [SILENT, WITNESS] {
        let peer = identity(peer.0 as u16, peer.0, 0);
        core.handle(Time::ZERO, Input::Linked(peer), &mut out);
    }
    core
}

fn seen(incarnation: Incarnation, seq: u64, age_ms: u32) -> SeenHeartbeat {
    SeenHeartbeat {
        incarnation,
        seq,
        age_ms,
        mark: FailureMark::Fine,
        leaving: false,
        load: 0,
    }
}

/// Lets time pass while the witness beats, and answers doubts with what it has seen.
fn pass(
    core: &mut Core,
    from: Time,
    time: Duration,
    answer: impl Fn(Time) -> Option<SeenHeartbeat>,
) -> Time {
    let mut now = from;
    while now < from + time {
        now = now + STEP;
        let mut out = Vec::new();
        core.tick(now, &mut out);
        let beat = MembersMessage::Heartbeat(seen(WITNESS, now.0, 0));
        let mut messages = vec![beat];
        let doubted = out.iter().any(|output| {
            matches!(output, Output::Send { to, message: MembersMessage::DigestRequest(_) } if *to == WITNESS)
        });
        if doubted && let Some(seen) = answer(now) {
            messages.push(MembersMessage::Digest(vec![seen]));
        }
        for message in messages {
            let from = WITNESS;
            core.handle(now, Input::Message { from, message }, &mut out);
        }
    }
    now
}

fn state(core: &Core, incarnation: Incarnation) -> Option<State> {
    core.member(incarnation).map(|member| member.state)
}

#[gtest]
fn a_member_that_another_hears_stays_alive() {
    let mut core = linked();
    let time = Duration::from_secs(20);
    pass(&mut core, Time::ZERO, time, |now| {
        Some(seen(SILENT, now.0, 100))
    });
    expect_that!(state(&core, SILENT), some(eq(State::Alive)));
}

#[gtest]
fn a_confirmed_silence_makes_a_member_suspect() {
    let mut core = linked();
    let time = Duration::from_secs(3);
    let now = pass(&mut core, Time::ZERO, time, |now| {
        Some(seen(SILENT, 0, (now.0 / 1_000) as u32))
    });
    expect_that!(state(&core, SILENT), some(eq(State::Suspect)));
    let mut out = Vec::new();
    let message = MembersMessage::Heartbeat(seen(SILENT, 9, 0));
    core.handle(
        now,
        Input::Message {
            from: SILENT,
            message,
        },
        &mut out,
    );
    expect_that!(state(&core, SILENT), some(eq(State::Alive)));
}

#[gtest]
fn a_pause_of_this_vm_makes_nobody_suspect() {
    let mut core = linked();
    let mut out = Vec::new();
    let now = Time::ZERO + Duration::from_mins(3);
    core.tick(now, &mut out);
    expect_that!(state(&core, SILENT), some(eq(State::Alive)));
    expect_that!(core.is_fresh(), eq(false));
    let message = MembersMessage::Heartbeat(seen(SILENT, 9, 0));
    core.handle(
        now,
        Input::Message {
            from: SILENT,
            message,
        },
        &mut out,
    );
    expect_that!(core.is_fresh(), eq(true));
}

#[gtest]
fn a_later_life_replaces_an_earlier_one() {
    let mut core = linked();
    let mut out = Vec::new();
    let next = identity(SILENT.0 as u16, 77, 1);
    core.handle(Time::ZERO, Input::Linked(next), &mut out);
    expect_that!(state(&core, SILENT), some(eq(State::Gone)));
    expect_that!(state(&core, Incarnation(77)), some(eq(State::Alive)));
    expect_that!(out, contains(eq(&Output::Close(SILENT))));
    let stale = MembersMessage::Heartbeat(seen(SILENT, 1_000, 0));
    let from = WITNESS;
    core.handle(
        Time::ZERO,
        Input::Message {
            from,
            message: stale,
        },
        &mut out,
    );
    expect_that!(state(&core, SILENT), some(eq(State::Gone)));
}

#[gtest]
fn leaving_is_told_at_once() {
    let mut core = linked();
    let mut out = Vec::new();
    core.handle(Time::ZERO, Input::Leave, &mut out);
    let told = out.iter().filter(|output| {
        matches!(output, Output::Send { message: MembersMessage::Heartbeat(seen), .. } if seen.leaving)
    });
    expect_that!(told.count(), eq(2));
    expect_that!(core.cell(), not(contains(eq(&Incarnation(1)))));
}

#[gtest]
fn a_link_that_nothing_comes_over_is_closed() {
    let mut core = linked();
    let mut closed = Vec::new();
    let mut now = Time::ZERO;
    for _ in 0..20 {
        now = now + STEP;
        let mut out = Vec::new();
        core.tick(now, &mut out);
        // Another VM hears the silent one, so it stays alive.
        let counts = [SILENT, WITNESS].map(|peer| seen(peer, now.0, 0));
        let digest = MembersMessage::Digest(counts.to_vec());
        let from = WITNESS;
        core.handle(
            now,
            Input::Message {
                from,
                message: digest,
            },
            &mut out,
        );
        closed.extend(
            out.into_iter()
                .filter(|output| matches!(output, Output::Close(_))),
        );
    }
    expect_that!(closed, elements_are![eq(&Output::Close(SILENT))]);
    expect_that!(state(&core, SILENT), some(eq(State::Alive)));
    expect_that!(core.links().contains(&SILENT), eq(false));
}
