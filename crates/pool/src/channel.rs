//! An ordered stream in each direction between two VMs, over a link that may lose,
//! repeat, delay or reorder messages.
//!
//! Items are numbered; the receiver takes only the next ones it expects and the sender
//! starts over from the first unacknowledged one (go-back-N). Reordering is rare on the
//! links below, so no buffer for early frames is kept. Acknowledgements ride on frames of
//! the other direction or go alone after a short delay.

use crate::{Counters, Frame, SessionNumber};
use core::time::Duration;
use poplarswitch_entity::Time;
use std::collections::VecDeque;

/// Time after which unacknowledged items are sent again.
pub const RESEND_AFTER: Duration = Duration::from_millis(60);
/// Longest delay of an acknowledgement that could ride on another frame.
const ACK_DELAY: Duration = Duration::from_millis(20);
/// Longest delay of an item that can wait for others.
const BATCH_DELAY: Duration = Duration::from_millis(100);
/// Most items in one frame.
const FRAME_ITEMS: usize = 256;

/// One end of the two streams of a session.
#[derive(Debug)]
pub struct Channel<S, R> {
    /// The session that frames must name.
    pub session: SessionNumber,
    /// When a frame last came.
    pub heard: Time,
    unacked: VecDeque<S>,
    first_unacked: u64,
    next_unsent: u64,
    expected: u64,
    ack_by: Option<Time>,
    awaiting: Option<Time>,
    sent_at: Time,
    probe: bool,
    /// When the items that can wait must go; now for urgent ones.
    send_by: Option<Time>,
    receives: core::marker::PhantomData<R>,
}

impl<S: Clone, R> Channel<S, R> {
    /// Starts both streams at their beginning.
    pub const fn open(session: SessionNumber, now: Time) -> Self {
        Self {
            session,
            heard: now,
            unacked: VecDeque::new(),
            first_unacked: 0,
            next_unsent: 0,
            expected: 0,
            ack_by: None,
            awaiting: None,
            sent_at: now,
            probe: false,
            send_by: None,
            receives: core::marker::PhantomData,
        }
    }

    /// Queues an item that goes at once.
    pub fn push(&mut self, item: S) {
        self.unacked.push_back(item);
        self.send_by = Some(Time::ZERO);
    }

    /// Queues an item that can wait for others; the stream keeps its order.
    pub fn push_later(&mut self, now: Time, item: S) {
        self.unacked.push_back(item);
        self.send_by.get_or_insert(now + BATCH_DELAY);
    }

    /// Asks for a reply even without items to send.
    pub const fn probe(&mut self) {
        self.probe = true;
    }

    /// Since when the other end has owed a reply.
    pub const fn awaiting(&self) -> Option<Time> {
        self.awaiting
    }

    /// When a frame was last sent.
    pub const fn sent_at(&self) -> Time {
        self.sent_at
    }

    /// Whether nothing waits for an acknowledgement.
    pub fn settled(&self) -> bool {
        self.unacked.is_empty() && self.awaiting.is_none()
    }

    /// Starts the waits over after this process itself has stood still.
    pub fn forgive(&mut self, now: Time) {
        self.heard = now;
        self.awaiting = self.awaiting.map(|_| now);
    }

    /// Takes a frame of this session; returns the items that are next in order.
    pub fn receive(&mut self, now: Time, frame: Frame<R>) -> Vec<R> {
        self.heard = now;
        self.acknowledge(now, frame.received);
        let count = frame.items.len() as u64;
        if frame.probe {
            self.ack_by = Some(now);
        } else if count > 0 && self.ack_by.is_none() {
            self.ack_by = Some(now + ACK_DELAY);
        }
        if frame.first > self.expected {
            return Vec::new();
        }
        let known = (self.expected - frame.first).min(count);
        self.expected += count - known;
        frame.items.into_iter().skip(known as usize).collect()
    }

    fn acknowledge(&mut self, now: Time, received: u64) {
        let received = received.min(self.next_unsent);
        let progress = received.saturating_sub(self.first_unacked);
        self.unacked.drain(..progress as usize);
        self.first_unacked += progress;
        if self.first_unacked == self.next_unsent {
            self.awaiting = None;
        } else if progress > 0 {
            self.awaiting = Some(now);
        }
    }

    /// The frame that is due, if any.
    pub fn flush(&mut self, now: Time, counters: &mut Counters) -> Option<Frame<S>> {
        let overdue = self.outstanding() && now >= self.sent_at + RESEND_AFTER;
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
            .take(FRAME_ITEMS)
            .cloned()
            .collect();
        self.next_unsent += items.len() as u64;
        let probe = core::mem::take(&mut self.probe);
        if self.awaiting.is_none() && (probe || !items.is_empty()) {
            self.awaiting = Some(now);
        }
        self.ack_by = None;
        self.send_by = self.unsent().then_some(now);
        self.sent_at = now;
        Frame {
            session: self.session,
            first,
            received: self.expected,
            probe,
            items,
        }
    }

    fn outstanding(&self) -> bool {
        self.next_unsent > self.first_unacked
    }

    fn unsent(&self) -> bool {
        self.unacked.len() as u64 > self.next_unsent - self.first_unacked
    }

    /// When `flush` is next worth calling.
    pub fn next_wake(&self) -> Option<Time> {
        let resend = self.outstanding().then(|| self.sent_at + RESEND_AFTER);
        [resend, self.send_by, self.ack_by]
            .into_iter()
            .flatten()
            .min()
    }
}
