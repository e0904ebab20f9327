//! Requests, and sections of prompts, that crash every endpoint that begins to run them.
//!
//! When an endpoint crashes, each VM reports the requests that it had open there, and the shared
//! sections of their prompts. What is sound is answered elsewhere, which clears the crashes before; what
//! crashes endpoints collects crashes and no answers, and is held: calls with it are kept back. Evidence
//! in both directions and holds are exchanged between all VMs.
//!
//! Sound calls are on endpoints that crash, too, so a hold is no verdict. One VM, the home, grants trials;
//! the first one at once. If the trial is answered, the subject is released on all VMs; if it is cut, the
//! next one is granted much later.

mod evidence;
mod exchange;
mod history;
mod holds;
mod messages;
mod records;
mod subject;
mod transit;
mod trials;

pub use messages::{
    HeldAge, TrialAsk, TrialEnded, TrialHome, TrialId, TrialMessage, TrialOutcome, TrialReply,
    TrialTarget, TrialVerdict,
};
pub use records::{
    AnswerRecord, CrashRecord, CutCall, HeldSubject, HoldChange, HoldRecord, Passage,
    QuarantineDigest, SubjectRecords,
};
pub use subject::{RequestId, RequestParts, Subject};
pub use transit::DigestTime;
pub use trials::{TRIAL_REPLY_TIMEOUT, TRIAL_WAIT};

use core::time::Duration;
use evidence::{ANSWER_TTL, Answered, Crash, PROMPT_DEPTH, Suspect};
use holds::{HOLD_IDLE_TTL, Hold};
use poplarswitch_entity::Time;
use std::collections::HashMap;
use transit::Transits;

/// Time after the beginning of an answer from which its subjects count as sound, also if the answer
/// is not complete; a subject that crashes endpoints does so when its answer begins.
pub const SURVIVAL_TIME: Duration = Duration::from_secs(1);
/// Interval at which expired evidence is removed.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);

/// The evidence on all subjects, and those that are held.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    suspects: HashMap<Subject, Suspect>,
    answered: HashMap<Subject, Answered>,
    held: HashMap<Subject, Hold>,
    /// Crashes of requests that answers have cleared lately.
    cleared: HashMap<Subject, Vec<Time>>,
    /// Rotates the holds over digests.
    digests: usize,
    /// Number of the last trial that this VM asked for.
    serial: u32,
    expired_at: Time,
    /// Identifies the process in its digests.
    process: Option<u32>,
    transits: Transits,
    /// Latest crash that this VM has learned of.
    last_crash: Time,
}

impl Quarantine {
    /// Records a call that was cut by a crash of its endpoint.
    pub fn record_crash(&mut self, now: Time, cut: &CutCall) -> Vec<HoldChange> {
        let CutCall {
            endpoint,
            at,
            begun,
            request,
            sections,
        } = cut;
        let crash = Crash {
            endpoint: *endpoint,
            at: *at,
            begun: *begun,
            explained: false,
            learned: now,
        };
        let request = request.map(Subject::Request);
        if let Some(request) = request {
            let depth = if sections.is_empty() { 0 } else { PROMPT_DEPTH };
            self.add_crash(request, depth, crash);
        }
        // A held request explains the crashes of its trials.
        if request.is_none_or(|request| !self.held.contains_key(&request)) {
            for (depth, section) in sections.iter().enumerate() {
                let depth = depth.min(usize::from(u8::MAX)) as u8;
                self.add_crash(Subject::Section(*section), depth, crash);
            }
        }
        self.hold_convicted(now)
    }

    /// Records that an answer that began at `began` is complete, or has survived [`SURVIVAL_TIME`].
    ///
    /// An answer clears the crashes of sections before it began. Those of requests it clears up to now:
    /// the request has run well beside them, and a short time decides between an answer and a crash.
    pub fn record_answer(
        &mut self,
        now: Time,
        began: Time,
        subjects: impl Iterator<Item = Subject>,
    ) -> Vec<HoldChange> {
        let clears_until = |subject| match subject {
            Subject::Section(_) => began,
            Subject::Request(_) => now,
        };
        subjects
            .filter_map(|subject| self.add_answer(now, subject, clears_until(subject)))
            .collect()
    }

    /// Removes what has expired, and holds subjects that have not been answered for a time after their
    /// crashes. To be called several times a second.
    pub fn expire(&mut self, now: Time) -> Vec<HoldChange> {
        let changes = self.hold_convicted(now);
        if now.since(self.expired_at) < EXPIRY_INTERVAL {
            return changes;
        }
        self.expired_at = now;
        self.transits.expire(now);
        self.expire_cleared(now);
        for (subject, suspect) in &mut self.suspects {
            let ttl = subject.crash_ttl();
            suspect.crashes.retain(|crash| now.since(crash.at) < ttl);
        }
        self.suspects
            .retain(|_, suspect| !suspect.crashes.is_empty());
        self.answered
            .retain(|_, answered| now.since(answered.began) < ANSWER_TTL);
        self.held
            .retain(|_, hold| now.since(hold.asked) < HOLD_IDLE_TTL);
        changes
    }

    /// Number of held subjects.
    pub fn held_count(&self) -> usize {
        self.held.len()
    }

    /// Number of subjects with crashes.
    pub fn suspect_count(&self) -> usize {
        self.suspects.len()
    }

    /// Number of subjects whose answers are kept.
    pub fn answered_count(&self) -> usize {
        self.answered.len()
    }
}
