//! Decision logic of the relay on an entry VM, without I/O.
//!
//! The relay forwards calls from callers to endpoints. It runs on VMs without a disk, with little
//! memory and a fraction of a core. Each module takes the current time and an input and returns
//! what to do, so that its response to load and failures can be tested without sockets or timers.
//! Sockets, timers and wire names belong to the `relay` package and to the deployment's adapter.

mod admission;
mod body_end;
mod brittle;
mod budget;
mod call;
mod config;
mod endpoints;
mod engine;
mod entry;
mod entry_writes;
mod feed;
mod former;
mod freshness;
mod groups;
mod hash;
mod health;
mod helpers;
mod identity;
mod kept_streams;
mod lapses;
mod limits;
mod listing;
mod membership;
mod memory;
mod notices;
mod only_version;
mod outage;
mod outcome;
mod packed;
mod placement;
mod quarantine;
mod reach;
mod removals;
mod report_checks;
mod revision;
mod run_times;
mod service_work;
mod shutdown;
mod slots;
mod stale_vms;
mod startup;
mod streams;
mod table;
mod version_history;
mod version_pin;

#[cfg(test)]
mod admission_tests;
#[cfg(test)]
mod body_end_tests;
#[cfg(test)]
mod brittle_tests;
#[cfg(test)]
mod budget_tests;
#[cfg(test)]
mod endpoint_views_tests;
#[cfg(test)]
pub(crate) mod endpoints_tests;
#[cfg(test)]
mod engine_tests;
#[cfg(test)]
mod entry_fuzz_tests;
#[cfg(test)]
mod entry_writes_tests;
#[cfg(test)]
mod feed_tests;
#[cfg(test)]
mod freshness_tests;
#[cfg(test)]
mod groups_tests;
#[cfg(test)]
mod health_tests;
#[cfg(test)]
mod helpers_tests;
#[cfg(test)]
mod identity_tests;
#[cfg(test)]
mod kept_streams_tests;
#[cfg(test)]
mod limits_tests;
#[cfg(test)]
mod listing_tests;
#[cfg(test)]
mod membership_tests;
#[cfg(test)]
mod memory_tests;
#[cfg(test)]
mod notices_tests;
#[cfg(test)]
mod outage_tests;
#[cfg(test)]
mod outcome_tests;
#[cfg(test)]
mod packed_tests;
#[cfg(test)]
mod placement_tests;
#[cfg(test)]
mod quarantine_sim_tests;
#[cfg(test)]
mod quarantine_tests;
#[cfg(test)]
mod quarantine_trials_tests;
#[cfg(test)]
mod reach_tests;
#[cfg(test)]
mod report_checks_tests;
#[cfg(test)]
mod run_times_tests;
#[cfg(test)]
mod service_work_tests;
#[cfg(test)]
mod shutdown_tests;
#[cfg(test)]
mod stale_vms_tests;
#[cfg(test)]
mod startup_tests;
#[cfg(test)]
mod streams_tests;
#[cfg(test)]
mod table_tests;
#[cfg(test)]
mod version_history_tests;
#[cfg(test)]
mod version_pin_tests;

pub use admission::AdmissionControl;
pub use body_end::{EndedBody, EventScanner, Framing};
pub use brittle::{BoundRecord, BoundSource, RejectionBound};
pub use budget::{RetryBudget, RetryLimit};
pub use call::{Call, Continuation, Prompt, PromptSection};
pub use config::{
    Config, EngineSpec, Limits, RouteKind, RouteSpec, ServiceSpec, Target, WorkspaceSpec,
};
pub use endpoints::{Endpoint, EndpointChange, EndpointKey, EndpointTable, Transition};
pub use engine::{CallAverages, EngineLoad, EngineReport, StepTime};
pub use entry::{
    EndpointEntry, EndpointState, EntryChanges, LAPSE_GRACE, LocalRemoval, Removal, SoftwareVersion,
};
pub use entry_writes::EntrySchedule;
pub use feed::{
    BODY_SILENCE_LIMIT, Cursor, FEED_WAIT, FeedReply, FeedRequest, REPLY_MARGIN, Source,
    SourceSelector,
};
pub use freshness::Freshness;
pub use groups::{DECAY_TIME as DEMAND_DECAY_TIME, Demand, EndpointGroup, GroupSplit};
pub use hash::{hash_pair, hash_text, short_hash};
pub use health::Health;
pub use helpers::{Helpers, PeerReport};
pub use kept_streams::{KeptStreams, stream_keepers};
pub use limits::{
    Denial, LimitChange, LimitId, LimitMessage, LimitRecord, LimitShare, NamedLimit, Permit,
    RateLimits, TokenReply, TokenRequest,
};
pub use listing::{ListingSchedule, ListingView};
pub use membership::{EngineWork, Heartbeat, Member, MemberRecord, Membership, Phase, WideWork};
pub use memory::{COVERED_BYTES, MemoryAccount, MemoryDecision, MemoryTicket};
pub use notices::{EndpointNotice, NamedPause, Pause};
pub use only_version::{NoVersion, VersionView};
pub use outage::{MIN_OUTAGE, OutageTracker, ServedAges};
pub use outcome::{
    AttemptCounts, NextStep, Obstacle, Outcome, Verdict, longest_report_wait, next_step, obstacle,
    verdict,
};
pub use packed::{Packed, UnpackError};
pub use placement::{GroupLoad, Placement, PlacementDecision, PlacementReason, PlacementRequest};
pub use poplarswitch_rates::{GapRecorder, RateRecord, Rates};
pub use poplarswitch_room::StartLimits;
pub use quarantine::{
    AnswerRecord, CrashRecord, CutCall, DigestTime, HeldAge, HeldSubject, HoldChange, HoldRecord,
    Passage, Quarantine, QuarantineDigest, RequestId, RequestParts, SURVIVAL_TIME, Subject,
    SubjectRecords, TRIAL_REPLY_TIMEOUT, TRIAL_WAIT, TrialAsk, TrialEnded, TrialHome, TrialId,
    TrialMessage, TrialOutcome, TrialReply, TrialTarget, TrialVerdict,
};
pub use reach::{Reach, Reachability};
pub use report_checks::{CheckState, ReportChecks};
pub use revision::Revision;
pub use run_times::RunTimes;
pub use service_work::{ServiceDemand, ServiceWork, service_part};
pub use shutdown::{ExpectedTimes, Shutdown, ShutdownStage};
pub use slots::{
    MAX_SLOT_RECORDS, SlotDecision, SlotFleet, SlotGrant, SlotMessage, SlotOutbox, SlotRequest,
};
pub use stale_vms::{StaleVmDetector, VmEntry};
pub use startup::{PeerState, StartupCheck};
pub use streams::{
    KeptVersion, StreamId, StreamMessage, StreamOrigin, StreamOrigins, asked_vms, copy_holders,
    lacks_versions,
};
pub use table::{Access, Route, RoutingTable, Workspace};
pub use version_history::{SentHistory, ServiceVersion, ToldVersions, ViewEnd};
pub use version_pin::{Incarnation, VersionPin};
