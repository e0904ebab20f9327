//! What operators read of one VM.

use core::net::SocketAddr;
use poplarswitch_entity::{
    CellName, ClassName, DataCentre, EndpointName, FencingNumber, Generation, Incarnation, VmName,
};
use serde::{Deserialize, Serialize};

/// Where a process is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// It has no set of objects yet.
    Starting,
    /// It takes calls.
    Serving,
    /// It finishes the calls in flight.
    Draining,
    /// It has finished.
    Drained,
}

/// Whether the platform answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlatformStatus {
    /// None is set.
    Unset,
    /// Its last answer was good.
    Up,
    /// Its last request failed.
    Down,
}

/// Calls of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallCounts {
    /// Calls that wait or run now.
    pub open: u64,
    /// Calls that run at endpoints now.
    pub running: u64,
    /// Calls that came.
    pub received: u64,
    /// Calls with a whole answer.
    pub answered: u64,
    /// Calls refused without being run.
    pub refused: u64,
    /// Calls that ran and failed.
    pub failed: u64,
    /// Calls that may have run.
    pub in_doubt: u64,
    /// Calls whose caller left.
    pub cancelled: u64,
}

/// Calls of one class that this process holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClassStatus {
    /// The class.
    pub class: ClassName,
    /// Calls that wait.
    pub waiting: u64,
    /// Calls that run.
    pub running: u64,
}

/// Whether an endpoint answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndpointState {
    /// Its last answer was good.
    Up,
    /// Its last report or call failed.
    Down,
    /// It has not been asked.
    Unknown,
}

/// An endpoint as this process sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointStatus {
    /// The endpoint.
    pub endpoint: EndpointName,
    /// Whether it answers.
    pub state: EndpointState,
    /// Calls of this process that run there.
    pub running: u64,
    /// Calls in its batch by its own report.
    pub reported: Option<u32>,
}

/// Another VM as this process sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// The VM.
    pub vm: VmName,
    /// Its life.
    pub incarnation: Incarnation,
    /// Its state.
    pub state: String,
    /// Its port for callers.
    pub callers: Option<SocketAddr>,
}

/// The state of one process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The VM.
    pub vm: VmName,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// The group of VMs that share schedulers.
    pub cell: CellName,
    /// The life of the process.
    pub incarnation: Incarnation,
    /// The program's version.
    pub program: String,
    /// Where it is in its life.
    pub phase: Phase,
    /// The set in force.
    pub generation: Generation,
    /// Microseconds since its start.
    pub uptime_us: u64,
    /// The platform.
    pub platform: PlatformStatus,
    /// The fencing number of its lease for orders to engines, if it holds the lease.
    #[serde(default)]
    pub lease: Option<FencingNumber>,
    /// Its calls.
    pub calls: CallCounts,
    /// Its calls by class.
    pub classes: Vec<ClassStatus>,
    /// The endpoints.
    pub endpoints: Vec<EndpointStatus>,
    /// The other VMs.
    pub members: Vec<MemberStatus>,
}
