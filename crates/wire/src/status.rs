//! Status of a VM, as operators read it.

use core::net::SocketAddr;
use poplarswitch_entity::{
    CellName, ClassName, DataCentre, EndpointName, FencingNumber, Generation, Incarnation, VmName,
};
use serde::{Deserialize, Serialize};

/// Phase of a process from start to exit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// The process has no set of objects yet.
    Starting,
    /// The process accepts calls.
    Serving,
    /// The process is shutting down and finishes the calls in flight.
    Draining,
    /// The process has finished its calls.
    Drained,
}

/// Whether the platform is reachable.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlatformStatus {
    /// No platform is configured.
    Unset,
    /// The last request to the platform succeeded.
    Up,
    /// The last request to the platform failed.
    Down,
}

/// Counts of the calls of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallCounts {
    /// Calls that are queued or running now.
    pub open: u64,
    /// Calls that are running at endpoints now.
    pub running: u64,
    /// Calls received since the start.
    pub received: u64,
    /// Calls with a complete answer.
    pub answered: u64,
    /// Calls refused without having run.
    pub refused: u64,
    /// Calls that ran and failed.
    pub failed: u64,
    /// Calls that may have run.
    pub in_doubt: u64,
    /// Calls whose caller disconnected.
    pub cancelled: u64,
}

/// Open calls of one class in this process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClassStatus {
    /// Name of the class.
    pub class: ClassName,
    /// Queued calls.
    pub waiting: u64,
    /// Running calls.
    pub running: u64,
}

/// Whether an endpoint is reachable.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndpointState {
    /// The last report or call was answered.
    Up,
    /// The last report or call could not be completed.
    Down,
    /// The endpoint has not been contacted yet.
    Unknown,
}

/// Status of an endpoint, as this process knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointStatus {
    /// Name of the endpoint.
    pub endpoint: EndpointName,
    /// Whether the endpoint is reachable.
    pub state: EndpointState,
    /// Calls of this process that are running at the endpoint.
    pub running: u64,
    /// Calls in the endpoint's batch according to its own report.
    pub reported: Option<u32>,
}

/// Status of another VM, as this process knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Name of the VM.
    pub vm: VmName,
    /// Incarnation of the VM's process.
    pub incarnation: Incarnation,
    /// Membership state of the VM.
    pub state: String,
    /// Address of the VM's port for callers.
    pub callers: Option<SocketAddr>,
}

/// Status of a process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Name of the VM.
    pub vm: VmName,
    /// Data centre of the VM.
    pub data_centre: DataCentre,
    /// Cell of the VM: the group of VMs that share schedulers.
    pub cell: CellName,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// Version of the program.
    pub program: String,
    /// Phase of the process.
    pub phase: Phase,
    /// Generation of the set in force.
    pub generation: Generation,
    /// Microseconds since the process started.
    pub uptime_us: u64,
    /// Whether the platform is reachable.
    pub platform: PlatformStatus,
    /// Fencing number of the lease for orders to engines, if this VM holds the lease.
    #[serde(default)]
    pub lease: Option<FencingNumber>,
    /// Counts of the calls.
    pub calls: CallCounts,
    /// Open calls by class.
    pub classes: Vec<ClassStatus>,
    /// Status of the endpoints.
    pub endpoints: Vec<EndpointStatus>,
    /// Status of the other VMs.
    pub members: Vec<MemberStatus>,
}
