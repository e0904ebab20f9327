//! The port to a deployment's protocol.
//!
//! An adapter knows the names and formats on the wire and decides nothing. Everything that it
//! reads comes out as types of ours.

use bytes::Bytes;
use core::{fmt, net::SocketAddr, time::Duration};
use http::{HeaderMap, Method, StatusCode};
use poplarswitch_entity::{EndpointName, VmName};
use poplarswitch_ingress::{Call, Config, EndpointEntry, EngineReport, VmEntry};
use poplarswitch_platform::WireRequest;

/// A head that is not a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeaderError {
    /// What is wrong, and where.
    pub reason: String,
}

impl fmt::Display for HeaderError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.reason)
    }
}

/// What an endpoint is told beside the caller's own words.
#[derive(Clone, Copy, Debug)]
pub struct ForwardMetadata<'a> {
    /// The endpoint that must answer.
    pub endpoint: &'a EndpointName,
    /// The caller's workspace.
    pub workspace: Option<&'a str>,
    /// Rank among calls, 0 first.
    pub priority: Option<u8>,
    /// How long the endpoint may work on it.
    pub time_left: Duration,
    /// Another endpoint from which to fetch what it keeps of the prompt.
    pub cache_source: Option<SocketAddr>,
    /// The last event that the caller has; the answer goes on after it.
    pub last_event_id: Option<&'a str>,
}

/// What an answer is about.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ResponseKind {
    /// The call.
    #[default]
    Answer,
    /// The endpoint says that it didn't run the call.
    NotRun,
    /// It comes from another process than the call was meant for.
    Displaced,
    /// It names another call.
    OtherCall,
}

/// What the head of an endpoint's answer says.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponseInfo {
    /// What it is about.
    pub kind: ResponseKind,
    /// It bears the endpoint's signature.
    pub signed: bool,
    /// Idle time after which the endpoint closes the connection.
    pub idle_timeout: Option<Duration>,
}

/// A question to this VM, other than a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Query {
    /// Whether it takes calls.
    Ready,
    /// Which addresses a caller should use.
    Addresses {
        /// Where the caller stands.
        data_centre: Option<String>,
    },
}

/// A call to the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlatformCall {
    /// Read the configuration.
    ReadSet,
    /// Wait for a configuration after a revision.
    WatchSet {
        /// The revision.
        after: u64,
        /// The longest wait.
        wait: Duration,
    },
    /// List the endpoints whose names follow one.
    ListEndpoints {
        /// The last name of the page before.
        after: Option<String>,
    },
    /// Wait for changes of endpoints after a revision.
    WatchEndpoints {
        /// The revision.
        after: u64,
        /// The longest wait.
        wait: Duration,
    },
    /// List the entry VMs.
    ListVms {
        /// Begins behind this name.
        after: Option<String>,
    },
    /// Create the entry of this VM.
    AddVm(VmEntry),
    /// Replace the entry of this VM.
    PutVm(VmEntry),
    /// Remove the entry of a VM, unless it was written since.
    RemoveVm {
        /// Its name.
        name: VmName,
        /// The revision that the entry must have.
        revision: u64,
    },
}

impl PlatformCall {
    /// The time that the platform may hold the call back.
    pub const fn wait(&self) -> Duration {
        match self {
            Self::WatchSet { wait, .. } | Self::WatchEndpoints { wait, .. } => *wait,
            _ => Duration::ZERO,
        }
    }

    /// A short name for logs.
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
        }
    }
}

/// What the platform answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlatformReply {
    /// The configuration as of a revision, if it changed or was read.
    Set {
        /// The configuration.
        declared: Option<Box<Config>>,
        /// The platform's revision.
        revision: u64,
    },
    /// Endpoints as of a revision.
    Endpoints {
        /// Those that are new, changed or listed.
        entries: Vec<EndpointEntry>,
        /// Those that are gone, or whose entries can't be used, and since which revision.
        removed: Vec<(EndpointName, u64)>,
        /// What was wrong with entries that can't be used.
        errors: Vec<String>,
        /// The name after which the next page begins.
        more: Option<String>,
        /// The platform's revision.
        revision: u64,
    },
    /// The entry VMs.
    Vms {
        /// Those of this page.
        vms: Vec<VmEntry>,
        /// The name after which the next page begins.
        more: Option<String>,
    },
    /// The history that a watch asked for is gone.
    HistoryGone,
    /// The write was done.
    Done,
    /// The write's condition didn't hold; nothing was done.
    Conflict,
    /// Nothing was done.
    Refused(StatusCode),
}

/// The protocol of a deployment.
pub trait Protocol: fmt::Debug + Send + Sync {
    /// Reads the head of a call.
    ///
    /// # Errors
    ///
    /// Names the header that can't be used.
    fn parse_call(&self, headers: &HeaderMap) -> Result<Call, HeaderError>;

    /// Takes out what callers may not tell endpoints.
    fn strip_headers(&self, headers: &mut HeaderMap);

    /// Adds what the endpoint is told.
    fn add_metadata(&self, headers: &mut HeaderMap, metadata: &ForwardMetadata<'_>);

    /// Reads the head of an endpoint's answer to a call.
    fn classify_response(
        &self,
        status: StatusCode,
        headers: &HeaderMap,
        call: &str,
    ) -> ResponseInfo;

    /// The path at which engines report how they stand.
    fn report_path(&self) -> &'static str;

    /// Reads an engine's report.
    ///
    /// # Errors
    ///
    /// Says what can't be read.
    fn parse_report(&self, body: &[u8]) -> Result<EngineReport, String>;

    /// Reads a question.
    fn parse_query(&self, method: &Method, path: &str, query: Option<&str>) -> Option<Query>;

    /// The answer to a question for addresses.
    fn encode_addresses(&self, addresses: &[SocketAddr], ttl: Duration) -> Bytes;

    /// Writes a call to the platform.
    fn encode_platform_call(&self, call: &PlatformCall) -> WireRequest;

    /// Reads the platform's answer.
    ///
    /// # Errors
    ///
    /// Says what can't be read.
    fn parse_platform_reply(
        &self,
        call: &PlatformCall,
        status: StatusCode,
        body: &[u8],
    ) -> Result<PlatformReply, String>;
}
