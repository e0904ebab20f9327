//! What a pool tells of itself.

/// Events since the start, for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Frames sent to other VMs.
    pub sent: u64,
    /// Frames sent again for want of an acknowledgement.
    pub resent: u64,
    /// Messages received from other VMs.
    pub received: u64,
    /// Answers to an ask that was no longer the call's latest.
    pub stale: u64,
    /// Calls handed from one home to another, or to the local scheduler.
    pub moved: u64,
    /// Times that a home was suspected.
    pub suspected: u64,
    /// Sessions that had to be opened anew.
    pub resets: u64,
    /// Sessions of silent origins that were closed.
    pub expired: u64,
}

/// The present state, for a status page.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Status {
    /// Calls whose caller this VM holds.
    pub local: usize,
    /// Own calls that the scheduler of another VM orders.
    pub remote: usize,
    /// Own calls that the local scheduler orders though another VM is their home.
    pub fallback: usize,
    /// Calls of other VMs that the local scheduler orders.
    pub foreign: usize,
    /// Calls that wait in the local scheduler.
    pub queued: usize,
    /// Calls that the local scheduler counts as running.
    pub in_flight: usize,
    /// Other VMs that may be homes.
    pub peers: usize,
    /// Other VMs that did not answer in time.
    pub suspects: usize,
}
