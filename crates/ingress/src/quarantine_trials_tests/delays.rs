//! What trials that show nothing, restarts and late answers do to the next trial.

use super::{SUBJECT, TARGET, answer, crash, ended, holding, time, try_trial};
use crate::quarantine::{Passage, Quarantine, RequestId, Subject, TrialHome, TrialOutcome};
use googletest::prelude::*;

/// Guards against a shared request that waits longer for each trial that could not be sent.
#[gtest]
fn trials_that_were_not_sent_delay_no_next_one() {
    let mut quarantine = Quarantine::default();
    answer(&mut quarantine, 50, SUBJECT);
    for millis in [100, 150, 200] {
        crash(&mut quarantine, millis, SUBJECT, &[]);
    }
    quarantine.expire(time(3_000));
    assert_that!(
        try_trial(&mut quarantine, 3_000, TrialOutcome::Cut),
        eq(true)
    );
    for millis in [6_000, 6_050, 6_100, 6_150] {
        let granted = try_trial(&mut quarantine, millis, TrialOutcome::Unsent);
        expect_that!(granted, eq(true), "{millis} ms");
    }
}

/// Guards against a subject that waits longer for its next trial because one of them showed nothing.
#[gtest]
fn trial_that_decided_nothing_lengthens_no_delay() {
    let next = |outcome| {
        let mut quarantine = holding();
        crash(&mut quarantine, 250, SUBJECT, &[]);
        assert_that!(try_trial(&mut quarantine, 9_000, outcome), eq(true));
        let seconds = (10..200).find(|second| {
            let millis = second * 1_000;
            try_trial(&mut quarantine, millis, TrialOutcome::Cut)
        });
        seconds.unwrap_or_default()
    };
    expect_that!(next(TrialOutcome::Undecided), le(31));
    expect_that!(next(TrialOutcome::Cut), ge(150));
}

/// Guards against a request that all calls share and that stays held for minutes because all VMs have
/// restarted and know its answers no more.
#[gtest]
fn hold_of_the_platform_is_tried_soon_after_a_restart() {
    let mut quarantine = holding();
    for millis in [1_000, 31_000] {
        assert_that!(
            try_trial(&mut quarantine, millis, TrialOutcome::Cut),
            eq(true)
        );
    }
    let held = quarantine.held_subjects(time(40_000), 40_000);
    let mut restarted = Quarantine::default();
    restarted.restore(time(1_000), 41_000, &held);
    for millis in 1_001..1_010 {
        let granted = try_trial(&mut restarted, millis, TrialOutcome::Cut);
        assert_that!(granted, eq(false), "{millis} ms");
    }
    // It is given back as often as it isn't sent, and counts once it is.
    for millis in [2_100, 2_200] {
        let granted = try_trial(&mut restarted, millis, TrialOutcome::Unsent);
        expect_that!(granted, eq(true), "{millis} ms");
    }
    expect_that!(
        try_trial(&mut restarted, 2_300, TrialOutcome::Cut),
        eq(true)
    );
    for second in 3..600 {
        let granted = try_trial(&mut restarted, second * 1_000, TrialOutcome::Cut);
        assert_that!(granted, eq(false), "{second} s");
    }
}

/// Guards against a request and a section that are both held and that no call has without the other.
#[gtest]
fn call_with_two_held_subjects_tries_both() {
    let section = Subject::Section(1);
    let both = || [SUBJECT, section].into_iter();
    let mut home = holding();
    for n in 0..4 {
        crash(
            &mut home,
            300 + 500 * n,
            Subject::Request(RequestId(n)),
            &[1],
        );
    }
    let mut check = |millis, subjects| {
        let subjects: Vec<Subject> = subjects;
        home.check(time(millis), subjects.into_iter(), TrialHome::Local, TARGET)
    };
    // One of them is tried alone as long as calls with it come.
    let Passage::Trial(alone) = check(2_000, vec![section]) else {
        panic!("the section isn't tried");
    };
    expect_that!(
        check(2_100, both().collect()),
        not(matches_pattern!(Passage::Trial(_)))
    );
    home.end_trial(time(2_200), None, &ended(alone, TrialOutcome::Unsent));
    let passage = home.check(time(4_300), both(), TrialHome::Local, TARGET);
    let Passage::Trial(id) = passage else {
        panic!("{passage:?}");
    };
    let passage = home.check(time(4_310), [section].into_iter(), TrialHome::Local, TARGET);
    expect_that!(passage, matches_pattern!(Passage::Wait { .. }));
    let changes = home.end_trial(time(4_400), None, &ended(id, TrialOutcome::Answered));
    expect_that!(changes, len(eq(2)));
    expect_that!(home.held_count(), eq(0));
}

/// Guards against answers that seem later than they were, because their digest was kept back, and clear
/// crashes that came after them.
#[gtest]
fn answer_in_a_late_digest_clears_no_later_crash() {
    let mut sender = Quarantine::default().with_process(1);
    let mut receiver = Quarantine::default().with_process(2);
    receiver.merge(time(510), &sender.digest(time(500)));
    crash(&mut sender, 900, SUBJECT, &[]);
    answer(&mut sender, 1_000, SUBJECT);
    let late = sender.digest(time(1_010));
    for millis in [1_100, 1_150, 1_200] {
        crash(&mut receiver, millis, SUBJECT, &[]);
    }
    receiver.merge(time(2_800), &late);
    expect_that!(receiver.held_count(), eq(1));
    // One that comes as quickly as the first does clear them.
    answer(&mut sender, 2_900, SUBJECT);
    receiver.merge(time(2_920), &sender.digest(time(2_910)));
    expect_that!(receiver.held_count(), eq(0));
}

/// Guards against a held request that other VMs release because of an answer from before its last crash.
#[gtest]
fn answer_from_before_a_trial_was_cut_releases_nothing() {
    let mut quarantine = holding();
    let mut other = quarantine.clone();
    crash(&mut other, 250, SUBJECT, &[]);
    answer(&mut other, 900, SUBJECT);
    assert_that!(
        try_trial(&mut quarantine, 1_000, TrialOutcome::Cut),
        eq(true)
    );
    crash(&mut quarantine, 1_000, SUBJECT, &[]);
    quarantine.merge(time(1_100), &other.digest(time(1_100)));
    expect_that!(quarantine.held_count(), eq(1));
}
