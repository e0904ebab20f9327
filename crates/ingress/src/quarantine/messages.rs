//! What VMs tell each other about trials.

use super::Subject;
use serde::{Deserialize, Serialize};

/// The VM that grants trials, as seen by this VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TrialHome {
    /// This VM.
    Local,
    /// Another VM.
    Other,
    /// None: this VM can't tell, since it is in contact with half of the VMs or fewer.
    Nobody,
    /// None, and this VM is in contact with no other one. It grants itself the first trial of what it
    /// holds, since nobody else can; the others may have granted that one too, but no further ones.
    Alone,
}

/// Identifies a trial together with the VM that asked for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TrialId {
    /// Subject.
    pub subject: Subject,
    /// Number of the trial, by the VM that asked.
    pub serial: u32,
}

/// The service that a call goes to, as it bears on trials.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrialTarget {
    /// Hash of its name.
    pub service: u64,
    /// Number of its endpoints that are up, which limits the trials that run there at a time.
    pub endpoints: u16,
    /// Hash of the software version that all its endpoints run; 0 while they differ.
    pub version: u64,
}

/// Asks the home for a trial.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrialAsk {
    /// Number of the trial, by the VM that asks.
    pub serial: u32,
    /// Subject.
    pub subject: Subject,
    /// Time since the last crash before it was held, in milliseconds.
    pub since_ms: u32,
    /// Number of trials that count.
    pub trials: u8,
    /// Service that the call goes to.
    pub target: TrialTarget,
    /// Another held subject of the call, which the trial tries too.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub also: Option<HeldAge>,
}

/// A held subject as the VM knows it that asks for a trial.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldAge {
    /// Subject.
    pub subject: Subject,
    /// Time since the last crash before it was held, in milliseconds.
    pub since_ms: u32,
    /// Number of trials that count.
    pub trials: u8,
}

impl TrialAsk {
    /// Identifier of the trial that is asked for.
    pub const fn id(&self) -> TrialId {
        TrialId {
            subject: self.subject,
            serial: self.serial,
        }
    }
}

/// The home's decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TrialVerdict {
    /// The call may be sent as a trial.
    Granted,
    /// Another trial is running.
    Running,
    /// The next trial is due after this many milliseconds.
    Later(u32),
    /// The subject was answered well after it was held, this many milliseconds ago.
    Answered(u32),
}

/// Replies to a [`TrialAsk`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrialReply {
    /// Number of the trial that was asked for.
    pub serial: u32,
    /// Subject.
    pub subject: Subject,
    /// Decision.
    pub verdict: TrialVerdict,
}

/// End of a trial.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TrialOutcome {
    /// Its answer is complete, or has survived [`super::SURVIVAL_TIME`].
    Answered,
    /// Its endpoint crashed, or it failed in another way after it may have run.
    Cut,
    /// The trial was not sent.
    Unsent,
    /// The trial reached an endpoint that refused it, or lived when its connection broke.
    Undecided,
}

/// Tells the home how a trial ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrialEnded {
    /// Number of the trial, by the VM that asked.
    pub serial: u32,
    /// Subject.
    pub subject: Subject,
    /// Outcome.
    pub outcome: TrialOutcome,
}

/// A datagram between a VM and the home of a subject.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TrialMessage {
    /// Asks for a trial.
    TrialAsk(TrialAsk),
    /// Replies to that.
    TrialReply(TrialReply),
    /// Tells how a trial ended.
    TrialEnded(TrialEnded),
}
