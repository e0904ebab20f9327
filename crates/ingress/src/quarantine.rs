//! Sections of prompts that crash every engine that begins an answer on them.
//!
//! When an engine crashes, each VM reports the shared sections of the calls that it had on that
//! engine and that had not run for long. Sound sections are answered elsewhere, which clears the
//! crashes before; a section that crashes engines collects crashes and no answers, and is held: calls
//! with it are refused before they reach an engine. Evidence in both directions and held sections are
//! exchanged between all VMs.
//!
//! A popular section is on many engines when these crash of a common cause. Therefore crashes at
//! about the same time count once, a section that was answered not long before needs more evidence,
//! and crashes that a held section explains count less against others.
//!
//! From time to time, one VM sends a call with a held section as a trial; if it is answered, the
//! section is released on all VMs.

mod evidence;
mod exchange;
mod holds;
mod records;

pub use records::{
    AnswerRecord, CrashRecord, CutCall, HeldSection, HoldChange, HoldRecord, Passage,
    QuarantineDigest,
};

use core::time::Duration;
use evidence::{ANSWER_TTL, Answered, Crash, Suspect};
use holds::{HOLD_IDLE_TTL, Hold};
use poplarswitch_entity::Time;
use std::collections::HashMap;

/// Time after the beginning of an answer from which its sections count as sound, also if the answer
/// is not complete; a section that crashes engines does so when its answer begins.
pub const SURVIVAL_TIME: Duration = Duration::from_secs(1);
/// Time for which a crash counts.
const CRASH_TTL: Duration = Duration::from_mins(2);
/// Interval at which expired evidence is removed.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);

/// The evidence on all sections, and the sections that are held.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    suspects: HashMap<u64, Suspect>,
    answered: HashMap<u64, Answered>,
    held: HashMap<u64, Hold>,
    /// Rotates the held sections over digests.
    digests: usize,
    expired_at: Time,
}

impl Quarantine {
    /// Records a call that was cut by a crash of its endpoint.
    pub fn record_crash(&mut self, now: Time, cut: &CutCall) -> Vec<HoldChange> {
        for (depth, section) in cut.sections.iter().enumerate() {
            let crash = Crash {
                endpoint: cut.endpoint,
                at: cut.at,
                begun: cut.begun,
                explained: false,
                learned: now,
            };
            self.add_crash(*section, depth.min(usize::from(u8::MAX)) as u8, crash);
        }
        self.hold_convicted(now)
    }

    /// Records that an answer that began at `began` was written well on all its sections.
    pub fn record_answer(
        &mut self,
        now: Time,
        began: Time,
        sections: impl Iterator<Item = u64>,
    ) -> Vec<HoldChange> {
        sections
            .filter_map(|section| self.add_answer(now, section, began))
            .collect()
    }

    /// Removes what has expired; does nothing if called again soon.
    pub fn expire(&mut self, now: Time) {
        if now.since(self.expired_at) < EXPIRY_INTERVAL {
            return;
        }
        self.expired_at = now;
        for suspect in self.suspects.values_mut() {
            suspect
                .crashes
                .retain(|crash| now.since(crash.at) < CRASH_TTL);
        }
        self.suspects
            .retain(|_, suspect| !suspect.crashes.is_empty());
        self.answered
            .retain(|_, answered| now.since(answered.began) < ANSWER_TTL);
        self.held
            .retain(|_, hold| now.since(hold.asked) < HOLD_IDLE_TTL);
    }

    /// Number of held sections.
    pub fn held_count(&self) -> usize {
        self.held.len()
    }
}
