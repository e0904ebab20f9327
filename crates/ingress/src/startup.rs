//! When a VM that has just started may serve with what it has read.
//!
//! The platform may have come back from a copy, and hold an older configuration than live VMs. A VM
//! that starts therefore asks the other VMs that it knows, in any data centre, for a newer one. It
//! serves once a VM that serves has answered, or once none of the asked ones can tell: they have just
//! started themselves, or were not reached. In a large fleet, it asks a few.

use crate::hash::hash_pair;
use core::net::Ipv4Addr;
use std::collections::BTreeMap;

/// Number of other VMs up to which all of them are asked.
const SMALL_FLEET: usize = 12;
/// Number of VMs that are asked in a larger fleet.
const ASKED_COUNT: usize = 8;

/// What has been learned of another VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerState {
    /// It serves; its configuration has been taken in if it is newer.
    Serving,
    /// It has just started itself.
    Starting,
    /// It has not answered.
    Unreached,
}

/// Check of a VM that has just started whether others have a newer configuration.
#[derive(Clone, Debug, Default)]
pub struct StartupCheck {
    /// The asked VMs; none for those that have not answered yet.
    asked: BTreeMap<Ipv4Addr, Option<PeerState>>,
    is_done: bool,
}

impl StartupCheck {
    /// Returns the VMs to ask now, of the other VMs that are `known`. Ends the check if there are none
    /// and no answer is awaited, unless more VMs may become known.
    pub fn next_asked(
        &mut self,
        local_ip: Ipv4Addr,
        known: &[Ipv4Addr],
        all_known: bool,
    ) -> Vec<Ipv4Addr> {
        if self.is_done {
            return Vec::new();
        }
        let mut next: Vec<Ipv4Addr> = known.to_vec();
        next.retain(|ip| !self.asked.contains_key(ip));
        if known.len() > SMALL_FLEET {
            // The order differs between VMs, so that VMs that start together don't all ask the same.
            next.sort_unstable_by_key(|ip| {
                hash_pair(u64::from(ip.to_bits()), u64::from(local_ip.to_bits()))
            });
            next.truncate(ASKED_COUNT.saturating_sub(self.asked.len()));
        }
        self.asked.extend(next.iter().map(|ip| (*ip, None)));
        self.is_done = all_known && self.asked.values().all(Option::is_some);
        next
    }

    /// Records what has been learned of a VM, whether or not it has been asked.
    pub fn record(&mut self, ip: Ipv4Addr, state: PeerState) {
        self.is_done |= state == PeerState::Serving;
        self.asked.insert(ip, Some(state));
    }

    /// Whether the check has ended.
    pub const fn is_done(&self) -> bool {
        self.is_done
    }
}
