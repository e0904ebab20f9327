//! Links that share their rate equally among the transfers of their sender.

use core::time::Duration;
use poplarswitch_entity::Time;

/// A transfer that is under way.
#[derive(Clone, Debug)]
struct Transfer<T> {
    left: f64,
    /// Rate of the receiver's link, in bytes per second.
    max_rate: f64,
    payload: T,
}

/// The link of a sender.
#[derive(Clone, Debug)]
pub(super) struct Link<T> {
    /// Bytes per second.
    rate: f64,
    updated: Time,
    transfers: Vec<Transfer<T>>,
    /// Bytes that were to be sent.
    pub(super) sent: f64,
    /// Number of changes; a completion that was computed before the last one is void.
    pub(super) changes: u64,
}

impl<T> Link<T> {
    pub(super) const fn new(rate: f64) -> Self {
        Self {
            rate,
            updated: Time::ZERO,
            transfers: Vec::new(),
            sent: 0.0,
            changes: 0,
        }
    }

    /// Bytes per second.
    pub(super) const fn rate(&self) -> f64 {
        self.rate
    }

    /// Starts a transfer to a receiver with a link of `max_rate` bytes per second.
    pub(super) fn start(&mut self, now: Time, bytes: usize, max_rate: f64, payload: T) {
        self.advance(now);
        self.changes += 1;
        self.sent += bytes as f64;
        self.transfers.push(Transfer {
            left: bytes as f64,
            max_rate,
            payload,
        });
    }

    /// Removes and returns what has been transferred.
    pub(super) fn take_finished(&mut self, now: Time) -> Vec<T> {
        self.advance(now);
        self.changes += 1;
        let finished = self
            .transfers
            .extract_if(.., |transfer| transfer.left <= 1.0);
        finished.map(|transfer| transfer.payload).collect()
    }

    /// When the next transfer ends, if nothing changes.
    pub(super) fn next_end(&self) -> Option<Time> {
        let ends = self
            .transfers
            .iter()
            .map(|transfer| transfer.left.max(0.0) / self.share(transfer));
        let next = ends.min_by(f64::total_cmp)?;
        Some(self.updated + Duration::from_secs_f64(next) + Duration::from_micros(1))
    }

    fn share(&self, transfer: &Transfer<T>) -> f64 {
        (self.rate / self.transfers.len() as f64).min(transfer.max_rate)
    }

    fn advance(&mut self, now: Time) {
        let elapsed = now.since(self.updated).as_secs_f64();
        let shares: Vec<f64> = self.transfers.iter().map(|t| self.share(t)).collect();
        for (transfer, share) in self.transfers.iter_mut().zip(shares) {
            transfer.left -= share * elapsed;
        }
        self.updated = now;
    }
}
