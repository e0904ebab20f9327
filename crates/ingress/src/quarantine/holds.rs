//! Held sections of prompts: which calls they keep back, when one is sent as a trial, and which sections
//! are held next.

use super::{HoldChange, Passage, Quarantine, evidence::UNKNOWN_SPAN};
use core::time::Duration;
use poplarswitch_entity::Time;

/// Time after which the first call with a held section is sent as a trial.
const FIRST_TRIAL: Duration = Duration::from_secs(30);
/// Factor between the times of successive trials.
const TRIAL_FACTOR: u32 = 4;
/// Maximum number of trials that increase the time until the next one.
const MAX_TRIAL_EXPONENT: u8 = 6;
/// Maximum number of sections that are held.
const MAX_HELD: usize = 256;
/// Time after which a held section that no call has asked for is forgotten.
pub(super) const HOLD_IDLE_TTL: Duration = Duration::from_mins(30);

#[derive(Clone, Copy, Debug)]
pub(super) struct Hold {
    /// Last crash before it was held; an answer that began later releases it.
    pub(super) since: Time,
    pub(super) asked: Time,
    pub(super) trials: u8,
}

impl Hold {
    pub(super) fn next_trial(&self) -> Time {
        self.since + FIRST_TRIAL * TRIAL_FACTOR.pow(u32::from(self.trials.min(MAX_TRIAL_EXPONENT)))
    }
}

impl Quarantine {
    /// Decides whether a call with the given shared sections may be sent. `is_home` tells whether
    /// this VM sends the trials of a section.
    pub fn check(
        &mut self,
        now: Time,
        sections: impl Iterator<Item = u64>,
        is_home: impl Fn(u64) -> bool,
    ) -> Passage {
        if self.held.is_empty() {
            return Passage::Free;
        }
        let mut passage = Passage::Free;
        for section in sections {
            let Some(hold) = self.held.get_mut(&section) else {
                continue;
            };
            hold.asked = now;
            let next_trial = hold.next_trial();
            if now < next_trial || !is_home(section) || passage != Passage::Free {
                let retry_after = next_trial.since(now).max(UNKNOWN_SPAN);
                return Passage::Held {
                    section,
                    retry_after,
                };
            }
            passage = Passage::Trial(section);
        }
        if let Passage::Trial(section) = passage
            && let Some(hold) = self.held.get_mut(&section)
        {
            hold.trials = hold.trials.saturating_add(1);
        }
        passage
    }

    /// Whether a section of a call is held, without counting the call.
    pub fn is_held(&self, mut sections: impl Iterator<Item = u64>) -> Option<u64> {
        sections.find(|section| self.held.contains_key(section))
    }

    /// Adds a section that another VM holds.
    pub(super) fn add_hold(&mut self, now: Time, section: u64, hold: Hold) -> Option<HoldChange> {
        let convicted = self
            .suspects
            .get(&section)
            .is_some_and(|suspect| self.is_convicted(section, suspect));
        if let Some(answered) = self.answered.get_mut(&section)
            && (answered.began > hold.since || !convicted)
        {
            // The other VM has not heard of the answer.
            answered.news = Some(now);
            return None;
        }
        if now.since(hold.asked) >= HOLD_IDLE_TTL {
            return None;
        }
        if let Some(known) = self.held.get_mut(&section) {
            known.since = known.since.min(hold.since);
            known.asked = known.asked.max(hold.asked);
            known.trials = known.trials.max(hold.trials);
            return None;
        }
        if self.held.len() >= MAX_HELD {
            return None;
        }
        self.held.insert(section, hold);
        self.mark_explained(section);
        let crashes = self.suspects.get(&section);
        Some(HoldChange::Held {
            section,
            crashes: crashes.map_or(0, |suspect| suspect.crashes.len()),
            remote: true,
        })
    }

    /// Holds the sections whose evidence suffices, one at a time: each one explains crashes.
    pub(super) fn hold_convicted(&mut self, now: Time) -> Vec<HoldChange> {
        let mut changes = Vec::new();
        while self.held.len() < MAX_HELD {
            let convicted = self
                .suspects
                .iter()
                .filter(|(section, suspect)| {
                    !self.held.contains_key(section) && self.is_convicted(**section, suspect)
                })
                .max_by_key(|(section, suspect)| {
                    let unanswered = !self.answered.contains_key(section);
                    (unanswered, suspect.weight(), suspect.depth, **section)
                });
            let Some((&section, suspect)) = convicted else {
                break;
            };
            let crashes = suspect.crashes.len();
            let hold = Hold {
                since: suspect.crashes.last().map_or(now, |crash| crash.at),
                asked: now,
                trials: 0,
            };
            self.held.insert(section, hold);
            self.mark_explained(section);
            changes.push(HoldChange::Held {
                section,
                crashes,
                remote: false,
            });
        }
        changes
    }
}
