//! Account of the memory that calls hold on a VM.
//!
//! The load is a burst of callers with long requests, or of callers and endpoints that read slowly.
//! Each call in flight counts with a fixed amount, which covers its head, its connections and a
//! short body. What is longer, and answers that wait for their callers, count by the byte and until
//! the bytes are freed.
//!
//! The body of a call is read once its bytes have been reserved. Calls wait in line for that, so
//! that short bodies don't keep long ones out; calls without a longer body don't wait. Bytes that
//! arrive whether or not there is room for them are counted too, and keep others out.

use std::collections::VecDeque;

/// Memory of a call in flight, including its connections.
const CALL_BYTES: u64 = 48 << 10;
/// Share of a VM's memory that calls may use.
const CALL_MEMORY_PERCENT: u64 = 50;
/// Length of a body up to which it is covered by the fixed amount of its call.
pub const COVERED_BYTES: u64 = 16 << 10;

/// Place of a call in the line for memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryTicket(u64);

/// Result of a request for memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemoryDecision {
    /// The bytes are reserved, until they are released.
    Reserved,
    /// There is no room now; the call is in line.
    Wait,
    /// There will never be room.
    Impossible,
}

/// Memory that calls may use, and how much of it is in use.
#[derive(Clone, Debug)]
pub struct MemoryAccount {
    limit: u64,
    held: u64,
    line: VecDeque<(MemoryTicket, u64)>,
    serial: u64,
}

impl MemoryAccount {
    /// Creates the account of a VM with `memory_bytes` bytes of memory.
    pub const fn new(memory_bytes: u64) -> Self {
        Self {
            limit: memory_bytes.saturating_mul(CALL_MEMORY_PERCENT) / 100,
            held: 0,
            line: VecDeque::new(),
            serial: 0,
        }
    }

    /// Bytes that are counted apart from the fixed amounts of calls.
    pub const fn held(&self) -> u64 {
        self.held
    }

    /// Whether there is room for another call beside `in_flight` others.
    pub const fn has_room(&self, in_flight: usize) -> bool {
        let calls = (in_flight as u64).saturating_add(1);
        calls.saturating_mul(CALL_BYTES) <= self.limit.saturating_sub(self.held)
    }

    /// Puts a call in line for some bytes.
    pub fn join(&mut self, bytes: u64) -> MemoryTicket {
        self.serial = self.serial.wrapping_add(1);
        let ticket = MemoryTicket(self.serial);
        self.line.push_back((ticket, bytes));
        ticket
    }

    /// Reserves the bytes of a call in line if it is the first one and there is room beside
    /// `in_flight` calls.
    pub fn take(&mut self, ticket: MemoryTicket, in_flight: usize) -> MemoryDecision {
        let Some(&(_, bytes)) = self.line.iter().find(|(other, _)| *other == ticket) else {
            return MemoryDecision::Impossible;
        };
        if bytes.saturating_add(CALL_BYTES) > self.limit {
            self.leave(ticket);
            return MemoryDecision::Impossible;
        }
        let is_first = self.line.front().is_some_and(|(first, _)| *first == ticket);
        if !is_first || !self.fits(bytes, in_flight) {
            return MemoryDecision::Wait;
        }
        self.line.pop_front();
        self.count(bytes);
        MemoryDecision::Reserved
    }

    /// Reserves further bytes for a body that is being read; fails if there is no room now, because
    /// calls that hold memory and wait for more could wait for each other.
    pub fn extend(&mut self, bytes: u64, in_flight: usize) -> bool {
        let fits = self.fits(bytes, in_flight);
        if fits {
            self.count(bytes);
        }
        fits
    }

    /// Removes a call from the line; returns whether it was there.
    pub fn leave(&mut self, ticket: MemoryTicket) -> bool {
        let before = self.line.len();
        self.line.retain(|(other, _)| *other != ticket);
        self.line.len() < before
    }

    /// Whether calls are in line.
    pub fn has_line(&self) -> bool {
        !self.line.is_empty()
    }

    /// Counts bytes that are held already.
    pub const fn count(&mut self, bytes: u64) {
        self.held = self.held.saturating_add(bytes);
    }

    /// Records that bytes have been freed.
    pub const fn release(&mut self, bytes: u64) {
        self.held = self.held.saturating_sub(bytes);
    }

    const fn fits(&self, bytes: u64, in_flight: usize) -> bool {
        let calls = (in_flight as u64).saturating_mul(CALL_BYTES);
        calls.saturating_add(self.held).saturating_add(bytes) <= self.limit
    }
}
