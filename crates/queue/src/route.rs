//! The waiting calls of one route: tiers with floors, lanes within a tier.

use crate::lane::{Head, Heads, Lane, LaneKey, Position};
use crate::tier::Tier;
use crate::{AccountKey, CallKey, Floors};
use core::time::Duration;
use poplarswitch_entity::Time;

/// One in so many dispatches of a tier goes to the call that has been late for longest.
pub(crate) const LATE_TURN: u64 = 50;

/// Slack below which a workspace's call goes before those of workspaces that are ahead.
const MARGIN: Duration = Duration::from_secs(1);

/// A call that waits, and where.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueuedCall {
    /// Its lane.
    pub lane: LaneKey,
    /// Its workspace.
    pub account: AccountKey,
    /// Its place in the order.
    pub position: Position,
}

/// The call to be served next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pick {
    /// The call.
    pub call: CallKey,
    /// Its lane.
    pub lane: LaneKey,
    /// Its workspace.
    pub account: AccountKey,
    /// Whether its tier was due by its floor.
    pub due: bool,
    position: Position,
    tier: usize,
}

impl Pick {
    /// The tier that is served, from the highest.
    pub const fn tier(&self) -> usize {
        self.tier
    }

    /// Its place in the order.
    pub const fn position(&self) -> Position {
        self.position
    }
}

/// The queue of one route.
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
    /// Starts empty with the declared floors in percent, from the highest tier.
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

    /// Calls that wait.
    pub const fn len(&self) -> usize {
        self.len
    }

    /// Whether no call waits.
    pub const fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Calls that wait in a lane.
    pub fn lane_len(&self, lane: LaneKey) -> usize {
        self.lanes[lane.0].len()
    }

    /// Calls that wait in a tier.
    pub fn tier_len(&self, tier: usize) -> usize {
        self.tiers[tier].waiting
    }

    /// The lanes of a tier.
    pub fn lanes_of(&self, tier: usize) -> &[LaneKey] {
        &self.tiers[tier].lanes
    }

    /// Adds a call of a workspace with a weight.
    pub fn insert(&mut self, waiting: QueuedCall, weight: u32) {
        let tier = &mut self.tiers[self.lane_tiers[waiting.lane.0]];
        tier.enter(waiting.lane, waiting.account, weight);
        let standing = tier.standing(waiting.lane, waiting.account);
        self.lanes[waiting.lane.0].insert(waiting.position, waiting.account, standing);
        self.len += 1;
    }

    /// Takes a call out.
    pub fn remove(&mut self, waiting: QueuedCall) -> bool {
        let tier = &mut self.tiers[self.lane_tiers[waiting.lane.0]];
        let standing = tier.standing(waiting.lane, waiting.account);
        let lane = &mut self.lanes[waiting.lane.0];
        let found = lane.remove(waiting.position, waiting.account, standing);
        if found {
            tier.leave(waiting.lane, waiting.account);
            self.len -= 1;
        }
        found
    }

    /// The call to be served next among the lanes that are open.
    ///
    /// `is_open` is asked for a lane and whether its tier is due; `may_run` for a workspace
    /// and its tier. A workspace that may not run is held until it is released.
    pub fn pick(
        &mut self,
        now: Time,
        mut is_open: impl FnMut(LaneKey, bool) -> bool,
        may_run: impl Fn(AccountKey, usize) -> bool,
    ) -> Option<Pick> {
        for (tier, due) in self.floors.order() {
            while let Some(pick) = self.pick_in(tier, due, now, &mut is_open) {
                if may_run(pick.account, tier) {
                    return Some(pick);
                }
                self.tiers[tier].hold(pick.account, true);
                self.relist(pick.account, tier);
            }
        }
        None
    }

    fn pick_in(
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
        let horizon = state.horizon();
        let late_turn = state.served % LATE_TURN == LATE_TURN - 1;
        let mut best = Best::default();
        for lane in &state.lanes {
            let line = &mut self.lanes[lane.0];
            if line.is_idle() || !is_open(*lane, due) {
                continue;
            }
            best.add(line.heads(now, horizon), *lane);
            if late_turn {
                best.late = earlier(best.late, line.oldest_late(), *lane);
            }
        }
        let (head, lane) = best.choose(now)?;
        Some(Pick {
            call: head.position.call,
            lane,
            account: head.account,
            due,
            position: head.position,
            tier,
        })
    }

    /// Takes out a call that was picked and charges its workspace for a slot time.
    pub fn take(&mut self, pick: &Pick, micros: u64) {
        let tier = &mut self.tiers[pick.tier];
        tier.charge(pick.lane, pick.account, micros);
        let standing = tier.standing(pick.lane, pick.account);
        self.lanes[pick.lane.0].remove(pick.position, pick.account, standing);
        let tiers = &self.tiers;
        self.floors
            .record_dispatch(pick.tier, |tier| tiers[tier].waiting > 0);
        self.tiers[pick.tier].leave(pick.lane, pick.account);
        self.len -= 1;
    }

    /// Corrects a charge once the slot time is known.
    pub fn correct_charge(&mut self, lane: LaneKey, account: AccountKey, charged: u64, used: u64) {
        let tier = &mut self.tiers[self.lane_tiers[lane.0]];
        tier.correct_charge(lane, account, charged, used);
        let standing = tier.standing(lane, account);
        self.lanes[lane.0].list(account, standing);
    }

    /// Lets a workspace that was held be served again.
    pub fn unblock(&mut self, account: AccountKey) {
        for tier in 0..self.tiers.len() {
            if self.tiers[tier].hold(account, false) {
                self.relist(account, tier);
            }
        }
    }

    fn relist(&mut self, account: AccountKey, tier: usize) {
        for lane in &self.tiers[tier].lanes {
            let standing = self.tiers[tier].standing(*lane, account);
            self.lanes[lane.0].list(account, standing);
        }
    }
}

/// The calls of a tier that may be served next, with their lanes.
#[derive(Clone, Copy, Debug, Default)]
struct Best {
    ready: Option<(Head, LaneKey)>,
    ahead: Option<(Head, LaneKey)>,
    late: Option<(Head, LaneKey)>,
}

impl Best {
    fn add(&mut self, heads: Heads, lane: LaneKey) {
        self.ready = earlier(self.ready, heads.ready, lane);
        self.ahead = earlier(self.ahead, heads.ahead, lane);
    }

    /// The least slack, unless that would make a call late whose workspace is not ahead.
    fn choose(self, now: Time) -> Option<(Head, LaneKey)> {
        if self.late.is_some() {
            return self.late;
        }
        let (Some(ready), Some(ahead)) = (self.ready, self.ahead) else {
            return self.ready.or(self.ahead);
        };
        let (own, other) = (ready.0.position, ahead.0.position);
        let pressed = !own.late && own.deadline <= now + MARGIN;
        let sooner = (own.late, own.deadline) <= (other.late, other.deadline);
        let equal = own.late && other.late;
        Some(if pressed || sooner || equal {
            ready
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
