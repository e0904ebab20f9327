//! The waiting calls of one class and adapter, by workspace and then by slack.
//!
//! A workspace is listed in `eligible` while its virtual time does not exceed that of its tier
//! by more than the allowed lead, otherwise in `ahead`. Both lists are ordered by the call with
//! the least slack of each workspace. Calls that have already missed their target come after
//! those that can still meet it, so that an overload makes few calls late instead of all.

use crate::{AccountKey, CallKey};
use poplarswitch_entity::Time;
use std::collections::{BTreeMap, BTreeSet};

/// Identifies a lane of a route's queue.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LaneKey(pub(crate) usize);

impl LaneKey {
    /// The index of the lane, in the order in which the lanes of the route were added.
    pub const fn index(self) -> usize {
        self.0
    }
}

/// Sort key of a waiting call; smaller keys are served first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    /// Whether the call has missed its target.
    pub late: bool,
    /// Latest start at which the call is expected to meet its target.
    pub deadline: Time,
    /// Sequence number of the call, in the order of arrival.
    pub arrival: u64,
    /// The call.
    pub call: CallKey,
}

/// The list that a workspace is in, and the key under which it is listed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Listing {
    Eligible(Position),
    Ahead(u64, Position),
    Blocked,
}

/// The waiting calls of one workspace.
#[derive(Debug)]
struct Backlog {
    positions: BTreeSet<Position>,
    listing: Listing,
    /// Number of calls that are marked as late.
    late: usize,
    /// The late call that is listed in `Lane::late`.
    oldest_late: Option<Position>,
}

impl Backlog {
    fn oldest_late(&self) -> Option<Position> {
        if self.late == 0 || self.listing == Listing::Blocked {
            return None;
        }
        // Sorts before all late calls and after all others.
        let first_late = Position {
            late: true,
            ..Position::default()
        };
        self.positions.range(first_late..).next().copied()
    }
}

/// Whether a workspace may be served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Eligibility {
    /// Within its fair share.
    Eligible,
    /// Ahead of its fair share until the tier reaches this virtual time.
    Ahead(u64),
    /// At its limit of running calls.
    Blocked,
}

/// A call that may be served next, and its workspace.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Head {
    pub position: Position,
    pub account: AccountKey,
}

/// The calls with the least slack of a lane.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Heads {
    /// Among the workspaces that are within their fair share.
    pub eligible: Option<Head>,
    /// Among the workspaces that are ahead of their fair share.
    pub ahead: Option<Head>,
}

#[derive(Debug, Default)]
pub(crate) struct Lane {
    backlogs: BTreeMap<AccountKey, Backlog>,
    eligible: BTreeSet<(Position, AccountKey)>,
    ahead: BTreeSet<(Position, AccountKey)>,
    /// The virtual time at which each workspace that is ahead becomes eligible.
    eligible_times: BTreeSet<(u64, AccountKey)>,
    /// The oldest late call of each workspace that is not blocked.
    late: BTreeSet<(Position, AccountKey)>,
    len: usize,
}

impl Lane {
    pub(crate) const fn len(&self) -> usize {
        self.len
    }

    /// Whether no call may be served: the lane is empty or all its workspaces are blocked.
    pub(crate) fn is_blocked(&self) -> bool {
        self.eligible.is_empty() && self.ahead.is_empty()
    }

    pub(crate) fn insert(
        &mut self,
        position: Position,
        account: AccountKey,
        eligibility: Eligibility,
    ) {
        let backlog = self.backlogs.entry(account).or_insert_with(|| Backlog {
            positions: BTreeSet::new(),
            listing: Listing::Blocked,
            late: 0,
            oldest_late: None,
        });
        backlog.positions.insert(position);
        backlog.late += usize::from(position.late);
        self.len += 1;
        self.update_listing(account, eligibility);
    }

    /// Removes a call, also if it was marked as late in the meantime; returns whether it was
    /// found.
    pub(crate) fn remove(
        &mut self,
        position: Position,
        account: AccountKey,
        eligibility: Eligibility,
    ) -> bool {
        let Some(backlog) = self.backlogs.get_mut(&account) else {
            return false;
        };
        let late = Position {
            late: true,
            ..position
        };
        if backlog.positions.remove(&late) {
            backlog.late -= 1;
        } else if !backlog.positions.remove(&position) {
            return false;
        }
        self.len -= 1;
        self.update_listing(account, eligibility);
        true
    }

    /// Updates the lists after the eligibility or the calls of a workspace have changed.
    pub(crate) fn update_listing(&mut self, account: AccountKey, eligibility: Eligibility) {
        let Some(backlog) = self.backlogs.get_mut(&account) else {
            return;
        };
        let old = backlog.listing;
        let head = backlog.positions.first().copied();
        let new = match (head, eligibility) {
            (None, _) | (_, Eligibility::Blocked) => Listing::Blocked,
            (Some(position), Eligibility::Eligible) => Listing::Eligible(position),
            (Some(position), Eligibility::Ahead(time)) => Listing::Ahead(time, position),
        };
        backlog.listing = new;
        let oldest = backlog.oldest_late();
        let before = core::mem::replace(&mut backlog.oldest_late, oldest);
        if head.is_none() {
            self.backlogs.remove(&account);
        }
        if before != oldest {
            before.map(|position| self.late.remove(&(position, account)));
            oldest.map(|position| self.late.insert((position, account)));
        }
        if old != new {
            self.remove_listing(account, old);
            self.insert_listing(account, new);
        }
    }

    fn remove_listing(&mut self, account: AccountKey, listing: Listing) {
        match listing {
            Listing::Eligible(position) => self.eligible.remove(&(position, account)),
            Listing::Ahead(time, position) => {
                self.ahead.remove(&(position, account));
                self.eligible_times.remove(&(time, account))
            }
            Listing::Blocked => false,
        };
    }

    fn insert_listing(&mut self, account: AccountKey, listing: Listing) {
        match listing {
            Listing::Eligible(position) => self.eligible.insert((position, account)),
            Listing::Ahead(time, position) => {
                self.ahead.insert((position, account));
                self.eligible_times.insert((time, account))
            }
            Listing::Blocked => false,
        };
    }

    /// The calls with the least slack.
    ///
    /// A head whose deadline has passed is marked as late first, which moves it behind the calls
    /// that can still meet their target.
    pub(crate) fn heads(&mut self, now: Time, virtual_time: u64) -> Heads {
        self.promote_eligible(virtual_time);
        loop {
            let heads = Heads {
                eligible: first(&self.eligible),
                ahead: first(&self.ahead),
            };
            let mut candidates = heads.eligible.iter().chain(&heads.ahead);
            let missed =
                candidates.find(|head| !head.position.late && head.position.deadline < now);
            let Some(missed) = missed.copied() else {
                return heads;
            };
            self.mark_late(missed);
        }
    }

    /// The late call with the earliest deadline.
    pub(crate) fn oldest_late(&self) -> Option<Head> {
        first(&self.late)
    }

    /// Makes the workspaces eligible that are no longer ahead at the tier's virtual time.
    fn promote_eligible(&mut self, virtual_time: u64) {
        while let Some((time, account)) = self.eligible_times.first().copied() {
            if time > virtual_time {
                return;
            }
            self.update_listing(account, Eligibility::Eligible);
        }
    }

    fn mark_late(&mut self, head: Head) {
        let Some(backlog) = self.backlogs.get_mut(&head.account) else {
            return;
        };
        let late = Position {
            late: true,
            ..head.position
        };
        backlog.positions.remove(&head.position);
        backlog.positions.insert(late);
        backlog.late += 1;
        let eligibility = match backlog.listing {
            Listing::Eligible(_) => Eligibility::Eligible,
            Listing::Ahead(time, _) => Eligibility::Ahead(time),
            Listing::Blocked => Eligibility::Blocked,
        };
        self.update_listing(head.account, eligibility);
    }
}

fn first(positions: &BTreeSet<(Position, AccountKey)>) -> Option<Head> {
    let (position, account) = *positions.first()?;
    Some(Head { position, account })
}
