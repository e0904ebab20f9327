//! Two ordered streams of items, one in each direction, between two VMs, over a link that may
//! lose, duplicate, delay or reorder messages.
//!
//! Items are numbered. The receiver accepts them only in order, and the sender retransmits from
//! the first unacknowledged item on (go-back-N). Reordering is rare on the links between VMs, so
//! the receiver does not buffer frames that arrive early. Acknowledgements are carried by frames
//! of the opposite direction, or by an empty frame after a short delay.

use crate::{Counters, Frame, SessionNumber};
use core::time::Duration;
use poplarswitch_entity::Time;
use std::collections::VecDeque;

/// Time after which unacknowledged items are retransmitted.
pub const RESEND_TIMEOUT: Duration = Duration::from_millis(60);
/// Longest delay of an acknowledgement, to let a frame with items carry it.
const MAX_ACK_DELAY: Duration = Duration::from_millis(20);
/// Longest delay of a deferred item, to send it in a frame with others.
const MAX_BATCH_DELAY: Duration = Duration::from_millis(100);
/// Largest number of items in a frame.
const MAX_FRAME_ITEMS: usize = 256;

/// One end of the two streams of a session.
#[derive(Debug)]
pub struct Channel<S, R> {
    /// The session that the frames belong to.
    pub session: SessionNumber,
    /// When the latest frame was received.
    pub last_received: Time,
    /// Items without an acknowledgement, sent or not.
    unacked: VecDeque<S>,
    /// Number of the first item in `unacked`.
    first_unacked: u64,
    /// Number of the first item that is not sent yet or is to be retransmitted.
    next_unsent: u64,
    /// Number of the next item to receive.
    next_expected: u64,
    /// When an acknowledgement must be sent.
    ack_by: Option<Time>,
    /// Time of the first frame without a reply or of the latest partial acknowledgement.
    awaiting_since: Option<Time>,
    /// When the latest frame was sent.
    sent_at: Time,
    /// Whether the next frame demands a reply.
    probe: bool,
    /// When unsent items must be sent; `Time::ZERO` if at once.
    send_by: Option<Time>,
    receives: core::marker::PhantomData<R>,
}

impl<S: Clone, R> Channel<S, R> {
    /// Opens a channel with both streams at item 0.
    pub const fn open(session: SessionNumber, now: Time) -> Self {
        Self {
            session,
            last_received: now,
            unacked: VecDeque::new(),
            first_unacked: 0,
            next_unsent: 0,
            next_expected: 0,
            ack_by: None,
            awaiting_since: None,
            sent_at: now,
            probe: false,
            send_by: None,
            receives: core::marker::PhantomData,
        }
    }

    /// Queues an item to be sent at once.
    pub fn push(&mut self, item: S) {
        self.unacked.push_back(item);
        self.send_by = Some(Time::ZERO);
    }

    /// Queues an item that can wait for a frame with other items; the order is kept.
    pub fn push_deferred(&mut self, now: Time, item: S) {
        self.unacked.push_back(item);
        self.send_by.get_or_insert(now + MAX_BATCH_DELAY);
    }

    /// Demands a reply, even if there are no items to send.
    pub const fn probe(&mut self) {
        self.probe = true;
    }

    /// The time since which a reply of the other end is outstanding.
    pub const fn awaiting_since(&self) -> Option<Time> {
        self.awaiting_since
    }

    /// When the latest frame was sent.
    pub const fn sent_at(&self) -> Time {
        self.sent_at
    }

    /// Whether no item and no probe waits for a reply.
    pub fn is_idle(&self) -> bool {
        self.unacked.is_empty() && self.awaiting_since.is_none()
    }

    /// Restarts the time-outs after a pause of this process.
    pub fn reset_timers(&mut self, now: Time) {
        self.last_received = now;
        self.awaiting_since = self.awaiting_since.map(|_| now);
    }

    /// Handles a frame of this session and returns the items that are next in order.
    pub fn receive(&mut self, now: Time, frame: Frame<R>) -> Vec<R> {
        self.last_received = now;
        self.acknowledge(now, frame.received);
        let count = frame.items.len() as u64;
        if frame.probe {
            self.ack_by = Some(now);
        } else if count > 0 && self.ack_by.is_none() {
            self.ack_by = Some(now + MAX_ACK_DELAY);
        }
        if frame.first > self.next_expected {
            return Vec::new();
        }
        let known = (self.next_expected - frame.first).min(count);
        self.next_expected += count - known;
        frame.items.into_iter().skip(known as usize).collect()
    }

    fn acknowledge(&mut self, now: Time, received: u64) {
        let received = received.min(self.next_unsent);
        let progress = received.saturating_sub(self.first_unacked);
        self.unacked.drain(..progress as usize);
        self.first_unacked += progress;
        if self.first_unacked == self.next_unsent {
            self.awaiting_since = None;
        } else if progress > 0 {
            self.awaiting_since = Some(now);
        }
    }

    /// Returns the frame that is due, if any.
    pub fn flush(&mut self, now: Time, counters: &mut Counters) -> Option<Frame<S>> {
        let overdue = self.has_outstanding() && now >= self.sent_at + RESEND_TIMEOUT;
        let ack_due = self.ack_by.is_some_and(|by| by <= now);
        let unsent = self.send_by.is_some_and(|by| by <= now);
        if !(unsent || overdue || ack_due || self.probe) {
            return None;
        }
        if overdue {
            self.next_unsent = self.first_unacked;
            counters.resent += 1;
        }
        counters.sent += 1;
        Some(self.frame(now))
    }

    fn frame(&mut self, now: Time) -> Frame<S> {
        let first = self.next_unsent;
        let skip = (first - self.first_unacked) as usize;
        let items: Vec<S> = self
            .unacked
            .iter()
            .skip(skip)
            .take(MAX_FRAME_ITEMS)
            .cloned()
            .collect();
        self.next_unsent += items.len() as u64;
        let probe = core::mem::take(&mut self.probe);
        if self.awaiting_since.is_none() && (probe || !items.is_empty()) {
            self.awaiting_since = Some(now);
        }
        self.ack_by = None;
        self.send_by = self.has_unsent().then_some(now);
        self.sent_at = now;
        Frame {
            session: self.session,
            first,
            received: self.next_expected,
            probe,
            items,
        }
    }

    fn has_outstanding(&self) -> bool {
        self.next_unsent > self.first_unacked
    }

    fn has_unsent(&self) -> bool {
        self.unacked.len() as u64 > self.next_unsent - self.first_unacked
    }

    /// The time at which `flush` has to be called next.
    pub fn next_wake(&self) -> Option<Time> {
        let resend = self
            .has_outstanding()
            .then(|| self.sent_at + RESEND_TIMEOUT);
        [resend, self.send_by, self.ack_by]
            .into_iter()
            .flatten()
            .min()
    }
}
