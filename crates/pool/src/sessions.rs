//! Sessions with the other VMs of the cell, and detection of VMs that do not reply in time.
//!
//! Each pair of VMs has up to two independent sessions, one for each direction of origin and
//! home. A VM keeps the session in which it is the origin in `up`, and the one in which it is the
//! home in `down`. The origin opens and numbers sessions; a new session makes the home release
//! all calls that were submitted in the previous one. A home that does not reply in time is
//! suspected. An origin that sends nothing until its lease expires loses its slots.

use crate::{
    Counters, Frame, HomeInput, HomeOutput, Mutation, Output, PoolMessage, SessionNumber,
    channel::Channel,
};
use core::time::Duration;
use poplarswitch_entity::{Incarnation, Time};
use std::collections::BTreeMap;

/// Time without a reply after which a home is suspected.
const SUSPECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Longest time without a frame to a home while calls are assigned to it.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// Time after which an origin closes an unused session.
const IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time without a frame from an origin after which a home frees the origin's slots.
pub const LEASE_DURATION: Duration = Duration::from_secs(5);
/// Time for which a home keeps the number of the last expired session of a VM that has left, so
/// that late frames do not open the session again.
const CLOSED_RETENTION: Duration = Duration::from_mins(10);
/// Delay before the first probe of a suspected home; it doubles with each probe.
const FIRST_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Longest delay between two probes of a suspected home.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(8);

/// Whether a peer replies in time.
#[derive(Clone, Copy, Debug)]
enum Trust {
    Trusted,
    /// The peer did not reply in time and is probed until it does.
    Suspected {
        probe_at: Time,
        delay: Duration,
    },
}

/// State of another VM.
#[derive(Debug)]
struct Peer {
    /// The session in which this VM is the origin.
    up: Option<Channel<HomeInput, HomeOutput>>,
    /// The session in which this VM is the home.
    down: Option<Channel<HomeOutput, HomeInput>>,
    /// The latest session that this VM closed as home, or 0.
    last_closed: SessionNumber,
    /// When that session was closed.
    closed_at: Time,
    trust: Trust,
    /// Number of local calls whose home is the peer.
    assigned: usize,
}

impl Default for Peer {
    fn default() -> Self {
        Self {
            up: None,
            down: None,
            last_closed: SessionNumber(0),
            closed_at: Time::ZERO,
            trust: Trust::Trusted,
            assigned: 0,
        }
    }
}

/// Event that follows from a message or a time-out.
#[derive(Debug, PartialEq, Eq)]
pub enum Event {
    /// Items from an origin.
    Inputs(Incarnation, Vec<HomeInput>),
    /// Items from a home.
    Outputs(Incarnation, Vec<HomeOutput>),
    /// An origin's lease expired or it opened a new session; its calls must be released.
    OriginReset(Incarnation),
    /// A home does not know the session; the calls assigned to it must be submitted again.
    SessionLost(Incarnation),
    /// A home did not reply in time.
    Suspected,
    /// A suspected home replied.
    Trusted,
}

/// The sessions with all peers.
#[derive(Debug, Default)]
pub struct Sessions {
    peers: BTreeMap<Incarnation, Peer>,
    /// Sessions of origins that have to be told that this VM does not know them.
    resets: Vec<(Incarnation, SessionNumber)>,
    /// Number of the latest session that this VM opened, counted over all peers.
    opened: u64,
    /// A deliberate fault.
    pub mutation: Option<Mutation>,
}

impl Sessions {
    /// Whether a peer may be a home, because it is not suspected.
    pub fn is_trusted(&self, peer: Incarnation) -> bool {
        self.peers
            .get(&peer)
            .is_none_or(|peer| matches!(peer.trust, Trust::Trusted))
    }

    /// Number of suspected peers.
    pub fn suspects(&self) -> usize {
        let suspected = |peer: &&Peer| matches!(peer.trust, Trust::Suspected { .. });
        self.peers.values().filter(suspected).count()
    }

    /// Removes peers that have left, once they have no session, no calls and no retained session
    /// number.
    pub fn retain(&mut self, now: Time, members: &[Incarnation]) {
        self.peers.retain(|id, peer| {
            let used = peer.up.is_some() || peer.down.is_some() || peer.assigned > 0;
            let known =
                peer.last_closed > SessionNumber(0) && now < peer.closed_at + CLOSED_RETENTION;
            used || known || members.binary_search(id).is_ok()
        });
    }

    /// Counts a call whose home is the peer from now on.
    pub fn assign(&mut self, peer: Incarnation) {
        self.peers.entry(peer).or_default().assigned += 1;
    }

    /// Counts a call whose home is no longer the peer.
    pub fn unassign(&mut self, peer: Incarnation) {
        if let Some(peer) = self.peers.get_mut(&peer) {
            peer.assigned = peer.assigned.saturating_sub(1);
        }
    }

    /// Sends an item to a home at once, in a new session if none is open.
    pub fn send(&mut self, now: Time, to: Incarnation, input: HomeInput) {
        let peer = self.peers.entry(to).or_default();
        peer.up
            .get_or_insert_with(|| open(&mut self.opened, now))
            .push(input);
    }

    /// Sends an item to a home with the next frame or after a delay, in a new session if none is
    /// open.
    pub fn send_deferred(&mut self, now: Time, to: Incarnation, input: HomeInput) {
        let peer = self.peers.entry(to).or_default();
        peer.up
            .get_or_insert_with(|| open(&mut self.opened, now))
            .push_deferred(now, input);
    }

    /// Sends a release to a home if a session with it is open.
    ///
    /// Without a session no release is needed: the home releases all calls of this VM when the
    /// next session opens or the lease expires.
    pub fn release(&mut self, to: Incarnation, input: HomeInput) {
        if let Some(up) = self.peers.get_mut(&to).and_then(|peer| peer.up.as_mut()) {
            up.push(input);
        }
    }

    /// Sends an item to an origin if its session is still open.
    pub fn reply(&mut self, to: Incarnation, output: HomeOutput) {
        if let Some(down) = self.peers.get_mut(&to).and_then(|peer| peer.down.as_mut()) {
            down.push(output);
        }
    }

    /// Restarts the time-outs of all sessions after a pause of this process.
    pub fn reset_timers(&mut self, now: Time) {
        for peer in self.peers.values_mut() {
            if let Some(up) = &mut peer.up {
                up.reset_timers(now);
            }
            if let Some(down) = &mut peer.down {
                down.reset_timers(now);
            }
        }
    }

    /// Closes all sessions in which this VM is the origin and returns their homes.
    pub fn close_as_origin(&mut self) -> Vec<Incarnation> {
        let open = self.peers.iter_mut();
        open.filter_map(|(id, peer)| peer.up.take().map(|_| *id))
            .collect()
    }

    /// Handles a message and appends the events that follow from it.
    pub fn receive(
        &mut self,
        now: Time,
        from: Incarnation,
        message: PoolMessage,
        events: &mut Vec<Event>,
    ) {
        match message {
            PoolMessage::Up(frame) => self.receive_up(now, from, frame, events),
            PoolMessage::Down(frame) => self.receive_down(now, from, frame, events),
            PoolMessage::Reset(session) => self.receive_reset(from, session, events),
        }
    }

    fn receive_up(
        &mut self,
        now: Time,
        from: Incarnation,
        frame: Frame<HomeInput>,
        events: &mut Vec<Event>,
    ) {
        let peer = self.peers.entry(from).or_default();
        let current = peer.down.as_ref().map(|down| down.session);
        if current != Some(frame.session) {
            if current.is_some_and(|current| frame.session < current) {
                return;
            }
            if frame.first > 0 || frame.session <= peer.last_closed {
                self.resets.push((from, frame.session));
                return;
            }
            if current.is_some() {
                events.push(Event::OriginReset(from));
            }
            peer.down = Some(Channel::open(frame.session, now));
        }
        if let Some(down) = &mut peer.down {
            events.push(Event::Inputs(from, down.receive(now, frame)));
        }
    }

    fn receive_down(
        &mut self,
        now: Time,
        from: Incarnation,
        frame: Frame<HomeOutput>,
        events: &mut Vec<Event>,
    ) {
        let Some(peer) = self.peers.get_mut(&from) else {
            return;
        };
        let Some(up) = peer.up.as_mut().filter(|up| up.session == frame.session) else {
            return;
        };
        let outputs = up.receive(now, frame);
        events.push(Event::Outputs(from, outputs));
        if matches!(peer.trust, Trust::Suspected { .. }) {
            peer.trust = Trust::Trusted;
            events.push(Event::Trusted);
        }
    }

    fn receive_reset(
        &mut self,
        from: Incarnation,
        session: SessionNumber,
        events: &mut Vec<Event>,
    ) {
        let Some(peer) = self.peers.get_mut(&from) else {
            return;
        };
        if peer.up.as_ref().is_some_and(|up| up.session == session) {
            peer.up = None;
            events.push(Event::SessionLost(from));
        }
    }

    /// Handles the time-outs that are due and appends the events that follow from them.
    pub fn tick(&mut self, now: Time, members: &[Incarnation], events: &mut Vec<Event>) {
        for (id, peer) in &mut self.peers {
            if self.mutation != Some(Mutation::NeverSuspect) {
                peer.check_timeout(now, events);
            }
            peer.maintain_session(now);
            let member = members.binary_search(id).is_ok();
            peer.probe_suspected(now, member, &mut self.opened);
            if self.mutation == Some(Mutation::KeepExpiredOrigins) {
                continue;
            }
            if peer.expire_lease(now) {
                events.push(Event::OriginReset(*id));
            }
        }
    }

    /// Appends the messages that are due.
    pub fn flush(&mut self, now: Time, counters: &mut Counters, out: &mut Vec<Output>) {
        for (to, session) in self.resets.drain(..) {
            let message = PoolMessage::Reset(session);
            out.push(Output::Send { to, message });
        }
        for (to, peer) in &mut self.peers {
            let to = *to;
            while let Some(frame) = peer.up.as_mut().and_then(|up| up.flush(now, counters)) {
                let message = PoolMessage::Up(frame);
                out.push(Output::Send { to, message });
            }
            while let Some(frame) = peer.down.as_mut().and_then(|d| d.flush(now, counters)) {
                let message = PoolMessage::Down(frame);
                out.push(Output::Send { to, message });
            }
        }
    }

    /// The time at which `tick` has to be called next.
    pub fn next_wake(&self) -> Option<Time> {
        self.peers.values().filter_map(Peer::next_wake).min()
    }
}

impl Peer {
    /// Closes the session and suspects the home if it did not reply in time.
    fn check_timeout(&mut self, now: Time, events: &mut Vec<Event>) {
        let awaiting = self.up.as_ref().and_then(Channel::awaiting_since);
        if awaiting.is_none_or(|since| now < since + SUSPECT_TIMEOUT) {
            return;
        }
        self.up = None;
        if matches!(self.trust, Trust::Trusted) {
            self.trust = Trust::Suspected {
                probe_at: now + FIRST_RETRY_DELAY,
                delay: FIRST_RETRY_DELAY,
            };
            events.push(Event::Suspected);
        }
    }

    /// Probes the home if calls are assigned to it, and closes a session that is not used.
    fn maintain_session(&mut self, now: Time) {
        let Some(up) = &mut self.up else {
            return;
        };
        if self.assigned > 0
            && up.awaiting_since().is_none()
            && now >= up.sent_at() + PROBE_INTERVAL
        {
            up.probe();
        }
        if self.assigned == 0 && up.is_idle() && now >= up.sent_at() + IDLE_TIMEOUT {
            self.up = None;
        }
    }

    /// Opens a session with a probe to a suspected home that is still a member, if one is due.
    fn probe_suspected(&mut self, now: Time, member: bool, opened: &mut u64) {
        let Trust::Suspected { probe_at, delay } = self.trust else {
            return;
        };
        if now < probe_at {
            return;
        }
        let delay = (delay * 2).min(MAX_RETRY_DELAY);
        let probe_at = now + delay;
        self.trust = Trust::Suspected { probe_at, delay };
        if member {
            let mut up = open(opened, now);
            up.probe();
            self.up = Some(up);
        }
    }

    /// Closes the session of an origin whose lease has expired and returns whether it did.
    fn expire_lease(&mut self, now: Time) -> bool {
        let Some(down) = self
            .down
            .take_if(|down| now >= down.last_received + LEASE_DURATION)
        else {
            return false;
        };
        self.last_closed = down.session;
        self.closed_at = now;
        true
    }

    fn next_wake(&self) -> Option<Time> {
        let up = self.up.as_ref().map(|up| self.up_wake(up));
        let down = self.down.as_ref().map(|down| {
            let lease = down.last_received + LEASE_DURATION;
            down.next_wake().map_or(lease, |wake| wake.min(lease))
        });
        let probe = match self.trust {
            Trust::Trusted => None,
            Trust::Suspected { probe_at, .. } => Some(probe_at),
        };
        [up, down, probe].into_iter().flatten().min()
    }

    fn up_wake(&self, up: &Channel<HomeInput, HomeOutput>) -> Time {
        let regular = match up.awaiting_since() {
            Some(since) => since + SUSPECT_TIMEOUT,
            None if self.assigned > 0 => up.sent_at() + PROBE_INTERVAL,
            None => up.sent_at() + IDLE_TIMEOUT,
        };
        up.next_wake().map_or(regular, |wake| wake.min(regular))
    }
}

fn open<S: Clone, R>(opened: &mut u64, now: Time) -> Channel<S, R> {
    *opened += 1;
    Channel::open(SessionNumber(*opened), now)
}
