//! What VMs tell each other and the platform about sections of prompts, and the decisions about calls.

use core::time::Duration;
use poplarswitch_entity::Time;
use serde::{Deserialize, Serialize};

/// A crash of an endpoint while a call with a section was on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashRecord(
    /// Section.
    pub u64,
    /// Hash of the endpoint's name.
    pub u32,
    /// Age in milliseconds.
    pub u32,
    /// Whether an answer had begun.
    pub bool,
    /// Position of the section in its prompt.
    pub u8,
);

/// An answer on a section that was written well.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerRecord(
    /// Section.
    pub u64,
    /// Time since the answer began, in milliseconds.
    pub u32,
);

/// A held section.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HoldRecord(
    /// Section.
    pub u64,
    /// Time since the last crash before it was held, in milliseconds.
    pub u32,
    /// Time since a call last asked for it, in milliseconds.
    pub u32,
    /// Number of trials.
    pub u8,
);

/// A held section in the platform, with times that outlive a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldSection {
    /// Section.
    pub section: u64,
    /// Last crash before it was held, in Unix milliseconds.
    pub since_ms: u64,
    /// When a call last asked for it, in Unix milliseconds.
    pub asked_ms: u64,
    /// Number of trials.
    pub trials: u8,
}

/// What a VM tells others about sections.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineDigest {
    /// Crashes that this VM has learned of recently.
    pub crashes: Vec<CrashRecord>,
    /// Answers that clear crashes.
    pub answers: Vec<AnswerRecord>,
    /// Held sections.
    pub holds: Vec<HoldRecord>,
}

impl QuarantineDigest {
    /// Whether there is nothing to tell.
    pub const fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.answers.is_empty() && self.holds.is_empty()
    }
}

/// A call's connection that was cut by a crash of its endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CutCall {
    /// Hash of the endpoint's name.
    pub endpoint: u32,
    /// When it was cut.
    pub at: Time,
    /// Whether its answer had begun.
    pub begun: bool,
    /// Its sections that other calls may share, in order.
    pub sections: Vec<u64>,
}

/// A change of the set of held sections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HoldChange {
    /// The section is held from now on.
    Held {
        /// Section.
        section: u64,
        /// Crashes that count.
        crashes: usize,
        /// Whether another VM decided this.
        remote: bool,
    },
    /// The section is not held any more.
    Released {
        /// Section.
        section: u64,
    },
}

/// Whether a call may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Passage {
    /// None of its sections is held.
    Free,
    /// It is the trial of a held section.
    Trial(u64),
    /// A section is held.
    Held {
        /// Section.
        section: u64,
        /// Time until its next trial.
        retry_after: Duration,
    },
}
