//! When a silent member is suspected, and when it counts as dead.
//!
//! In the own cell one silent observer is not enough: another VM that is itself heard has to
//! confirm, and only an observer that nobody answers decides alone, later. Members of other
//! cells are judged by their own cell; they are suspected from afar only if their whole cell
//! is silent.

use crate::{Core, FailureMark, MembersMessage, Mutation, Output, State, table::Record};
use core::time::Duration;
use poplarswitch_entity::{Incarnation, Time};
use rand::seq::IteratorRandom as _;

/// Rounds for which a change is passed on.
pub(crate) const GOSSIP_ROUNDS: u8 = 6;
/// Peers that are asked about silent members at once.
const QUERY_FANOUT: usize = 3;
/// Age of a witness's answer from which it no longer counts.
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

    /// Marks a member at once whose silence is already long enough.
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

    /// Notes that something came over the link to a member.
    pub(crate) fn note_activity(&mut self, now: Time, peer: Incarnation) {
        if let Some(record) = self.table.get_mut(peer) {
            record.link_heard = now;
        }
    }

    /// Closes links that nothing comes over, so that nothing is forwarded over them.
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

    /// Some linked members that may have heard the silent ones, of the own cell if there are.
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

    /// The mark that a silent member gets now, if it is worse than the one it has.
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

    /// Whether another VM of the cell, heard of late, has not heard this member either.
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
