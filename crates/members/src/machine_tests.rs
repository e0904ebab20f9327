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

/// A VM with links to a member that stays silent and to a witness.
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

/// Advances the clock by `time`; the witness sends heartbeats, and `answer` to digest requests.
fn advance(
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
        let heartbeat = MembersMessage::Heartbeat(seen(WITNESS, now.0, 0));
        let mut messages = vec![heartbeat];
        let requested = out.iter().any(|output| {
            matches!(output, Output::Send { to, message: MembersMessage::DigestRequest(_) } if *to == WITNESS)
        });
        if requested && let Some(seen) = answer(now) {
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
fn member_heard_by_another_vm_stays_alive() {
    let mut core = linked();
    let time = Duration::from_secs(20);
    advance(&mut core, Time::ZERO, time, |now| {
        Some(seen(SILENT, now.0, 100))
    });
    expect_that!(state(&core, SILENT), some(eq(State::Alive)));
}

#[gtest]
fn confirmed_silence_makes_a_member_suspect_until_its_next_heartbeat() {
    let mut core = linked();
    let time = Duration::from_secs(3);
    let now = advance(&mut core, Time::ZERO, time, |now| {
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
fn pause_of_this_vm_makes_no_member_suspect() {
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
fn later_incarnation_replaces_the_earlier_one() {
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
fn leaving_is_announced_at_once() {
    let mut core = linked();
    let mut out = Vec::new();
    core.handle(Time::ZERO, Input::Leave, &mut out);
    let announced = out.iter().filter(|output| {
        matches!(output, Output::Send { message: MembersMessage::Heartbeat(seen), .. } if seen.leaving)
    });
    expect_that!(announced.count(), eq(2));
    expect_that!(core.cell(), not(contains(eq(&Incarnation(1)))));
}

#[gtest]
fn silent_link_is_closed_while_the_member_stays_alive() {
    let mut core = linked();
    let mut closed = Vec::new();
    let mut now = Time::ZERO;
    for _ in 0..20 {
        now = now + STEP;
        let mut out = Vec::new();
        core.tick(now, &mut out);
        // The witness receives heartbeats of the silent member, which therefore stays alive.
        let entries = [SILENT, WITNESS].map(|peer| seen(peer, now.0, 0));
        let digest = MembersMessage::Digest(entries.to_vec());
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
