//! Counters and status of a pool.

/// Counts of events since the start of the process, for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Frames sent to other VMs.
    pub sent: u64,
    /// Retransmissions after a time-out without an acknowledgement.
    pub resent: u64,
    /// Messages received from other VMs.
    pub received: u64,
    /// Outputs of a home that were dropped because the call had ended, had another home or epoch,
    /// or was in a phase that the output does not fit.
    pub stale: u64,
    /// Moves of a call from one home to another, this VM included.
    pub moved: u64,
    /// Times that a home was suspected because it did not reply in time.
    pub suspected: u64,
    /// Sessions that were lost and replaced by a new one.
    pub resets: u64,
    /// Sessions of origins that ended, by expiry of the lease or by a new session.
    pub expired: u64,
}

/// The current state, for a status page.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Status {
    /// Calls whose caller is connected to this VM.
    pub local: usize,
    /// Local calls whose home is another VM.
    pub remote: usize,
    /// Local calls that this VM schedules itself although another VM ranks first for their route.
    pub fallback: usize,
    /// Calls of other VMs that the local scheduler decides on.
    pub foreign: usize,
    /// Calls that are queued in the local scheduler.
    pub queued: usize,
    /// Calls that the local scheduler counts as running.
    pub in_flight: usize,
    /// Other VMs that may be homes.
    pub peers: usize,
    /// Other VMs that are suspected because they did not reply in time.
    pub suspects: usize,
}
