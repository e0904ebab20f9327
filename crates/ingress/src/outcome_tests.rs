use crate::{Next, Outcome, RouteKind, Tries, Verdict, decide, verdict};
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
    fn play(kind: RouteKind, tries: Tries, ran: bool) {
        if tries.sent > 6 {
            return;
        }
        for outcome in OUTCOMES {
            let ran = ran || outcome.may_have_run();
            let tries = Tries {
                run: tries.run + u32::from(outcome.may_have_run()),
                sent: tries.sent + 1,
            };
            match decide(kind, 2, tries, outcome, LEFT) {
                Next::Repeat { .. } => {
                    assert_that!(ran, eq(false), "{kind:?} repeated after {outcome:?}");
                    play(kind, tries, ran);
                }
                Next::Tell(told) => {
                    assert_that!(told == Verdict::NotRun && ran, eq(false));
                }
            }
        }
    }
    play(RouteKind::Unsafe, Tries::default(), false);
    play(
        RouteKind::Stream { resumable: false },
        Tries::default(),
        false,
    );
}

#[gtest]
fn an_idempotent_call_runs_on_no_more_endpoints_than_its_route_allows() {
    let one = Tries { run: 1, sent: 1 };
    let two = Tries { run: 2, sent: 2 };
    expect_that!(
        decide(RouteKind::Safe, 2, one, Outcome::Failed, LEFT),
        eq(Next::Repeat { paid: true })
    );
    expect_that!(
        decide(RouteKind::Safe, 2, two, Outcome::Failed, LEFT),
        eq(Next::Tell(Verdict::Endpoint))
    );
}

#[gtest]
fn a_call_without_time_is_not_tried_again() {
    let one = Tries { run: 0, sent: 1 };
    let left = Duration::from_millis(5);
    expect_that!(
        decide(RouteKind::Safe, 2, one, Outcome::Refused, left),
        eq(Next::Tell(Verdict::NotRun))
    );
}

#[gtest]
fn a_refusal_after_a_run_is_in_doubt() {
    let tries = Tries { run: 1, sent: 2 };
    expect_that!(verdict(tries, Outcome::Refused), eq(Verdict::InDoubt));
}
