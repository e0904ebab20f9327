use crate::{AttemptCounts, NextStep, Outcome, RouteKind, Verdict, next_step, verdict};
use core::time::Duration;
use googletest::prelude::*;

const LEFT: Duration = Duration::from_secs(1);
const OUTCOMES: [Outcome; 5] = [
    Outcome::NotSent,
    Outcome::Refused,
    Outcome::Displaced,
    Outcome::Failed,
    Outcome::Doubtful,
];

/// Plays every sequence of outcomes; a call that may run once is never sent again after an
/// endpoint may have begun it, and is never called "not run" then.
#[gtest]
fn a_call_that_may_run_once_runs_at_most_once() {
    fn play(kind: RouteKind, tries: AttemptCounts, ran: bool) {
        if tries.total > 6 {
            return;
        }
        for outcome in OUTCOMES {
            let ran = ran || outcome.may_have_run();
            let tries = AttemptCounts {
                maybe_run: tries.maybe_run + u32::from(outcome.may_have_run()),
                total: tries.total + 1,
            };
            match next_step(kind, 2, tries, outcome, LEFT) {
                NextStep::Repeat { .. } => {
                    assert_that!(ran, eq(false), "{kind:?} repeated after {outcome:?}");
                    play(kind, tries, ran);
                }
                NextStep::Tell(told) => {
                    assert_that!(told == Verdict::NotRun && ran, eq(false));
                }
            }
        }
    }
    play(RouteKind::Unsafe, AttemptCounts::default(), false);
    play(
        RouteKind::Stream { resumable: false },
        AttemptCounts::default(),
        false,
    );
}

#[gtest]
fn an_idempotent_call_runs_on_no_more_endpoints_than_its_route_allows() {
    let one = AttemptCounts {
        maybe_run: 1,
        total: 1,
    };
    let two = AttemptCounts {
        maybe_run: 2,
        total: 2,
    };
    expect_that!(
        next_step(RouteKind::Safe, 2, one, Outcome::Failed, LEFT),
        eq(NextStep::Repeat { paid: true })
    );
    expect_that!(
        next_step(RouteKind::Safe, 2, two, Outcome::Failed, LEFT),
        eq(NextStep::Tell(Verdict::Endpoint))
    );
}

#[gtest]
fn a_call_without_time_is_not_tried_again() {
    let one = AttemptCounts {
        maybe_run: 0,
        total: 1,
    };
    let left = Duration::from_millis(5);
    expect_that!(
        next_step(RouteKind::Safe, 2, one, Outcome::Refused, left),
        eq(NextStep::Tell(Verdict::NotRun))
    );
}

#[gtest]
fn a_refusal_after_a_run_is_in_doubt() {
    let tries = AttemptCounts {
        maybe_run: 1,
        total: 2,
    };
    expect_that!(verdict(tries, Outcome::Refused), eq(Verdict::InDoubt));
}
