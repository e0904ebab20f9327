//! The relay between callers and endpoints.
//!
//! The relay is an asynchronous process on each entry VM. It accepts connections from callers,
//! keeps connections to endpoints, and maintains a view of the configuration, the endpoints and the
//! other VMs. All decisions are made by the `ingress` package; this package contains the sockets,
//! the timers, the logs and the metrics. The names and formats of a deployment's protocol are
//! behind the trait [`Protocol`].

mod activity;
mod attempt;
mod call_forwarder;
mod call_record;
mod classification;
mod client_stream;
mod clock;
mod duties;
mod duty_client;
mod duty_view;
mod endpoint_changes;
mod endpoint_checks;
mod events;
mod feed;
mod forwarded_stream;
mod forwarding;
mod framing;
mod handover;
mod heartbeats;
mod incarnations;
mod late_answers;
mod lease;
mod limits;
mod listeners;
mod logs;
mod memory;
mod metrics;
mod notices;
mod open_call;
mod origins;
mod placement;
mod platform_client;
mod platform_reader;
mod pool;
mod protocol;
mod quarantine;
mod queries;
mod rates;
mod reach;
mod registry;
mod reply;
mod request_body;
mod run;
mod scaling;
mod serve;
mod settings;
mod shared;
mod slots;
mod snapshot;
mod startup;
mod status;
mod stream;
mod tasks;
mod tcp;
mod trials;
mod usage;

#[cfg(test)]
mod activity_tests;
#[cfg(test)]
mod call_forwarder_tests;
#[cfg(test)]
mod events_tests;
#[cfg(test)]
mod logs_tests;
#[cfg(test)]
mod metrics_tests;
#[cfg(test)]
mod platform_client_tests;
#[cfg(test)]
mod pool_tests;
#[cfg(test)]
mod request_body_tests;
#[cfg(test)]
mod snapshot_tests;
#[cfg(test)]
mod status_tests;
#[cfg(test)]
mod tasks_tests;

pub use clock::now;
pub use logs::{LogWriter, init_logs};
pub use protocol::{
    DutyCall, DutyReply, ForwardMetadata, HeaderError, PlatformAnswer, PlatformCall, PlatformReply,
    Protocol, Query, RecordName, ResponseInfo, ResponseKind, SharedRecord,
};
pub use run::{StartError, run};
pub use settings::{Bounds, DutySettings, Listen, RelaySettings};
