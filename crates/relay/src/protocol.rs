//! Interface to the protocol of a deployment.
//!
//! An adapter implements [`Protocol`]. It converts between the names and formats on the wire and
//! the types of this project, and makes no decisions.

use bytes::Bytes;
use core::{fmt, net::SocketAddr, time::Duration};
use http::{HeaderMap, Method, StatusCode};
use poplarswitch_entity::{DataCentre, EndpointName, ServiceName, VmName, WorkspaceName};
use poplarswitch_ingress::{
    Call, Config, EndpointEntry, EndpointNotice, EngineReport, NamedLimit, Revision,
    ServiceVersion, VmEntry,
};
use poplarswitch_lease::Tenure;
use poplarswitch_platform::WireRequest;
use poplarswitch_scaling::EngineKind;
use std::collections::BTreeMap;

/// Error of a head that is not a valid call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeaderError {
    /// The invalid header and why it is invalid.
    pub reason: String,
}

impl fmt::Display for HeaderError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.reason)
    }
}

/// Metadata that the relay adds to a call for its endpoint.
#[derive(Clone, Copy, Debug)]
pub struct ForwardMetadata<'a> {
    /// Endpoint that must process the call; another process at its address must reject it.
    pub endpoint: &'a EndpointName,
    /// Workspace of the caller.
    pub workspace: Option<&'a str>,
    /// Priority of the call; 0 is the highest.
    pub priority: Option<u8>,
    /// Time within which the endpoint must complete the call.
    pub time_left: Duration,
    /// Address of another endpoint whose cache holds a part of the prompt.
    pub cache_source: Option<SocketAddr>,
    /// Identifier of the last event that the caller has; the response continues after it.
    pub last_event_id: Option<&'a str>,
}

/// Meaning of an endpoint's response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ResponseKind {
    /// A regular response to the call.
    #[default]
    Answer,
    /// The endpoint reports that it did not run the call.
    NotRun,
    /// Another process uses the endpoint's address; it did not run the call.
    Displaced,
    /// The response has the identifier of another call.
    OtherCall,
}

/// Information from the head of an endpoint's response.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResponseInfo {
    /// Meaning of the response.
    pub kind: ResponseKind,
    /// Whether the response has the endpoint's signature.
    pub signed: bool,
    /// Idle time after which the endpoint closes the connection, if it announces one.
    pub idle_timeout: Option<Duration>,
    /// The endpoint's limit on the rate of requests, as the response names it.
    pub limit: NamedLimit,
    /// Notice of the response about the endpoint itself.
    pub notice: EndpointNotice,
}

/// A request to this VM itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Query {
    /// Whether this VM accepts calls.
    Ready,
    /// Which addresses of VMs a caller should use.
    Addresses {
        /// Data centre of the caller.
        data_centre: Option<String>,
    },
}

/// A call to the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlatformCall {
    /// Read the configuration.
    ReadSet,
    /// Wait for a change of the configuration after a revision.
    WatchSet {
        /// The revision.
        after: Revision,
        /// Maximum wait.
        wait: Duration,
    },
    /// List a page of endpoints.
    ListEndpoints {
        /// Last name of the previous page; none for the first page.
        after: Option<String>,
    },
    /// Wait for changes of endpoints after a revision.
    WatchEndpoints {
        /// The revision.
        after: Revision,
        /// Maximum wait.
        wait: Duration,
    },
    /// List a page of entry VMs.
    ListVms {
        /// Last name of the previous page; none for the first page.
        after: Option<String>,
    },
    /// Create the entry of this VM.
    AddVm(VmEntry),
    /// Replace the entry of this VM.
    PutVm(VmEntry),
    /// Remove the entry of a VM, unless it has been written again.
    RemoveVm {
        /// Name of the VM.
        name: VmName,
        /// Revision that the entry must have. The platform compares the number only, so the caller
        /// compares the era.
        revision: Revision,
    },
    /// Read a record that VMs share.
    ReadRecord(RecordName),
    /// Replace a record that VMs share if it has a revision, or create it if there is none.
    WriteRecord {
        /// Name of the record.
        name: RecordName,
        /// Revision that the record must have; none if there must be no record. The platform compares
        /// the number only, so the caller compares the era.
        condition: Option<Revision>,
        /// New value, in JSON.
        value: Box<str>,
    },
}

/// A record that VMs share through the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RecordName {
    /// The lease of the duties.
    DutyLease,
    /// What is reported of a window of usage; a slot is used again by later windows.
    UsageReport {
        /// Number of the slot.
        slot: u8,
    },
}

impl PlatformCall {
    /// Time for which the platform may delay its reply.
    pub const fn wait(&self) -> Duration {
        match self {
            Self::WatchSet { wait, .. } | Self::WatchEndpoints { wait, .. } => *wait,
            _ => Duration::ZERO,
        }
    }

    /// Whether the call has the same effect if the platform executes it twice.
    pub const fn is_repeatable(&self) -> bool {
        match self {
            Self::ReadSet
            | Self::WatchSet { .. }
            | Self::ListEndpoints { .. }
            | Self::WatchEndpoints { .. }
            | Self::ListVms { .. }
            | Self::PutVm(_)
            | Self::ReadRecord(_) => true,
            Self::AddVm(_) | Self::RemoveVm { .. } | Self::WriteRecord { .. } => false,
        }
    }

    /// Name for logs.
    pub const fn name(&self) -> &'static str {
        match self {
            Self::ReadSet => "read_set",
            Self::WatchSet { .. } => "watch_set",
            Self::ListEndpoints { .. } => "list_endpoints",
            Self::WatchEndpoints { .. } => "watch_endpoints",
            Self::ListVms { .. } => "list_vms",
            Self::AddVm(_) => "add_vm",
            Self::PutVm(_) => "put_vm",
            Self::RemoveVm { .. } => "remove_vm",
            Self::ReadRecord(_) => "read_record",
            Self::WriteRecord { .. } => "write_record",
        }
    }
}

/// Reply of the platform, and its era.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlatformAnswer {
    /// Era of the platform: rises each time that it comes back from a copy; 0 if it names none.
    pub era: u64,
    /// The reply, whose revisions are of that era.
    pub reply: PlatformReply,
}

/// Reply of the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlatformReply {
    /// The configuration as of a revision.
    Set {
        /// The configuration; none if a watch has ended without a change.
        declared: Option<Box<Config>>,
        /// Revision of the platform.
        revision: Revision,
    },
    /// Endpoints as of a revision.
    Endpoints {
        /// Entries that are listed, new or changed.
        entries: Vec<EndpointEntry>,
        /// Names whose entries have been removed or are unusable, with the revision of that change.
        removed: Vec<(EndpointName, Revision)>,
        /// Versions in entries that were replaced or removed again within a reply to a watch.
        passed: Vec<ServiceVersion>,
        /// Errors of unusable entries.
        errors: Vec<String>,
        /// Last name of this page, if there is another page.
        more: Option<String>,
        /// Revision of the platform.
        revision: Revision,
    },
    /// A page of entry VMs.
    Vms {
        /// Entries of the page.
        vms: Vec<VmEntry>,
        /// Last name of this page, if there is another page.
        more: Option<String>,
    },
    /// The platform no longer has the changes since the revision of a watch.
    HistoryGone,
    /// The reply can't be read.
    Unreadable,
    /// A record as it is, which may not have met the condition of a write.
    Record(Option<SharedRecord>),
    /// The record has been written with this revision.
    Written(Revision),
    /// The write has been completed.
    Done,
    /// The condition of the write was not met; nothing was written.
    Conflict,
    /// The platform rejected the call with this status; nothing was written.
    Refused(StatusCode),
}

/// A record that VMs share, as read from the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SharedRecord {
    /// Revision of its last change.
    pub revision: Revision,
    /// Its value, in JSON.
    pub value: Box<str>,
}

/// A call that one VM at a time makes to the API of the deployment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DutyCall {
    /// Report the calls of each workspace that began to run in a window.
    Usage {
        /// Number of the window since the start of 1970.
        window: u64,
        /// Calls by workspace.
        counts: BTreeMap<WorkspaceName, u64>,
    },
    /// Order a number of engines.
    Scale {
        /// Service of the engines.
        service: ServiceName,
        /// Their data centre.
        data_centre: DataCentre,
        /// Their kind.
        kind: EngineKind,
        /// How many there should be.
        desired: u32,
    },
}

impl DutyCall {
    /// Name for logs.
    pub const fn name(&self) -> &'static str {
        match self {
            Self::Usage { .. } => "usage",
            Self::Scale { .. } => "scale",
        }
    }
}

/// Answer to a call that one VM at a time makes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DutyReply {
    /// The call has taken effect.
    Done,
    /// The API has seen a higher fencing token, or has none of the ordered engines.
    Conflict,
    /// The API accepts no more calls at the moment.
    Limited,
    /// The API has refused the call with this status.
    Refused(StatusCode),
}

/// Protocol of a deployment.
pub trait Protocol: fmt::Debug + Send + Sync {
    /// Parses the head of a call.
    ///
    /// # Errors
    ///
    /// Fails with the invalid header.
    fn parse_call(&self, headers: &HeaderMap) -> Result<Call, HeaderError>;

    /// Removes the headers that callers must not send to endpoints.
    fn strip_headers(&self, headers: &mut HeaderMap);

    /// Adds the metadata for the endpoint.
    fn add_metadata(&self, headers: &mut HeaderMap, metadata: &ForwardMetadata<'_>);

    /// Completes the headers of a call for another VM, which parses them as those of a caller: adds the
    /// caller's key and, for a stream that continues, the identifiers of its last event and, unless the
    /// headers name it, of its first attempt.
    fn prepare_forward(
        &self,
        headers: &mut HeaderMap,
        key: Option<&str>,
        resumed: Option<(&str, Option<&str>)>,
    );

    /// Interprets the head of an endpoint's response; `call` is the identifier of the call.
    fn classify_response(
        &self,
        status: StatusCode,
        headers: &HeaderMap,
        call: &str,
    ) -> ResponseInfo;

    /// Interprets what the head of any response of an endpoint says of the endpoint.
    fn parse_notice(&self, status: StatusCode, headers: &HeaderMap) -> EndpointNotice;

    /// Path at which engines report their load.
    fn report_path(&self) -> &'static str;

    /// Parses an engine's report.
    ///
    /// # Errors
    ///
    /// Fails with the reason if the report is invalid.
    fn parse_report(&self, body: &[u8]) -> Result<EngineReport, String>;

    /// Parses a request to this VM itself; none if it is not a known query.
    fn parse_query(&self, method: &Method, path: &str, query: Option<&str>) -> Option<Query>;

    /// Encodes the response to a query for addresses.
    fn encode_addresses(&self, addresses: &[SocketAddr], ttl: Duration) -> Bytes;

    /// Encodes a call to the platform.
    fn encode_platform_call(&self, call: &PlatformCall) -> WireRequest;

    /// Encodes a call that one VM at a time makes, and the headers that name its holder.
    fn encode_duty_call(
        &self,
        holder: &VmName,
        tenure: &Tenure,
        call: &DutyCall,
    ) -> (WireRequest, HeaderMap);

    /// Parses the platform's reply to a call.
    ///
    /// # Errors
    ///
    /// Fails with the reason if the reply is invalid.
    fn parse_platform_reply(
        &self,
        call: &PlatformCall,
        status: StatusCode,
        headers: &HeaderMap,
        body: &[u8],
    ) -> Result<PlatformAnswer, String>;
}
