//! When a VM reads the list of VMs in the platform again.
//!
//! The list that a VM reads when it starts may be incomplete, or a datagram lost, so further reads
//! follow: regular ones by the VM that reads the platform for its data centre, and by a VM that hears
//! nobody. What one VM finds reaches the others in heartbeats. While VMs are parted, the reads are
//! frequent, since the list also tells what each VM holds back.

use core::time::Duration;
use poplarswitch_entity::Time;

/// Interval between the first two reads; each further one is twice as long.
const MIN_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum interval between reads; much longer than a restart.
const MAX_INTERVAL: Duration = Duration::from_secs(30);
/// Interval between reads while this VM hears nobody, or reads the platform for others and some are
/// silent; what they and this VM hold is then known to each other from the platform only.
const SILENCE_INTERVAL: Duration = Duration::from_secs(2);

/// A VM's knowledge of the other VMs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListingView {
    /// Whether this VM reads the platform for its data centre.
    pub is_reader: bool,
    /// Number of other VMs that are alive.
    pub alive: usize,
    /// Number of other VMs that are listed or were alive, and are silent.
    pub silent: usize,
}

/// Schedule of reads of the list of VMs.
#[derive(Clone, Debug)]
pub struct ListingSchedule {
    due: Time,
    interval: Duration,
}

impl ListingSchedule {
    /// Creates the schedule of a VM that has just read the list.
    pub fn new(now: Time) -> Self {
        Self {
            due: now + MIN_INTERVAL,
            interval: MIN_INTERVAL,
        }
    }

    /// Time of the next decision.
    pub const fn due(&self) -> Time {
        self.due
    }

    /// Decides at the due time whether to read the list, and schedules the next decision.
    pub fn decide(&mut self, now: Time, view: ListingView) -> bool {
        if now < self.due {
            return false;
        }
        let is_parted = view.silent > 0 && (view.is_reader || view.alive == 0);
        let longest = if is_parted {
            SILENCE_INTERVAL
        } else {
            MAX_INTERVAL
        };
        self.interval = (self.interval * 2).min(longest);
        self.due = now + self.interval;
        view.is_reader || view.alive == 0
    }

    /// Schedules a decision within the minimum interval, for a failed read or after a time in which
    /// this VM heard nobody.
    pub fn hurry(&mut self, now: Time) {
        self.interval = MIN_INTERVAL;
        self.due = self.due.min(now + MIN_INTERVAL);
    }
}
