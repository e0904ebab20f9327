//! Handover of a leaving VM's keys to a successor.
//!
//! The handover starts once no call runs on the leaving VM. It sends its keys in parts to a
//! candidate, which stages them and confirms with [`KeysMessage::Staged`]. Then the leaving VM
//! sends [`KeysMessage::Commit`]. After the commit it runs no call and offers its keys to no
//! other candidate, so at most one VM becomes their home. If the commit is lost, the keys have
//! no home: their outcome stays unknown to callers, but no key runs twice.

use crate::{
    Core, KeyOutcome, KeysMessage, Mutation, Output, Record, Succession,
    entry::{Entry, State},
};
use poplarswitch_entity::{Incarnation, Time};
use std::collections::BTreeMap;

/// Maximum number of keys in one message.
const MAX_PART_KEYS: usize = 256;

/// State of the handover at the leaving VM.
#[derive(Clone, Debug)]
pub(crate) enum Handover {
    /// The handover has not started.
    None,
    /// The keys were sent to a candidate that has not confirmed all parts.
    Staging {
        to: Incarnation,
        remaining: Vec<Incarnation>,
        deadline: Time,
    },
    /// The commit was sent; it is never sent to another candidate.
    Committing { to: Incarnation, deadline: Time },
    /// The handover ended, with or without a successor.
    Finished,
}

impl Handover {
    /// Whether this VM must not run its keys any more, because a successor may run them.
    pub(crate) const fn is_final(&self) -> bool {
        matches!(self, Self::Committing { .. } | Self::Finished)
    }

    pub(crate) const fn deadline(&self) -> Option<Time> {
        match self {
            Self::Staging { deadline, .. } | Self::Committing { deadline, .. } => Some(*deadline),
            Self::None | Self::Finished => None,
        }
    }
}

/// Keys that a successor has received but not yet taken over.
#[derive(Debug, Default)]
pub(crate) struct StagedRecords {
    parts: BTreeMap<u32, Vec<Record>>,
    total: u32,
}

impl Core {
    pub(crate) fn start_handover(
        &mut self,
        now: Time,
        candidates: Vec<Incarnation>,
        out: &mut Vec<Output>,
    ) {
        self.leaving = true;
        let ready = matches!(self.handover, Handover::None) && self.running.is_empty();
        if ready {
            let mut remaining = candidates;
            remaining.reverse();
            self.next_candidate(now, remaining, out);
        }
    }

    fn next_candidate(
        &mut self,
        now: Time,
        mut remaining: Vec<Incarnation>,
        out: &mut Vec<Output>,
    ) {
        let links = &self.links;
        while let Some(to) = remaining.pop() {
            if to == self.me || !links.contains(&to) {
                continue;
            }
            let deadline = now + self.settings.handover_timeout;
            self.handover = Handover::Staging {
                to,
                remaining,
                deadline,
            };
            return self.send_parts(to, out);
        }
        self.handover = Handover::Finished;
        out.push(Output::HandedOver(None));
    }

    fn send_parts(&self, to: Incarnation, out: &mut Vec<Output>) {
        let records: Vec<Record> = self.records();
        let chunks: Vec<&[Record]> = records.chunks(MAX_PART_KEYS).collect();
        let parts = chunks.len().max(1) as u32;
        for part in 0..parts {
            let chunk = chunks.get(part as usize).copied().unwrap_or_default();
            let message = KeysMessage::Handover {
                part,
                parts,
                records: chunk.to_vec(),
            };
            out.push(Output::Send { to, message });
        }
    }

    /// Records of all keys with a token; keys without one are claimed in the platform.
    fn records(&self) -> Vec<Record> {
        let tokened = self.entries.iter().filter(|(key, _)| key.token().is_some());
        tokened
            .map(|(key, entry)| Record {
                key: key.clone(),
                digest: entry.digest,
                state: match &entry.state {
                    State::Concluded(outcome) => outcome.clone(),
                    State::Claiming(_) | State::Running | State::Voiding(_) => KeyOutcome::InDoubt,
                },
                voided: entry.voided.clone(),
            })
            .collect()
    }

    pub(crate) fn handle_part(
        &mut self,
        from: Incarnation,
        part: u32,
        parts: u32,
        records: Vec<Record>,
        out: &mut Vec<Output>,
    ) {
        if self.leaving || self.successions.contains_key(&from) {
            return;
        }
        let staged = self.staged.entry(from).or_default();
        if staged.total != parts {
            staged.parts.clear();
            staged.total = parts;
        }
        staged.parts.insert(part, records);
        if staged.parts.len() == parts as usize {
            let message = KeysMessage::Staged;
            out.push(Output::Send { to: from, message });
        }
    }

    pub(crate) fn handle_staged(&mut self, now: Time, from: Incarnation, out: &mut Vec<Output>) {
        let Handover::Staging { to, .. } = &self.handover else {
            return;
        };
        if *to != from {
            return;
        }
        let deadline = now + self.settings.handover_timeout;
        self.handover = Handover::Committing { to: from, deadline };
        let inherited = self.successions.values();
        let inherited = inherited.filter(|succession| succession.successor == self.me);
        let message = KeysMessage::Commit {
            floor: self.floor(now),
            inherited: inherited.copied().collect(),
        };
        out.push(Output::Send { to: from, message });
    }

    pub(crate) fn handle_commit(
        &mut self,
        now: Time,
        from: Incarnation,
        floor: u64,
        inherited: &[Succession],
        out: &mut Vec<Output>,
    ) {
        let Some(staged) = self.staged.get(&from) else {
            if self.home_of(from) == self.me {
                let message = KeysMessage::Committed;
                out.push(Output::Send { to: from, message });
            }
            return;
        };
        // A VM whose own handover has started ignores the commit: it has already sent its keys to
        // a candidate, and these would be missing there.
        if staged.parts.len() != staged.total as usize || !matches!(self.handover, Handover::None) {
            return;
        }
        let staged = self.staged.remove(&from).unwrap_or_default();
        for record in staged.parts.into_values().flatten() {
            self.insert_record(now, record);
        }
        let mut list = vec![Succession {
            predecessor: from,
            successor: self.me,
            floor,
        }];
        list.extend(inherited.iter().map(|succession| Succession {
            successor: self.me,
            floor: succession.floor.max(floor),
            ..*succession
        }));
        for succession in &list {
            self.successions.insert(succession.predecessor, *succession);
        }
        let message = KeysMessage::Committed;
        out.push(Output::Send { to: from, message });
        self.broadcast(None, &list, out);
        self.resend_forwards(now, out);
    }

    fn insert_record(&mut self, now: Time, record: Record) {
        let state = State::Concluded(record.state);
        let mut entry = Entry::new(now, record.digest, state);
        entry.voided = record.voided;
        self.answer_bytes += entry.answer_bytes();
        self.entries.insert(record.key, entry);
    }

    pub(crate) fn handle_committed(&mut self, now: Time, from: Incarnation, out: &mut Vec<Output>) {
        let Handover::Committing { to, .. } = self.handover else {
            return;
        };
        if to != from {
            return;
        }
        self.handover = Handover::Finished;
        let succession = Succession {
            predecessor: self.me,
            successor: from,
            floor: self.floor(now),
        };
        self.successions.insert(self.me, succession);
        self.broadcast(None, &[succession], out);
        out.push(Output::HandedOver(Some(from)));
    }

    /// Applies successions received from a peer, and passes on those that are new.
    pub(crate) fn merge_successions(
        &mut self,
        now: Time,
        from: Option<Incarnation>,
        list: &[Succession],
        out: &mut Vec<Output>,
    ) {
        let mut updated = Vec::new();
        for succession in list {
            // This VM itself records the successions in which it takes part.
            if succession.successor == self.me || succession.predecessor == self.me {
                continue;
            }
            let known = self.successions.get(&succession.predecessor);
            if known.is_none_or(|known| {
                known.successor != succession.successor && known.floor < succession.floor
            }) {
                self.successions.insert(succession.predecessor, *succession);
                updated.push(*succession);
            }
        }
        if !updated.is_empty() {
            self.broadcast(from, &updated, out);
            self.resend_forwards(now, out);
        }
    }

    fn broadcast(&self, except: Option<Incarnation>, list: &[Succession], out: &mut Vec<Output>) {
        for to in self.links.iter().filter(|peer| Some(**peer) != except) {
            let message = KeysMessage::Successions(list.to_vec());
            out.push(Output::Send { to: *to, message });
        }
    }

    pub(crate) fn handover_unlinked(
        &mut self,
        now: Time,
        peer: Incarnation,
        out: &mut Vec<Output>,
    ) {
        if let Handover::Staging { to, remaining, .. } = &self.handover
            && *to == peer
        {
            let remaining = remaining.clone();
            self.next_candidate(now, remaining, out);
        }
    }

    pub(crate) fn expire_handover(&mut self, now: Time, out: &mut Vec<Output>) {
        match &self.handover {
            Handover::Staging {
                remaining,
                deadline,
                ..
            } if now >= *deadline => {
                let remaining = remaining.clone();
                self.next_candidate(now, remaining, out);
            }
            Handover::Committing { to, deadline }
                if now >= *deadline && self.mutation == Some(Mutation::SecondSuccessor) =>
            {
                let to = *to;
                let remaining = self.links.iter().filter(|peer| **peer != to);
                let remaining = remaining.copied().collect();
                self.next_candidate(now, remaining, out);
            }
            Handover::Committing { deadline, .. } if now >= *deadline => {
                self.handover = Handover::Finished;
                out.push(Output::HandedOver(None));
            }
            _ => {}
        }
    }
}
