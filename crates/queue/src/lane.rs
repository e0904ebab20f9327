//! The waiting calls of one class: by workspace, and within a workspace by slack.
//!
//! A workspace stands in `ready` while its virtual time is not ahead of its tier's by more
//! than the lead, else in `ahead`. The head of each is the call with the least slack.
//! Calls that have already missed their target go behind those that can still meet it,
//! so that an overload makes few calls late instead of all of them.

use crate::{AccountKey, CallKey};
use poplarswitch_entity::Time;
use std::collections::{BTreeMap, BTreeSet};

/// Refers to a lane of a route's queue.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LaneKey(pub(crate) usize);

impl LaneKey {
    /// Counts the lanes of a route in the order in which they were added.
    pub const fn index(self) -> usize {
        self.0
    }
}

/// A call's position in its workspace's order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    /// Whether the target is already missed.
    pub late: bool,
    /// When the call has to start to meet its target.
    pub deadline: Time,
    /// Counts the calls in the order of their arrival.
    pub arrival: u64,
    /// The call.
    pub call: CallKey,
}

/// Where a workspace is listed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Listing {
    Ready(Position),
    Ahead(u64, Position),
    Held,
}

#[derive(Debug)]
struct Backlog {
    positions: BTreeSet<Position>,
    listing: Listing,
    /// Calls that have missed their target.
    late: usize,
    /// The one of them that is listed for the turns of late calls.
    oldest: Option<Position>,
}

impl Backlog {
    fn oldest_late(&self) -> Option<Position> {
        if self.late == 0 || self.listing == Listing::Held {
            return None;
        }
        // Sorts before all late positions and after all timely ones.
        let first = Position {
            late: true,
            ..Position::default()
        };
        self.positions.range(first..).next().copied()
    }
}

/// How a workspace stands against its tier's virtual time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Standing {
    /// May be served by slack.
    Ready,
    /// Has run ahead to this virtual time.
    Ahead(u64),
    /// May not run more calls at the moment.
    Held,
}

/// A call that may be served next.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Head {
    pub position: Position,
    pub account: AccountKey,
}

/// The calls with the least slack.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Heads {
    /// Among the workspaces that are not ahead of their share.
    pub ready: Option<Head>,
    /// Among those that are.
    pub ahead: Option<Head>,
}

#[derive(Debug, Default)]
pub(crate) struct Lane {
    backlogs: BTreeMap<AccountKey, Backlog>,
    ready: BTreeSet<(Position, AccountKey)>,
    ahead: BTreeSet<(Position, AccountKey)>,
    /// When each workspace that is ahead becomes ready.
    returns: BTreeSet<(u64, AccountKey)>,
    late: BTreeSet<(Position, AccountKey)>,
    len: usize,
}

impl Lane {
    pub(crate) const fn len(&self) -> usize {
        self.len
    }

    /// Whether no call could go even if a slot were free.
    pub(crate) fn is_idle(&self) -> bool {
        self.ready.is_empty() && self.ahead.is_empty()
    }

    pub(crate) fn insert(&mut self, position: Position, account: AccountKey, standing: Standing) {
        let backlog = self.backlogs.entry(account).or_insert_with(|| Backlog {
            positions: BTreeSet::new(),
            listing: Listing::Held,
            late: 0,
            oldest: None,
        });
        backlog.positions.insert(position);
        backlog.late += usize::from(position.late);
        self.len += 1;
        self.list(account, standing);
    }

    /// Takes a call out, whether it has become late or not.
    pub(crate) fn remove(
        &mut self,
        position: Position,
        account: AccountKey,
        standing: Standing,
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
        self.list(account, standing);
        true
    }

    /// Lists a workspace anew after its standing or its head changed.
    pub(crate) fn list(&mut self, account: AccountKey, standing: Standing) {
        let Some(backlog) = self.backlogs.get_mut(&account) else {
            return;
        };
        let old = backlog.listing;
        let head = backlog.positions.first().copied();
        let new = match (head, standing) {
            (None, _) | (_, Standing::Held) => Listing::Held,
            (Some(position), Standing::Ready) => Listing::Ready(position),
            (Some(position), Standing::Ahead(time)) => Listing::Ahead(time, position),
        };
        backlog.listing = new;
        let oldest = backlog.oldest_late();
        let before = core::mem::replace(&mut backlog.oldest, oldest);
        if head.is_none() {
            self.backlogs.remove(&account);
        }
        if before != oldest {
            before.map(|position| self.late.remove(&(position, account)));
            oldest.map(|position| self.late.insert((position, account)));
        }
        if old != new {
            self.unlist(account, old);
            self.enlist(account, new);
        }
    }

    fn unlist(&mut self, account: AccountKey, listing: Listing) {
        match listing {
            Listing::Ready(position) => self.ready.remove(&(position, account)),
            Listing::Ahead(time, position) => {
                self.ahead.remove(&(position, account));
                self.returns.remove(&(time, account))
            }
            Listing::Held => false,
        };
    }

    fn enlist(&mut self, account: AccountKey, listing: Listing) {
        match listing {
            Listing::Ready(position) => self.ready.insert((position, account)),
            Listing::Ahead(time, position) => {
                self.ahead.insert((position, account));
                self.returns.insert((time, account))
            }
            Listing::Held => false,
        };
    }

    /// The calls with the least slack; those that have become late go behind the others.
    pub(crate) fn heads(&mut self, now: Time, horizon: u64) -> Heads {
        self.catch_up(horizon);
        loop {
            let heads = Heads {
                ready: first(&self.ready),
                ahead: first(&self.ahead),
            };
            let mut both = heads.ready.iter().chain(&heads.ahead);
            let missed = both.find(|head| !head.position.late && head.position.deadline < now);
            let Some(missed) = missed.copied() else {
                return heads;
            };
            self.mark_late(missed);
        }
    }

    /// The late call that has been late for longest.
    pub(crate) fn oldest_late(&self) -> Option<Head> {
        first(&self.late)
    }

    /// Makes workspaces ready whose virtual time the tier has reached.
    fn catch_up(&mut self, horizon: u64) {
        while let Some((time, account)) = self.returns.first().copied() {
            if time > horizon {
                return;
            }
            self.list(account, Standing::Ready);
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
        let standing = match backlog.listing {
            Listing::Ready(_) => Standing::Ready,
            Listing::Ahead(time, _) => Standing::Ahead(time),
            Listing::Held => Standing::Held,
        };
        self.list(head.account, standing);
    }
}

fn first(positions: &BTreeSet<(Position, AccountKey)>) -> Option<Head> {
    let (position, account) = *positions.first()?;
    Some(Head { position, account })
}
