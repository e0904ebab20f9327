use crate::{Demand, EndpointGroup, GroupSplit};
use core::time::Duration;
use googletest::prelude::*;
use poplarswitch_entity::Time;

/// Demand that keeps numbers of endpoints busy.
fn demand(long: f64, short: f64) -> Demand {
    Demand::from_sums(Time::ZERO, long * 3_000.0, short * 3_000.0)
}

fn long(total: usize, demand: Demand) -> usize {
    let mut sides = GroupSplit::default();
    sides.update(total, demand);
    sides.relaxed_count()
}

#[gtest]
fn the_boundary_follows_the_work() {
    expect_that!(long(18, demand(6.0, 2.0)), gt(long(18, demand(2.0, 4.0))));
}

/// Pattern: a burst of reconciliations that no number of endpoints could carry. It must not take
/// the endpoints of calls that must begin at once.
#[gtest]
fn a_burst_of_patient_work_leaves_urgent_work_its_endpoints() {
    let kept = 90 - long(90, demand(150.0, 16.0));
    expect_that!(kept, ge(29));
}

/// Pattern: a burst of refill questions.
#[gtest]
fn a_burst_of_urgent_work_takes_endpoints_from_patient_work() {
    let calm = long(90, demand(50.0, 18.0));
    let burst = long(90, demand(50.0, 32.0));
    expect_that!(burst, lt(calm));
    expect_that!(90 - burst, ge(50));
}

#[gtest]
fn small_changes_do_not_move_it() {
    let mut sides = GroupSplit::default();
    sides.update(90, demand(50.0, 18.0));
    let before = sides.relaxed_count();
    for step in 0..20 {
        let noise = f64::from(step % 5) / 5.0;
        expect_that!(
            sides.update(90, demand(50.0 + noise, 18.0 - noise)),
            eq(false)
        );
    }
    expect_that!(sides.relaxed_count(), eq(before));
}

#[gtest]
fn both_sides_keep_an_endpoint() {
    let mut sides = GroupSplit::default();
    sides.update(2, demand(100.0, 0.1));
    let endpoints = [0, 1];
    expect_that!(sides.split(EndpointGroup::Relaxed, &endpoints).0, eq(&[0]));
    expect_that!(sides.split(EndpointGroup::Strict, &endpoints).0, eq(&[1]));
}

#[gtest]
fn with_demand_on_one_side_all_endpoints_serve_it() {
    let endpoints = [0, 1, 2];
    for demand in [demand(2.0, 0.0), demand(0.0, 2.0), demand(0.0, 0.0)] {
        let mut sides = GroupSplit::default();
        sides.update(3, demand);
        expect_that!(
            sides.split(EndpointGroup::Relaxed, &endpoints).0.len(),
            eq(3)
        );
        expect_that!(
            sides.split(EndpointGroup::Strict, &endpoints).0.len(),
            eq(3)
        );
    }
}

#[gtest]
fn demand_fades() {
    let mut demand = Demand::default();
    demand.record(Time::ZERO, EndpointGroup::Relaxed, 100.0);
    expect_that!(demand.relaxed, near(100.0, 1.0));
    expect_that!(
        demand.decayed_to(Time::from_millis(6_000)).relaxed,
        lt(15.0)
    );
    expect_that!(demand.strict, eq(0.0));
}

/// Pattern: a burst of reconciliations fills their side. Long notices that must be answered in
/// 0.5 s waited behind them, and a quarter of the largest were served.
#[gtest]
fn a_long_prompt_that_is_urgent_stays_among_the_urgent() {
    let objective = |millis| Some(Duration::from_millis(millis));
    expect_that!(EndpointGroup::of(objective(500)), eq(EndpointGroup::Strict));
    expect_that!(
        EndpointGroup::of(objective(2_000)),
        eq(EndpointGroup::Relaxed)
    );
    expect_that!(EndpointGroup::of(None), eq(EndpointGroup::Relaxed));
}

/// Pattern: a burst of refill questions ends while a burst of reconciliations goes on. The
/// boundary stayed where the questions had moved it: forty engines ran three calls each of their
/// sixteen while every engine for reconciliations had a queue.
#[gtest]
fn engines_return_to_patient_calls_soon_after_an_urgent_burst() {
    let mut sides = GroupSplit::default();
    let mut sums = Demand::default();
    let mut moved = Vec::new();
    for step in 0..120_u64 {
        let now = Time::from_millis(step * 100);
        let urgent = if (20..70).contains(&step) { 32.0 } else { 12.0 };
        sums.record(now, EndpointGroup::Relaxed, 150.0 * 100.0);
        sums.record(now, EndpointGroup::Strict, urgent * 100.0);
        sides.update(90, sums);
        moved.push(90 - sides.relaxed_count());
    }
    let (burst, after) = (moved[69], moved[90]);
    expect_that!(burst, ge(48));
    // Two seconds after the burst: three endpoints for each of the twelve that are kept busy.
    expect_that!(after, le(36));
}
