use crate::route::LATE_TURN_INTERVAL;
use crate::{
    AccountKey, CallKey, LaneKey, Pick, Position, QueuedCall, RouteQueue, starvation_bound,
};
use googletest::prelude::*;
use poplarswitch_entity::Time;
use slotmap::SlotMap;

/// Slot time charged for each call, in microseconds.
const SLOT_TIME_US: u64 = 3_000_000;

struct Fixture {
    queue: RouteQueue,
    lanes: Vec<LaneKey>,
    calls: SlotMap<CallKey, (LaneKey, AccountKey)>,
    accounts: SlotMap<AccountKey, ()>,
    arrivals: u64,
}

impl Fixture {
    /// Creates a queue with one lane in each tier.
    fn new(percents: &[u8]) -> Self {
        let mut queue = RouteQueue::new(percents);
        let lanes = (0..percents.len())
            .map(|tier| queue.add_lane(tier))
            .collect();
        Self {
            queue,
            lanes,
            calls: SlotMap::with_key(),
            accounts: SlotMap::with_key(),
            arrivals: 0,
        }
    }

    fn account(&mut self) -> AccountKey {
        self.accounts.insert(())
    }

    fn push(&mut self, lane: usize, account: AccountKey, millis: u64, weight: u32) -> QueuedCall {
        let lane = self.lanes[lane];
        self.arrivals += 1;
        let position = Position {
            late: false,
            deadline: Time::from_millis(millis),
            arrival: self.arrivals,
            call: self.calls.insert((lane, account)),
        };
        let queued = QueuedCall {
            lane,
            account,
            position,
        };
        self.queue.insert(queued, weight);
        queued
    }

    fn pop(&mut self, millis: u64) -> Option<Pick> {
        let now = Time::from_millis(millis);
        let pick = self.queue.pick(now, |_, _| true, |_, _| true)?;
        self.queue.take(&pick, SLOT_TIME_US);
        Some(pick)
    }

    fn account_of(&self, pick: &Pick) -> AccountKey {
        self.calls[pick.call].1
    }
}

#[gtest]
fn call_with_the_least_slack_is_served_first() {
    let mut fixture = Fixture::new(&[0]);
    let account = fixture.account();
    let later = fixture.push(0, account, 900, 1);
    let sooner = fixture.push(0, account, 300, 1);
    let calls: Vec<CallKey> = (0..2)
        .map(|_| fixture.pop(0).expect("waits").call)
        .collect();
    expect_that!(calls, eq(&[sooner.position.call, later.position.call]));
    expect_that!(fixture.queue.is_empty(), eq(true));
}

#[gtest]
fn late_calls_are_served_after_calls_that_can_meet_their_target() {
    let mut fixture = Fixture::new(&[0]);
    let account = fixture.account();
    let late = fixture.push(0, account, 100, 1);
    let timely = fixture.push(0, account, 900, 1);
    expect_that!(
        fixture.pop(500).expect("waits").call,
        eq(timely.position.call)
    );
    expect_that!(
        fixture.pop(500).expect("waits").call,
        eq(late.position.call)
    );
}

#[gtest]
fn late_call_is_served_within_the_late_turn_interval() {
    let mut fixture = Fixture::new(&[0]);
    let account = fixture.account();
    let late = fixture.push(0, account, 100, 1);
    (0..50).for_each(|_| {
        fixture.push(0, account, 9_000, 1);
    });
    let order: Vec<CallKey> = (0..LATE_TURN_INTERVAL)
        .map(|_| fixture.pop(500).expect("waits").call)
        .collect();
    expect_that!(order, contains(eq(&late.position.call)));
}

/// Dispatches one call every 100 ms and returns how many calls of a workspace were dispatched
/// after their deadline.
fn late_dispatches(
    fixture: &mut Fixture,
    millis: core::ops::Range<u64>,
    account: AccountKey,
) -> usize {
    let mut late_count = 0;
    for now in millis.step_by(100) {
        let pick = fixture.pop(now).expect("waits");
        let late = pick.position().deadline < Time::from_millis(now);
        late_count += usize::from(late && fixture.account_of(&pick) == account);
    }
    late_count
}

#[gtest]
fn burst_of_one_workspace_makes_no_call_of_another_late() {
    let mut fixture = Fixture::new(&[0]);
    let (bursting, other) = (fixture.account(), fixture.account());
    (0..200).for_each(|_| {
        fixture.push(0, bursting, 4_900, 1);
    });
    // These fit into half of the dispatches of the last second before the deadline.
    (0..4).for_each(|_| {
        fixture.push(0, other, 5_000, 1);
    });
    expect_that!(late_dispatches(&mut fixture, 0..7_000, other), eq(0));
    let left = fixture.queue.len();
    expect_that!(left, eq(204 - 70));
}

#[gtest]
fn burst_of_one_class_does_not_delay_another_class_of_the_workspace() {
    let mut fixture = Fixture::new(&[0]);
    let second = fixture.queue.add_lane(0);
    fixture.lanes.push(second);
    let (bursting, other) = (fixture.account(), fixture.account());
    (0..100).for_each(|_| {
        fixture.push(0, bursting, 4_900, 1);
        fixture.push(0, other, 5_000, 1);
    });
    (0..30).for_each(|_| {
        fixture.pop(0);
    });
    let own = fixture.push(1, bursting, 5_500, 1);
    let served = (46..50).filter_map(|step| fixture.pop(step * 100));
    let calls: Vec<CallKey> = served.map(|pick| pick.call).collect();
    expect_that!(calls, contains(eq(&own.position.call)));
}

#[gtest]
fn workspace_ahead_of_its_share_is_served_while_the_others_have_slack() {
    let mut fixture = Fixture::new(&[0]);
    let (bursting, other) = (fixture.account(), fixture.account());
    (0..20).for_each(|_| {
        fixture.push(0, bursting, 3_000, 1);
    });
    (0..20).for_each(|_| {
        fixture.push(0, other, 9_000, 1);
    });
    expect_that!(late_dispatches(&mut fixture, 0..3_500, bursting), eq(0));
}

#[gtest]
fn dispatches_are_shared_by_weight() {
    let mut fixture = Fixture::new(&[0]);
    let (light, heavy) = (fixture.account(), fixture.account());
    for _ in 0..400 {
        fixture.push(0, light, 1_000, 1);
        fixture.push(0, heavy, 1_000, 3);
    }
    let picks: Vec<Pick> = (0..200).map(|_| fixture.pop(0).expect("waits")).collect();
    let served = picks
        .iter()
        .filter(|pick| fixture.account_of(pick) == heavy);
    expect_that!(served.count(), all![ge(145), le(155)]);
}

#[gtest]
fn higher_tiers_are_preferred_and_lower_tiers_keep_their_floors() {
    let percents = [0, 0, 5];
    let mut fixture = Fixture::new(&percents);
    let account = fixture.account();
    for lane in 0..3 {
        (0..600).for_each(|_| {
            fixture.push(lane, account, 1_000, 1);
        });
    }
    let mut gaps = [0_u64; 3];
    let mut counts = [0_u32; 3];
    for _ in 0..500 {
        let tier = fixture.pop(0).expect("waits").tier();
        counts[tier] += 1;
        for (index, gap) in gaps.iter_mut().enumerate() {
            *gap = if index == tier { 0 } else { *gap + 1 };
            expect_that!(*gap, le(starvation_bound(&percents, index)));
        }
    }
    expect_that!(counts, elements_are![ge(455), ge(8), ge(20)]);
}

#[gtest]
fn workspace_at_its_limit_is_passed_over_until_it_is_unblocked() {
    let mut fixture = Fixture::new(&[0]);
    let (full, other) = (fixture.account(), fixture.account());
    let first = fixture.push(0, full, 100, 1);
    let second = fixture.push(0, other, 900, 1);
    let now = Time::ZERO;
    let pick = fixture
        .queue
        .pick(now, |_, _| true, |account, _| account != full);
    expect_that!(pick.expect("other waits").call, eq(second.position.call));
    let pick = fixture
        .queue
        .pick(now, |_, _| true, |account, _| account != full);
    fixture
        .queue
        .take(&pick.expect("other waits"), SLOT_TIME_US);
    expect_that!(fixture.pop(0), none());
    fixture.queue.unblock(full);
    expect_that!(
        fixture.pop(0).expect("unblocked").call,
        eq(first.position.call)
    );
}

#[gtest]
fn removed_call_is_not_served_after_it_was_marked_late() {
    let mut fixture = Fixture::new(&[0]);
    let account = fixture.account();
    let removed = fixture.push(0, account, 100, 1);
    let kept = fixture.push(0, account, 200, 1);
    let pick = fixture
        .queue
        .pick(Time::from_millis(500), |_, _| true, |_, _| true);
    expect_that!(pick.expect("waits").call, eq(removed.position.call));
    expect_that!(fixture.queue.remove(removed), eq(true));
    expect_that!(fixture.queue.remove(removed), eq(false));
    expect_that!(
        fixture.pop(500).expect("waits").call,
        eq(kept.position.call)
    );
    expect_that!(fixture.pop(500), none());
}
