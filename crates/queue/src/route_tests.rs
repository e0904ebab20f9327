use crate::route::LATE_TURN;
use crate::{
    AccountKey, CallKey, LaneKey, Pick, Position, QueuedCall, RouteQueue, starvation_bound,
};
use googletest::prelude::*;
use poplarswitch_entity::Time;
use slotmap::SlotMap;

/// Slot time of each call, in microseconds.
const USAGE: u64 = 3_000_000;

struct Stand {
    queue: RouteQueue,
    lanes: Vec<LaneKey>,
    calls: SlotMap<CallKey, (LaneKey, AccountKey)>,
    accounts: SlotMap<AccountKey, ()>,
    arrivals: u64,
}

impl Stand {
    /// One lane in each tier.
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
        let waiting = QueuedCall {
            lane,
            account,
            position,
        };
        self.queue.insert(waiting, weight);
        waiting
    }

    fn pop(&mut self, millis: u64) -> Option<Pick> {
        let now = Time::from_millis(millis);
        let pick = self.queue.pick(now, |_, _| true, |_, _| true)?;
        self.queue.take(&pick, USAGE);
        Some(pick)
    }

    fn account_of(&self, pick: &Pick) -> AccountKey {
        self.calls[pick.call].1
    }
}

#[gtest]
fn the_least_slack_goes_first() {
    let mut stand = Stand::new(&[0]);
    let account = stand.account();
    let later = stand.push(0, account, 900, 1);
    let sooner = stand.push(0, account, 300, 1);
    let calls: Vec<CallKey> = (0..2).map(|_| stand.pop(0).expect("waits").call).collect();
    expect_that!(calls, eq(&[sooner.position.call, later.position.call]));
    expect_that!(stand.queue.is_empty(), eq(true));
}

#[gtest]
fn calls_that_missed_their_target_go_behind_those_that_have_not() {
    let mut stand = Stand::new(&[0]);
    let account = stand.account();
    let late = stand.push(0, account, 100, 1);
    let timely = stand.push(0, account, 900, 1);
    expect_that!(
        stand.pop(500).expect("waits").call,
        eq(timely.position.call)
    );
    expect_that!(stand.pop(500).expect("waits").call, eq(late.position.call));
}

#[gtest]
fn late_calls_still_get_their_turns() {
    let mut stand = Stand::new(&[0]);
    let account = stand.account();
    let late = stand.push(0, account, 100, 1);
    (0..50).for_each(|_| {
        stand.push(0, account, 9_000, 1);
    });
    let order: Vec<CallKey> = (0..LATE_TURN)
        .map(|_| stand.pop(500).expect("waits").call)
        .collect();
    expect_that!(order, contains(eq(&late.position.call)));
}

/// One dispatch each tenth of a second; calls served after their deadline, by workspace.
fn missed(stand: &mut Stand, millis: core::ops::Range<u64>, account: AccountKey) -> usize {
    let mut missed = 0;
    for now in millis.step_by(100) {
        let pick = stand.pop(now).expect("waits");
        let late = pick.position().deadline < Time::from_millis(now);
        missed += usize::from(late && stand.account_of(&pick) == account);
    }
    missed
}

#[gtest]
fn a_burst_is_paid_by_the_workspace_that_bursts() {
    let mut stand = Stand::new(&[0]);
    let (loud, quiet) = (stand.account(), stand.account());
    (0..200).for_each(|_| {
        stand.push(0, loud, 4_900, 1);
    });
    // Within its half of the dispatches of the last second.
    (0..4).for_each(|_| {
        stand.push(0, quiet, 5_000, 1);
    });
    expect_that!(missed(&mut stand, 0..7_000, quiet), eq(0));
    let left = stand.queue.len();
    expect_that!(left, eq(204 - 70));
}

#[gtest]
fn the_burst_of_one_class_is_not_paid_by_another_of_the_same_workspace() {
    let mut stand = Stand::new(&[0]);
    let second = stand.queue.add_lane(0);
    stand.lanes.push(second);
    let (loud, quiet) = (stand.account(), stand.account());
    (0..100).for_each(|_| {
        stand.push(0, loud, 4_900, 1);
        stand.push(0, quiet, 5_000, 1);
    });
    (0..30).for_each(|_| {
        stand.pop(0);
    });
    let own = stand.push(1, loud, 5_500, 1);
    let served = (46..50).filter_map(|step| stand.pop(step * 100));
    let calls: Vec<CallKey> = served.map(|pick| pick.call).collect();
    expect_that!(calls, contains(eq(&own.position.call)));
}

#[gtest]
fn a_workspace_that_is_ahead_goes_first_while_the_others_have_time() {
    let mut stand = Stand::new(&[0]);
    let (loud, quiet) = (stand.account(), stand.account());
    (0..20).for_each(|_| {
        stand.push(0, loud, 3_000, 1);
    });
    (0..20).for_each(|_| {
        stand.push(0, quiet, 9_000, 1);
    });
    expect_that!(missed(&mut stand, 0..3_500, loud), eq(0));
}

#[gtest]
fn weights_set_the_shares() {
    let mut stand = Stand::new(&[0]);
    let (light, heavy) = (stand.account(), stand.account());
    for _ in 0..400 {
        stand.push(0, light, 1_000, 1);
        stand.push(0, heavy, 1_000, 3);
    }
    let picks: Vec<Pick> = (0..200).map(|_| stand.pop(0).expect("waits")).collect();
    let served = picks.iter().filter(|pick| stand.account_of(pick) == heavy);
    expect_that!(served.count(), all![ge(145), le(155)]);
}

#[gtest]
fn higher_tiers_go_first_and_lower_tiers_within_their_bound() {
    let percents = [0, 0, 5];
    let mut stand = Stand::new(&percents);
    let account = stand.account();
    for lane in 0..3 {
        (0..600).for_each(|_| {
            stand.push(lane, account, 1_000, 1);
        });
    }
    let mut gaps = [0_u64; 3];
    let mut counts = [0_u32; 3];
    for _ in 0..500 {
        let tier = stand.pop(0).expect("waits").tier();
        counts[tier] += 1;
        for (index, gap) in gaps.iter_mut().enumerate() {
            *gap = if index == tier { 0 } else { *gap + 1 };
            expect_that!(*gap, le(starvation_bound(&percents, index)));
        }
    }
    expect_that!(counts, elements_are![ge(455), ge(8), ge(20)]);
}

#[gtest]
fn a_workspace_at_its_limit_lets_others_pass_until_it_is_released() {
    let mut stand = Stand::new(&[0]);
    let (full, other) = (stand.account(), stand.account());
    let first = stand.push(0, full, 100, 1);
    let second = stand.push(0, other, 900, 1);
    let now = Time::ZERO;
    let pick = stand
        .queue
        .pick(now, |_, _| true, |account, _| account != full);
    expect_that!(pick.expect("other waits").call, eq(second.position.call));
    let pick = stand
        .queue
        .pick(now, |_, _| true, |account, _| account != full);
    stand.queue.take(&pick.expect("other waits"), USAGE);
    expect_that!(stand.pop(0), none());
    stand.queue.unblock(full);
    expect_that!(
        stand.pop(0).expect("released").call,
        eq(first.position.call)
    );
}

#[gtest]
fn a_call_taken_out_is_not_served_even_when_it_was_late() {
    let mut stand = Stand::new(&[0]);
    let account = stand.account();
    let gone = stand.push(0, account, 100, 1);
    let stays = stand.push(0, account, 200, 1);
    let pick = stand
        .queue
        .pick(Time::from_millis(500), |_, _| true, |_, _| true);
    expect_that!(pick.expect("waits").call, eq(gone.position.call));
    expect_that!(stand.queue.remove(gone), eq(true));
    expect_that!(stand.queue.remove(gone), eq(false));
    expect_that!(stand.pop(500).expect("waits").call, eq(stays.position.call));
    expect_that!(stand.pop(500), none());
}
