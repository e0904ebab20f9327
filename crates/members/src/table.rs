//! The members that this VM knows of.

use crate::{FailureMark, Identity, JOINING_LOAD, Member, SeenHeartbeat, State};
use core::time::Duration;
use poplarswitch_entity::{CellName, Incarnation, Time, VmName};
use std::collections::BTreeMap;

/// Another VM's report that it knows of no newer heartbeat of a member.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SilenceReport {
    pub(crate) at: Time,
    pub(crate) age_ms: u32,
}

/// A member and what is known of it.
#[derive(Clone, Debug)]
pub(crate) struct Record {
    pub(crate) identity: Identity,
    pub(crate) seq: u64,
    /// Time at which the newest heartbeat was received by any VM.
    pub(crate) heard: Time,
    /// Pauses of this VM since then, which are part of the heartbeat's age in digests to others
    /// but not of the silence that this VM measures.
    pub(crate) paused_for: Duration,
    /// Time of the last message over this VM's link to the member.
    pub(crate) link_heard: Time,
    pub(crate) added_at: Time,
    pub(crate) mark: FailureMark,
    pub(crate) changed_at: Time,
    pub(crate) leaving: bool,
    /// Whether a later incarnation of the same VM is known.
    pub(crate) replaced: bool,
    pub(crate) load: u16,
    pub(crate) reports: BTreeMap<Incarnation, SilenceReport>,
}

impl Record {
    fn new(now: Time, identity: Identity, heard: Time) -> Self {
        Self {
            identity,
            seq: 0,
            heard,
            paused_for: Duration::ZERO,
            link_heard: now,
            added_at: now,
            mark: FailureMark::Fine,
            changed_at: now,
            leaving: false,
            replaced: false,
            load: 0,
            reports: BTreeMap::new(),
        }
    }

    pub(crate) const fn state(&self) -> State {
        match self.mark {
            FailureMark::Gone => State::Gone,
            _ if self.replaced => State::Gone,
            FailureMark::Suspect => State::Suspect,
            FailureMark::Fine if self.leaving => State::Leaving,
            FailureMark::Fine if self.load == JOINING_LOAD => State::Joining,
            FailureMark::Fine => State::Alive,
        }
    }

    pub(crate) fn member(&self, linked: bool) -> Member {
        Member {
            identity: self.identity.clone(),
            state: self.state(),
            load: self.load,
            linked,
        }
    }

    /// Merges a heartbeat entry of this member; returns whether the change has to be gossiped.
    fn merge(&mut self, now: Time, seen: &SeenHeartbeat) -> bool {
        let before = (self.mark, self.leaving);
        self.leaving |= seen.leaving;
        if seen.seq > self.seq {
            self.seq = seen.seq;
            self.paused_for = Duration::ZERO;
            self.load = seen.load;
            let heard = now - Duration::from_millis(u64::from(seen.age_ms));
            self.heard = self.heard.max(heard);
            self.set_mark(now, seen.mark);
            self.reports.clear();
        } else if seen.seq == self.seq && seen.mark > self.mark {
            self.set_mark(now, seen.mark);
        }
        before != (self.mark, self.leaving)
    }

    pub(crate) fn set_mark(&mut self, now: Time, mark: FailureMark) {
        if self.mark != mark {
            self.mark = mark;
            self.changed_at = now;
        }
    }
}

/// All known members except this VM.
#[derive(Debug, Default)]
pub(crate) struct Table {
    records: BTreeMap<Incarnation, Record>,
    vms: BTreeMap<VmName, Incarnation>,
    cells: BTreeMap<CellName, Time>,
}

impl Table {
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&Incarnation, &Record)> {
        self.records.iter()
    }

    pub(crate) fn get(&self, incarnation: Incarnation) -> Option<&Record> {
        self.records.get(&incarnation)
    }

    pub(crate) fn get_mut(&mut self, incarnation: Incarnation) -> Option<&mut Record> {
        self.records.get_mut(&incarnation)
    }

    /// Time of the newest heartbeat of any member of a cell.
    pub(crate) fn cell_heard(&self, cell: &CellName) -> Time {
        self.cells.get(cell).copied().unwrap_or_default()
    }

    /// Adds a member unless it is known; of two incarnations of one VM the earlier is replaced.
    pub(crate) fn add(&mut self, now: Time, identity: &Identity, heard: Time) -> bool {
        if self.records.contains_key(&identity.incarnation) {
            return false;
        }
        let mut record = Record::new(now, identity.clone(), heard);
        if let Some(other) = self.vms.get(&identity.vm).copied()
            && let Some(old) = self.records.get_mut(&other)
        {
            if start_order(&old.identity) > start_order(identity) {
                record.replaced = true;
            } else {
                old.replaced = true;
                old.changed_at = now;
            }
        }
        if !record.replaced {
            self.vms.insert(identity.vm.clone(), identity.incarnation);
        }
        self.record_cell(&identity.cell, heard);
        self.records.insert(identity.incarnation, record);
        true
    }

    /// Merges a heartbeat entry of a known member; returns whether the change has to be gossiped.
    pub(crate) fn merge(&mut self, now: Time, seen: &SeenHeartbeat) -> bool {
        let Some(record) = self.records.get_mut(&seen.incarnation) else {
            return false;
        };
        let newer = seen.seq > record.seq;
        let changed = record.merge(now, seen);
        if newer && !record.replaced {
            let (cell, heard) = (record.identity.cell.clone(), record.heard);
            self.record_cell(&cell, heard);
        }
        changed
    }

    fn record_cell(&mut self, cell: &CellName, heard: Time) {
        let entry = self.cells.entry(cell.clone()).or_default();
        *entry = heard.max(*entry);
    }

    /// Removes members that have been gone for at least `after`.
    pub(crate) fn remove_expired(&mut self, now: Time, after: Duration) {
        let vms = &mut self.vms;
        self.records.retain(|incarnation, record| {
            let keep = record.state() != State::Gone || now.since(record.changed_at) < after;
            if !keep && vms.get(&record.identity.vm) == Some(incarnation) {
                vms.remove(&record.identity.vm);
            }
            keep
        });
    }

    /// Excludes a pause of this VM from the silence of all members.
    pub(crate) fn exclude_pause(&mut self, now: Time, gap: Duration) {
        for record in self.records.values_mut() {
            record.paused_for += gap;
            record.heard = now.min(record.heard + gap);
            record.link_heard = now.min(record.link_heard + gap);
            record.reports.clear();
        }
        for heard in self.cells.values_mut() {
            *heard = now.min(*heard + gap);
        }
    }
}

fn start_order(identity: &Identity) -> (u64, Incarnation) {
    (identity.started, identity.incarnation)
}
