//! The failure detector: when a silent member is suspected and when it is considered dead.
//!
//! A VM that misses the heartbeats of a member of its own cell suspects the member once another
//! VM of the cell, itself alive, confirms the silence. Without a confirmation it suspects the
//! member after a longer silence. Members of other cells are suspected by the VMs of their own
//! cell, which gossip the mark; this VM suspects them itself only if their whole cell is silent.
//! It also considers a member of another cell dead that has itself been silent for
//! `forget_after`.

use crate::{Core, FailureMark, MembersMessage, Mutation, Output, State, table::Record};
use core::time::Duration;
use poplarswitch_entity::{Incarnation, Time};
use rand::seq::IteratorRandom as _;

/// Number of rounds in which a change is sent.
pub(crate) const GOSSIP_ROUNDS: u8 = 6;
/// Number of peers that are asked about silent members in one round.
const QUERY_FANOUT: usize = 3;
/// Age from which a report of another VM no longer confirms a silence.
const REPORT_LIFETIME: Duration = Duration::from_secs(2);

impl Core {
    pub(crate) fn detect_failures(&mut self, now: Time, out: &mut Vec<Output>) {
        let mut silent = Vec::new();
        let mut marks = Vec::new();
        for (incarnation, record) in self.table.iter() {
            if record.state() == State::Gone {
                continue;
            }
            if let Some(mark) = self.assess(now, record) {
                marks.push((*incarnation, mark));
            } else if self.is_same_cell(record)
                && now.since(record.heard) >= self.settings.suspect_after / 2
            {
                silent.push(*incarnation);
            }
        }
        for (incarnation, mark) in marks {
            if let Some(record) = self.table.get_mut(incarnation) {
                record.set_mark(now, mark);
                self.updates.insert(incarnation, GOSSIP_ROUNDS);
            }
        }
        if silent.is_empty() || self.is_mutated(Mutation::SuspectUnconfirmed) {
            return;
        }
        for to in self.pick_query_targets(&silent) {
            let message = MembersMessage::DigestRequest(silent.clone());
            out.push(Output::Send { to, message });
        }
    }

    /// Marks a member at once if it has already been silent for long enough.
    pub(crate) fn reassess(&mut self, now: Time, peer: Incarnation) {
        let mark = self
            .table
            .get(peer)
            .and_then(|record| self.assess(now, record));
        if let (Some(mark), Some(record)) = (mark, self.table.get_mut(peer)) {
            record.set_mark(now, mark);
            self.updates.insert(peer, GOSSIP_ROUNDS);
        }
    }

    /// Records that a message arrived over the link to a member.
    pub(crate) fn record_activity(&mut self, now: Time, peer: Incarnation) {
        if let Some(record) = self.table.get_mut(peer) {
            record.link_heard = now;
        }
    }

    /// Closes links over which nothing arrives, so that no call is forwarded over them.
    pub(crate) fn close_silent(&mut self, now: Time, out: &mut Vec<Output>) {
        let timeout = self.settings.link_timeout;
        let links = self.links.open().iter().copied();
        let silent: Vec<Incarnation> = links
            .filter(|peer| {
                let record = self.table.get(*peer);
                record.is_some_and(|record| now.since(record.link_heard) >= timeout)
            })
            .collect();
        for peer in silent {
            self.links.closed(peer);
            out.push(Output::Close(peer));
        }
    }

    /// Random linked members to ask about the silent ones, those of the same cell first.
    fn pick_query_targets(&mut self, silent: &[Incarnation]) -> Vec<Incarnation> {
        let links = self.links.open().iter().copied();
        let (same_cell, others): (Vec<_>, Vec<_>) = links
            .filter(|peer| !silent.contains(peer))
            .partition(|peer| {
                self.table
                    .get(*peer)
                    .is_some_and(|peer| self.is_same_cell(peer))
            });
        let mut chosen = same_cell.into_iter().sample(&mut self.rng, QUERY_FANOUT);
        let missing = QUERY_FANOUT - chosen.len();
        chosen.extend(others.into_iter().sample(&mut self.rng, missing));
        chosen
    }

    /// The mark that a member's silence calls for, if it is worse than the member's present one.
    fn assess(&self, now: Time, record: &Record) -> Option<FailureMark> {
        if self.is_mutated(Mutation::NeverSuspect) {
            return None;
        }
        let silence = now.since(record.heard);
        let settings = &self.settings;
        let mark = if self.is_same_cell(record) {
            let skip = self.is_mutated(Mutation::SuspectUnconfirmed);
            let confirmed = skip || self.is_confirmed(now, record);
            if silence >= settings.gone_after {
                FailureMark::Gone
            } else if silence >= settings.unconfirmed_after
                || (silence >= settings.suspect_after && confirmed)
            {
                FailureMark::Suspect
            } else {
                FailureMark::Fine
            }
        } else {
            let cell_silence = now.since(self.table.cell_heard(&record.identity.cell));
            if cell_silence >= settings.gone_after.max(settings.cell_timeout)
                || silence >= settings.forget_after
            {
                FailureMark::Gone
            } else if cell_silence >= settings.cell_timeout {
                FailureMark::Suspect
            } else {
                FailureMark::Fine
            }
        };
        (mark > record.mark).then_some(mark)
    }

    /// Whether a live VM of the same cell has recently reported that the member is silent.
    fn is_confirmed(&self, now: Time, record: &Record) -> bool {
        let min_silence = self.settings.suspect_after / 2;
        record.reports.iter().any(|(reporter, report)| {
            let age = Duration::from_millis(u64::from(report.age_ms));
            let reporter = self.table.get(*reporter);
            let alive = reporter.is_some_and(|reporter| {
                self.is_same_cell(reporter)
                    && now.since(reporter.heard) < self.settings.suspect_after
            });
            alive && now.since(report.at) < REPORT_LIFETIME && age >= min_silence
        })
    }
}
