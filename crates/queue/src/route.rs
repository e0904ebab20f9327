//! The waiting calls of one route, by tier and lane.

use crate::lane::{Head, Heads, Lane, LaneKey, Position};
use crate::tier::Tier;
use crate::{AccountKey, CallKey, Floors};
use core::time::Duration;
use poplarswitch_entity::Time;

/// One in this number of dispatches of a tier goes to its oldest late call.
pub(crate) const LATE_TURN_INTERVAL: u64 = 50;

/// Slack up to which a call of an eligible workspace precedes the calls of workspaces that are
/// ahead of their fair share.
const URGENT_SLACK: Duration = Duration::from_secs(1);

/// A queued call and its position.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueuedCall {
    /// The lane of the call.
    pub lane: LaneKey,
    /// The account of the call's workspace.
    pub account: AccountKey,
    /// The position of the call in the queue order.
    pub position: Position,
}

/// The call that is served next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pick {
    /// The call.
    pub call: CallKey,
    /// The lane of the call.
    pub lane: LaneKey,
    /// The account of the call's workspace.
    pub account: AccountKey,
    /// Whether the call's tier is due because of its floor.
    pub due: bool,
    position: Position,
    tier: usize,
}

impl Pick {
    /// The tier of the call; zero is the highest.
    pub const fn tier(&self) -> usize {
        self.tier
    }

    /// The position of the call in the queue order.
    pub const fn position(&self) -> Position {
        self.position
    }
}

/// The waiting calls of one route.
#[derive(Debug, Default)]
pub struct RouteQueue {
    lanes: Vec<Lane>,
    /// The tier of each lane.
    lane_tiers: Vec<usize>,
    tiers: Vec<Tier>,
    floors: Floors,
    len: usize,
}

impl RouteQueue {
    /// Creates an empty queue; `percents` are the declared floors, from the highest tier.
    pub fn new(percents: &[u8]) -> Self {
        Self {
            tiers: percents.iter().map(|_| Tier::default()).collect(),
            floors: Floors::new(percents),
            ..Self::default()
        }
    }

    /// Adds a lane to a tier.
    pub fn add_lane(&mut self, tier: usize) -> LaneKey {
        let lane = LaneKey(self.lanes.len());
        self.lanes.push(Lane::default());
        self.lane_tiers.push(tier);
        self.tiers[tier].lanes.push(lane);
        lane
    }

    /// Number of waiting calls.
    pub const fn len(&self) -> usize {
        self.len
    }

    /// Whether no call waits.
    pub const fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Number of waiting calls of a lane.
    pub fn lane_len(&self, lane: LaneKey) -> usize {
        self.lanes[lane.0].len()
    }

    /// Number of waiting calls of a tier.
    pub fn tier_len(&self, tier: usize) -> usize {
        self.tiers[tier].waiting
    }

    /// The lanes of a tier.
    pub fn lanes_of(&self, tier: usize) -> &[LaneKey] {
        &self.tiers[tier].lanes
    }

    /// Adds a call of a workspace with the given weight for fair sharing.
    pub fn insert(&mut self, call: QueuedCall, weight: u32) {
        let tier = &mut self.tiers[self.lane_tiers[call.lane.0]];
        tier.add_waiting(call.lane, call.account, weight);
        let eligibility = tier.eligibility(call.lane, call.account);
        self.lanes[call.lane.0].insert(call.position, call.account, eligibility);
        self.len += 1;
    }

    /// Removes a call; returns whether it was queued.
    pub fn remove(&mut self, call: QueuedCall) -> bool {
        let tier = &mut self.tiers[self.lane_tiers[call.lane.0]];
        let eligibility = tier.eligibility(call.lane, call.account);
        let lane = &mut self.lanes[call.lane.0];
        let found = lane.remove(call.position, call.account, eligibility);
        if found {
            tier.remove_waiting(call.lane, call.account);
            self.len -= 1;
        }
        found
    }

    /// Picks the call that is served next; the call stays in the queue until [`Self::take`].
    ///
    /// `is_open` says whether an endpoint has room for calls of a lane, given whether the tier
    /// is due. `may_run` says whether a workspace may run another call of a tier; a workspace
    /// that may not is blocked in the tier until [`Self::unblock`] is called.
    pub fn pick(
        &mut self,
        now: Time,
        mut is_open: impl FnMut(LaneKey, bool) -> bool,
        may_run: impl Fn(AccountKey, usize) -> bool,
    ) -> Option<Pick> {
        for (tier, due) in self.floors.order() {
            while let Some(pick) = self.pick_from_tier(tier, due, now, &mut is_open) {
                if may_run(pick.account, tier) {
                    return Some(pick);
                }
                self.tiers[tier].set_blocked(pick.account, true);
                self.update_listings(pick.account, tier);
            }
        }
        None
    }

    fn pick_from_tier(
        &mut self,
        tier: usize,
        due: bool,
        now: Time,
        is_open: &mut impl FnMut(LaneKey, bool) -> bool,
    ) -> Option<Pick> {
        let state = &self.tiers[tier];
        if state.waiting == 0 {
            return None;
        }
        let virtual_time = state.virtual_time();
        let late_turn = state.dispatches % LATE_TURN_INTERVAL == LATE_TURN_INTERVAL - 1;
        let mut candidates = Candidates::default();
        for lane in &state.lanes {
            let queue = &mut self.lanes[lane.0];
            if queue.is_blocked() || !is_open(*lane, due) {
                continue;
            }
            candidates.add(queue.heads(now, virtual_time), *lane);
            if late_turn {
                candidates.late = earlier(candidates.late, queue.oldest_late(), *lane);
            }
        }
        let (head, lane) = candidates.choose(now)?;
        Some(Pick {
            call: head.position.call,
            lane,
            account: head.account,
            due,
            position: head.position,
            tier,
        })
    }

    /// Removes a picked call and charges its workspace an estimated slot time, in microseconds.
    pub fn take(&mut self, pick: &Pick, micros: u64) {
        let tier = &mut self.tiers[pick.tier];
        tier.charge(pick.lane, pick.account, micros);
        let eligibility = tier.eligibility(pick.lane, pick.account);
        self.lanes[pick.lane.0].remove(pick.position, pick.account, eligibility);
        let tiers = &self.tiers;
        self.floors
            .record_dispatch(pick.tier, |tier| tiers[tier].waiting > 0);
        self.tiers[pick.tier].remove_waiting(pick.lane, pick.account);
        self.len -= 1;
    }

    /// Replaces an estimated charge by the slot time that was used, both in microseconds.
    pub fn correct_charge(&mut self, lane: LaneKey, account: AccountKey, charged: u64, used: u64) {
        let tier = &mut self.tiers[self.lane_tiers[lane.0]];
        tier.correct_charge(lane, account, charged, used);
        let eligibility = tier.eligibility(lane, account);
        self.lanes[lane.0].update_listing(account, eligibility);
    }

    /// Unblocks a workspace in all tiers.
    pub fn unblock(&mut self, account: AccountKey) {
        for tier in 0..self.tiers.len() {
            if self.tiers[tier].set_blocked(account, false) {
                self.update_listings(account, tier);
            }
        }
    }

    fn update_listings(&mut self, account: AccountKey, tier: usize) {
        for lane in &self.tiers[tier].lanes {
            let eligibility = self.tiers[tier].eligibility(*lane, account);
            self.lanes[lane.0].update_listing(account, eligibility);
        }
    }
}

/// The first call of a tier by each criterion, with its lane.
#[derive(Clone, Copy, Debug, Default)]
struct Candidates {
    eligible: Option<(Head, LaneKey)>,
    ahead: Option<(Head, LaneKey)>,
    late: Option<(Head, LaneKey)>,
}

impl Candidates {
    fn add(&mut self, heads: Heads, lane: LaneKey) {
        self.eligible = earlier(self.eligible, heads.eligible, lane);
        self.ahead = earlier(self.ahead, heads.ahead, lane);
    }

    /// Chooses the oldest late call at its turn, otherwise the call with the least slack.
    ///
    /// A call of an eligible workspace that is about to become late precedes the calls of
    /// workspaces that are ahead, and so does one that is late if theirs are late as well.
    fn choose(self, now: Time) -> Option<(Head, LaneKey)> {
        if self.late.is_some() {
            return self.late;
        }
        let (Some(eligible), Some(ahead)) = (self.eligible, self.ahead) else {
            return self.eligible.or(self.ahead);
        };
        let (own, other) = (eligible.0.position, ahead.0.position);
        let urgent = !own.late && own.deadline <= now + URGENT_SLACK;
        let sooner = (own.late, own.deadline) <= (other.late, other.deadline);
        let both_late = own.late && other.late;
        Some(if urgent || sooner || both_late {
            eligible
        } else {
            ahead
        })
    }
}

fn earlier(
    best: Option<(Head, LaneKey)>,
    head: Option<Head>,
    lane: LaneKey,
) -> Option<(Head, LaneKey)> {
    let Some(head) = head else {
        return best;
    };
    match best {
        Some((other, _)) if other <= head => best,
        _ => Some((head, lane)),
    }
}
