//! What VMs tell each other and the platform about subjects, and the decisions about calls.
//!
//! Records of sections have the form that VMs of earlier versions read; those of requests are in a
//! field of their own, which such VMs pass over.

use super::{DigestTime, RequestId, Subject, TrialAsk, TrialId};
use core::time::Duration;
use poplarswitch_entity::Time;
use serde::{Deserialize, Serialize};

/// A crash of an endpoint while a call with a subject was on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashRecord(
    /// Section or request.
    pub u64,
    /// Hash of the endpoint's name.
    pub u32,
    /// Age in milliseconds.
    pub u32,
    /// Whether an answer had begun.
    pub bool,
    /// Position of the section in its prompt; of a request, 1 if it has a prompt and 0 if not.
    pub u8,
);

/// An answer on a subject that was written well.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerRecord(
    /// Section or request.
    pub u64,
    /// Time since the answer began, in milliseconds.
    pub u32,
);

/// A held subject.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HoldRecord(
    /// Section or request.
    pub u64,
    /// Time since the last crash before it was held, in milliseconds.
    pub u32,
    /// Time since a call last asked for it, in milliseconds.
    pub u32,
    /// Number of trials that count.
    pub u8,
);

/// A held subject in the platform, with times that outlive a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldSubject {
    /// Section or request.
    pub subject: Subject,
    /// Last crash before it was held, in Unix milliseconds.
    pub since_ms: u64,
    /// When a call last asked for it, in Unix milliseconds.
    pub asked_ms: u64,
    /// Number of trials that count.
    pub trials: u8,
}

/// A VM's news about the subjects of one kind.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubjectRecords {
    /// Crashes that this VM has learned of recently.
    pub crashes: Vec<CrashRecord>,
    /// Answers that clear crashes.
    pub answers: Vec<AnswerRecord>,
    /// Held subjects.
    pub holds: Vec<HoldRecord>,
}

impl SubjectRecords {
    /// Whether there is nothing to tell.
    pub const fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.answers.is_empty() && self.holds.is_empty()
    }
}

/// A VM's news about subjects; the first three fields are of sections.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineDigest {
    /// Crashes that this VM has learned of recently.
    pub crashes: Vec<CrashRecord>,
    /// Answers that clear crashes.
    pub answers: Vec<AnswerRecord>,
    /// Held sections.
    pub holds: Vec<HoldRecord>,
    /// The same of requests.
    #[serde(default, skip_serializing_if = "SubjectRecords::is_empty")]
    pub requests: SubjectRecords,
    /// When the digest was written; VMs of earlier versions don't tell.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub sent: Option<DigestTime>,
}

impl QuarantineDigest {
    /// Whether there is nothing to tell.
    pub const fn is_empty(&self) -> bool {
        self.crashes.is_empty()
            && self.answers.is_empty()
            && self.holds.is_empty()
            && self.requests.is_empty()
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
    /// The request; none if it isn't to be tracked.
    pub request: Option<RequestId>,
    /// Its sections that other calls may share, in order.
    pub sections: Vec<u64>,
}

/// A change of the set of held subjects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HoldChange {
    /// The subject is held from now on.
    Held {
        /// Subject.
        subject: Subject,
        /// Crashes that count.
        crashes: usize,
        /// Whether another VM decided this.
        remote: bool,
    },
    /// The subject is not held any more.
    Released {
        /// Subject.
        subject: Subject,
    },
}

/// Whether a call may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Passage {
    /// None of its subjects is held.
    Free,
    /// The call is the trial of a held subject; its end is to be told with this identifier.
    Trial(TrialId),
    /// The home decides.
    Ask(TrialAsk),
    /// A trial is running, or its grant is awaited. The call is to ask again when the subject is
    /// released, and then at the latest; it is refused [`super::TRIAL_WAIT`] after its first wait.
    Wait {
        /// Subject.
        subject: Subject,
        /// When to ask again.
        until: Time,
    },
    /// A subject is held.
    Held {
        /// Subject.
        subject: Subject,
        /// Time until its next trial.
        retry_after: Duration,
    },
}
