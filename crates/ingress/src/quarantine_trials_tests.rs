//! Requests as subjects, and the trials of held subjects: who grants them, when, and what VMs tell each
//! other of them.

mod delays;

use crate::{
    LimitMessage, StreamMessage,
    quarantine::{
        AnswerRecord, CrashRecord, CutCall, HoldChange, HoldRecord, Passage, Quarantine,
        QuarantineDigest, RequestId, RequestParts, Subject, TrialAsk, TrialEnded, TrialHome,
        TrialId, TrialMessage, TrialOutcome, TrialTarget, TrialVerdict,
    },
};
use googletest::prelude::*;
use poplarswitch_entity::Time;
use serde::{Deserialize, Serialize};

const REQUEST: RequestId = RequestId(0xbad);
const SUBJECT: Subject = Subject::Request(REQUEST);
const OTHER: Subject = Subject::Request(RequestId(0x900d));
const TARGET: TrialTarget = TrialTarget {
    service: 1,
    endpoints: 3,
    version: 1,
};
/// Address of another VM.
const VM: u32 = 9;

const fn time(millis: u64) -> Time {
    Time::from_millis(millis)
}

fn crash(quarantine: &mut Quarantine, millis: u64, subject: Subject, sections: &[u64]) {
    let cut = CutCall {
        endpoint: millis as u32,
        at: time(millis),
        begun: true,
        request: Some(RequestId(subject.id())),
        sections: sections.to_vec(),
    };
    quarantine.record_crash(time(millis), &cut);
}

fn answer(quarantine: &mut Quarantine, millis: u64, subject: Subject) {
    quarantine.record_answer(time(millis), time(millis), [subject].into_iter());
}

fn check(quarantine: &mut Quarantine, millis: u64, subject: Subject) -> Passage {
    let subjects = [subject].into_iter();
    quarantine.check(time(millis), subjects, TrialHome::Local, TARGET)
}

fn ended(id: TrialId, outcome: TrialOutcome) -> TrialEnded {
    TrialEnded {
        serial: id.serial,
        subject: id.subject,
        outcome,
    }
}

/// Asks for a trial at this VM and ends it; returns whether it was granted.
fn try_trial(quarantine: &mut Quarantine, millis: u64, outcome: TrialOutcome) -> bool {
    let Passage::Trial(id) = check(quarantine, millis, SUBJECT) else {
        return false;
    };
    quarantine.end_trial(time(millis), None, &ended(id, outcome));
    true
}

/// A VM that holds the request since 0.2 s.
fn holding() -> Quarantine {
    let mut quarantine = Quarantine::default();
    crash(&mut quarantine, 100, SUBJECT, &[]);
    crash(&mut quarantine, 200, SUBJECT, &[]);
    quarantine
}

const fn ask(subject: Subject, serial: u32, version: u64) -> TrialAsk {
    TrialAsk {
        serial,
        subject,
        since_ms: 100,
        trials: 0,
        target: TrialTarget { version, ..TARGET },
        also: None,
    }
}

fn verdict(quarantine: &mut Quarantine, millis: u64, ask: &TrialAsk) -> TrialVerdict {
    let (reply, _) = quarantine.answer_ask(time(millis), VM, ask, TrialHome::Local);
    reply.verdict
}

#[gtest]
fn request_differs_in_each_part() {
    let parts = RequestParts {
        host: "a",
        method: "GET",
        path: "/b?c",
        caller: "d",
        body: b"",
    };
    let others = [
        RequestParts {
            host: "a/",
            ..parts
        },
        RequestParts {
            method: "PUT",
            ..parts
        },
        RequestParts {
            path: "/b",
            ..parts
        },
        RequestParts {
            caller: "",
            ..parts
        },
        RequestParts {
            body: b"x",
            ..parts
        },
        // The same characters in all, split otherwise.
        RequestParts {
            host: "aG",
            method: "ET",
            ..parts
        },
    ];
    for other in &others {
        expect_that!(
            RequestId::new(other),
            not(eq(RequestId::new(&parts))),
            "{other:?}"
        );
    }
    expect_that!(RequestId::new(&parts.clone()), eq(RequestId::new(&parts)));
}

#[gtest]
fn request_without_answers_is_held_after_two_crashes() {
    let mut quarantine = Quarantine::default();
    crash(&mut quarantine, 100, SUBJECT, &[]);
    expect_that!(check(&mut quarantine, 150, SUBJECT), eq(Passage::Free));
    crash(&mut quarantine, 200, SUBJECT, &[]);
    expect_that!(check(&mut quarantine, 250, SUBJECT), not(eq(Passage::Free)));
    expect_that!(check(&mut quarantine, 250, OTHER), eq(Passage::Free));
}

/// Guards against a popular request that is held because it is on every endpoint that another one
/// crashes.
#[gtest]
fn request_with_answers_is_held_only_if_none_follows_the_crashes() {
    let mut quarantine = Quarantine::default();
    answer(&mut quarantine, 50, SUBJECT);
    for millis in [100, 150, 200] {
        crash(&mut quarantine, millis, SUBJECT, &[]);
    }
    quarantine.expire(time(1_000));
    expect_that!(check(&mut quarantine, 1_000, SUBJECT), eq(Passage::Free));
    let mut answered = quarantine.clone();
    answer(&mut answered, 1_100, SUBJECT);
    answered.expire(time(3_000));
    expect_that!(answered.held_count(), eq(0));
    quarantine.expire(time(3_000));
    expect_that!(quarantine.held_count(), eq(1));
}

/// Guards against sections of sound calls that are held for a request that crashes engines.
#[gtest]
fn trials_of_a_request_are_no_evidence_against_its_sections() {
    let mut quarantine = Quarantine::default();
    for n in 0..20 {
        crash(&mut quarantine, 500 * n, SUBJECT, &[1, 2]);
    }
    expect_that!(
        quarantine.is_held([Subject::Section(1)].into_iter()),
        none()
    );
    expect_that!(quarantine.is_held([SUBJECT].into_iter()), some(eq(SUBJECT)));
}

#[gtest]
fn trials_are_granted_one_at_a_time() {
    let mut home = holding();
    expect_that!(
        verdict(&mut home, 300, &ask(SUBJECT, 1, 1)),
        eq(TrialVerdict::Granted)
    );
    expect_that!(
        check(&mut home, 310, SUBJECT),
        matches_pattern!(Passage::Wait { .. })
    );
    crash(&mut home, 320, OTHER, &[]);
    crash(&mut home, 330, OTHER, &[]);
    let at_service = verdict(&mut home, 340, &ask(OTHER, 2, 1));
    expect_that!(at_service, eq(TrialVerdict::Running));
    let answered = ended(ask(SUBJECT, 1, 1).id(), TrialOutcome::Answered);
    let change = home.end_trial(time(400), Some(VM), &answered);
    expect_that!(
        change,
        elements_are![eq(&HoldChange::Released { subject: SUBJECT })]
    );
    expect_that!(
        verdict(&mut home, 500, &ask(OTHER, 3, 1)),
        eq(TrialVerdict::Granted)
    );
}

/// Guards against more sends of a bad request than the operators' rule allows: three after it is
/// known, of which one is kept for a trial that two VMs grant.
#[gtest]
fn trials_of_a_request_that_crashes_endpoints_become_rarer() {
    let mut quarantine = holding();
    let mut trials = Vec::new();
    for second in 1..3_600 {
        if try_trial(&mut quarantine, second * 1_000, TrialOutcome::Cut) {
            trials.push(second);
            crash(&mut quarantine, second * 1_000 + 50, SUBJECT, &[]);
        }
    }
    // The first one causes the third crash.
    expect_that!(trials.len(), le(3), "{trials:?}");
    expect_that!(trials.first(), some(eq(&1)));
}

/// Guards against a trial that is used up though its call never reached an endpoint.
#[gtest]
fn trial_that_was_not_sent_is_given_back() {
    let mut home = holding();
    for serial in 0..5 {
        let millis = 300 + u64::from(serial) * 200;
        let ask = ask(SUBJECT, serial, 1);
        assert_that!(verdict(&mut home, millis, &ask), eq(TrialVerdict::Granted));
        let told = home.digest(time(millis + 50)).requests.holds;
        expect_that!(
            told,
            elements_are![matches_pattern!(HoldRecord(_, _, _, eq(&0)))]
        );
        let unsent = ended(ask.id(), TrialOutcome::Unsent);
        home.end_trial(time(millis + 100), Some(VM), &unsent);
    }
    // Only the VM that has the trial can give it back.
    let ask = ask(SUBJECT, 9, 1);
    assert_that!(verdict(&mut home, 2_000, &ask), eq(TrialVerdict::Granted));
    home.end_trial(
        time(2_050),
        Some(VM + 1),
        &ended(ask.id(), TrialOutcome::Unsent),
    );
    expect_that!(verdict(&mut home, 2_100, &ask), eq(TrialVerdict::Running));
}

#[gtest]
fn trial_without_an_outcome_ends() {
    let mut home = holding();
    assert_that!(
        verdict(&mut home, 300, &ask(SUBJECT, 1, 1)),
        eq(TrialVerdict::Granted)
    );
    expect_that!(
        verdict(&mut home, 9_000, &ask(SUBJECT, 2, 1)),
        eq(TrialVerdict::Running)
    );
    let later = verdict(&mut home, 11_000, &ask(SUBJECT, 3, 1));
    expect_that!(later, matches_pattern!(TrialVerdict::Later(_)));
    expect_that!(
        verdict(&mut home, 31_000, &ask(SUBJECT, 4, 1)),
        eq(TrialVerdict::Granted)
    );
}

#[gtest]
fn new_software_version_brings_few_trials_forward() {
    let mut home = holding();
    let mut granted = 0;
    for version in 1..10 {
        for repeat in 0..3 {
            let millis = 1_000 * version + 100 * repeat;
            let ask = ask(SUBJECT, millis as u32, version);
            if verdict(&mut home, millis, &ask) == TrialVerdict::Granted {
                granted += 1;
                crash(&mut home, millis + 50, SUBJECT, &[]);
                home.end_trial(
                    time(millis + 60),
                    Some(VM),
                    &ended(ask.id(), TrialOutcome::Cut),
                );
            }
        }
    }
    expect_that!(granted, all![ge(2), le(3)]);
}

/// A request that a new software version had cured waited half a minute, because a trial that was not
/// sent had used the version up.
#[gtest]
fn unsent_trial_doesn_t_use_up_a_new_software_version() {
    let mut home = holding();
    let mut end = |millis: u64, version: u64, outcome: TrialOutcome| {
        let ask = ask(SUBJECT, millis as u32, version);
        let verdict = verdict(&mut home, millis, &ask);
        home.end_trial(time(millis + 60), Some(VM), &ended(ask.id(), outcome));
        verdict
    };
    expect_that!(end(1_000, 1, TrialOutcome::Cut), eq(TrialVerdict::Granted));
    for millis in [5_000, 5_500] {
        expect_that!(
            end(millis, 2, TrialOutcome::Unsent),
            eq(TrialVerdict::Granted)
        );
    }
}

/// A VM that had just started refused sound calls with a held subject at once, before it was in contact with
/// the home of trials.
#[gtest]
fn calls_wait_without_a_trial_until_their_vm_is_in_contact() {
    let mut quarantine = holding();
    let subjects = [SUBJECT].into_iter();
    let passage = quarantine.check(time(300), subjects, TrialHome::Nobody, TARGET);
    let wait = Passage::Wait {
        subject: SUBJECT,
        until: time(400),
    };
    expect_that!(passage, eq(wait));
    let subjects = [SUBJECT].into_iter();
    let passage = quarantine.check(time(400), subjects, TrialHome::Other, TARGET);
    expect_that!(passage, matches_pattern!(Passage::Ask(_)));
}

/// A trial that was due in less than a millisecond made its call ask again without any wait; in the oracle,
/// for ever.
#[gtest]
fn call_whose_trial_is_due_at_once_asks_again_later() {
    let mut quarantine = holding();
    let subjects = [SUBJECT].into_iter();
    let Passage::Ask(ask) = quarantine.check(time(300), subjects, TrialHome::Other, TARGET) else {
        panic!("the home isn't asked");
    };
    let verdict = Some(TrialVerdict::Later(0));
    let (passage, _) = quarantine.finish_ask(time(320), ask.id(), verdict);
    let wait = Passage::Wait {
        subject: SUBJECT,
        until: time(321),
    };
    expect_that!(passage, eq(wait));
}

#[gtest]
fn vm_asks_the_home_once_at_a_time() {
    let mut quarantine = holding();
    let mut check = |millis| {
        let subjects = [SUBJECT].into_iter();
        quarantine.check(time(millis), subjects, TrialHome::Other, TARGET)
    };
    let Passage::Ask(ask) = check(300) else {
        panic!("the home isn't asked");
    };
    expect_that!(check(310), matches_pattern!(Passage::Wait { .. }));
    let (passage, _) = quarantine.finish_ask(time(320), ask.id(), Some(TrialVerdict::Granted));
    expect_that!(passage, eq(Passage::Trial(ask.id())));
    let (passage, _) =
        quarantine.finish_ask(time(330), ask.id(), Some(TrialVerdict::Later(30_000)));
    expect_that!(passage, matches_pattern!(Passage::Held { .. }));
    let (passage, change) =
        quarantine.finish_ask(time(340), ask.id(), Some(TrialVerdict::Answered(20)));
    expect_that!(passage, eq(Passage::Free));
    expect_that!(change, some(eq(HoldChange::Released { subject: SUBJECT })));
}

/// Guards against a sound section that a VM holds because it has just started and knows no answers.
#[gtest]
fn first_trial_releases_what_a_vm_that_has_just_started_holds() {
    let section = Subject::Section(1);
    let mut started = Quarantine::default();
    for n in 0..4 {
        crash(&mut started, 500 * n, Subject::Request(RequestId(n)), &[1]);
    }
    assert_that!(started.is_held([section].into_iter()), some(eq(section)));
    let mut home = Quarantine::default();
    home.record_answer(time(1_400), time(1_400), [section].into_iter());
    let subjects = [section].into_iter();
    let passage = started.check(time(1_600), subjects, TrialHome::Other, TARGET);
    let Passage::Ask(ask) = passage else {
        panic!("{passage:?}");
    };
    let (reply, _) = home.answer_ask(time(1_610), VM, &ask, TrialHome::Local);
    let (passage, _) = started.finish_ask(time(1_620), ask.id(), Some(reply.verdict));
    assert_that!(passage, eq(Passage::Trial(ask.id())));
    answer(&mut started, 1_700, section);
    expect_that!(started.held_count(), eq(0));
    home.end_trial(
        time(1_710),
        Some(VM),
        &ended(ask.id(), TrialOutcome::Answered),
    );
    expect_that!(home.held_count(), eq(0));
}

#[gtest]
fn platform_is_told_of_holds_that_last() {
    let quarantine = holding();
    expect_that!(quarantine.held_subjects(time(300), 10_000), is_empty());
    let held = quarantine.held_subjects(time(600), 10_000);
    assert_that!(held, len(eq(1)));
    let mut isolated = Quarantine::default();
    let changes = isolated.restore(time(50_000), 10_500, &held);
    expect_that!(changes, len(eq(1)));
    let passage = check(&mut isolated, 50_000, SUBJECT);
    expect_that!(passage, not(eq(Passage::Free)));
}

#[gtest]
fn state_and_digest_with_requests_are_bounded() {
    let mut quarantine = Quarantine::default();
    for n in 0..6_000 {
        let subject = Subject::Request(RequestId(u64::MAX - n / 3));
        crash(&mut quarantine, n, subject, &[u64::MAX - n]);
        answer(&mut quarantine, n, Subject::Request(RequestId(n * 7)));
    }
    expect_that!(quarantine.held_count(), le(512));
    expect_that!(format!("{quarantine:?}").len(), le(1_500_000));
    let mut bytes = Vec::new();
    ciborium::into_writer(&quarantine.digest(time(6_000)), &mut bytes).unwrap();
    expect_that!(bytes.len(), le(1_400));
    // A request that crashes endpoints still finds room.
    for millis in [6_100, 6_200] {
        crash(&mut quarantine, millis, SUBJECT, &[]);
    }
    expect_that!(
        check(&mut quarantine, 6_300, SUBJECT),
        not(eq(Passage::Free))
    );
}

/// A digest as VMs of the version before read and write it.
#[derive(Serialize, Deserialize)]
struct SectionDigest {
    crashes: Vec<CrashRecord>,
    answers: Vec<AnswerRecord>,
    holds: Vec<HoldRecord>,
}

#[gtest]
fn vms_of_the_version_before_read_sections_and_are_read() {
    let mut quarantine = holding();
    for n in 0..6 {
        crash(
            &mut quarantine,
            500 * n,
            Subject::Request(RequestId(n)),
            &[1],
        );
    }
    let digest = quarantine.digest(time(3_000));
    assert_that!(digest.requests.holds, not(is_empty()));
    let mut bytes = Vec::new();
    ciborium::into_writer(&digest, &mut bytes).unwrap();
    let old: SectionDigest = ciborium::from_reader(&*bytes).unwrap();
    expect_that!(old.holds, eq(&digest.holds));
    expect_that!(old.crashes, eq(&digest.crashes));
    bytes.clear();
    ciborium::into_writer(&old, &mut bytes).unwrap();
    let new: QuarantineDigest = ciborium::from_reader(&*bytes).unwrap();
    expect_that!(new.holds, eq(&digest.holds));
}

/// Guards against datagrams that are taken for others, since receivers try one kind after the other.
#[gtest]
fn trial_messages_are_read_as_nothing_else() {
    let id = ask(SUBJECT, 7, 1).id();
    let messages = [
        TrialMessage::TrialAsk(ask(SUBJECT, 7, 1)),
        TrialMessage::TrialEnded(ended(id, TrialOutcome::Cut)),
    ];
    for message in messages {
        let mut bytes = Vec::new();
        ciborium::into_writer(&message, &mut bytes).unwrap();
        expect_that!(
            ciborium::from_reader::<LimitMessage, _>(&*bytes),
            err(anything())
        );
        expect_that!(
            ciborium::from_reader::<StreamMessage, _>(&*bytes),
            err(anything())
        );
        expect_that!(
            ciborium::from_reader::<QuarantineDigest, _>(&*bytes),
            err(anything())
        );
        let read: TrialMessage = ciborium::from_reader(&*bytes).unwrap();
        expect_that!(read, eq(message));
    }
}

/// Guards against a sound section that a VM holds because it has just started, and that all others
/// hold while its first trial runs.
#[gtest]
fn first_trial_that_runs_makes_no_vm_with_answers_hold_its_subject() {
    let section = Subject::Section(1);
    let mut started = Quarantine::default();
    for n in 0..4 {
        let request = Subject::Request(RequestId(n));
        crash(&mut started, 500 * n, request, &[1]);
    }
    assert_that!(
        check(&mut started, 1_600, section),
        matches_pattern!(Passage::Trial(_))
    );
    let digest = started.digest(time(2_400));
    let mut other = Quarantine::default();
    answer(&mut other, 1_400, section);
    other.merge(time(2_400), &digest);
    expect_that!(other.held_count(), eq(0));
}

/// Guards against digests, and so simulations, that differ from run to run.
#[gtest]
fn digest_does_not_depend_on_the_order_of_a_map() {
    let digest = || {
        let mut quarantine = Quarantine::default();
        for n in 0..60 {
            let subject = Subject::Request(RequestId(n % 6));
            let cut = CutCall {
                endpoint: n as u32,
                at: time(2_000 - n),
                begun: true,
                request: Some(RequestId(subject.id())),
                sections: Vec::new(),
            };
            quarantine.record_crash(time(2_000), &cut);
        }
        quarantine.digest(time(2_000))
    };
    let first = digest();
    for _ in 0..20 {
        expect_that!(digest(), eq(&first));
    }
}
