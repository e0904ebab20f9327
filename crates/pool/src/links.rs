//! The sessions with the other VMs of the cell, and which of them answer in time.
//!
//! With each peer there are two sessions that don't depend on each other: one in which
//! this VM is the origin (`up`) and one in which it is the home (`down`). The origin opens
//! sessions and numbers them; a new one tells the home to forget all that the last one
//! asked for. A home that stays silent is suspected; an origin that stays silent loses
//! its slots when its lease runs out.

use crate::{
    Counters, Frame, HomeInput, HomeOutput, Mutation, Output, PoolMessage, SessionNumber,
    channel::Channel,
};
use core::time::Duration;
use poplarswitch_entity::{Incarnation, Time};
use std::collections::BTreeMap;

/// Silence after which a home that owes a reply is suspected.
const SILENCE: Duration = Duration::from_millis(250);
/// Longest time without a frame while calls follow a home.
const PROBE_EVERY: Duration = Duration::from_millis(250);
/// Time after which an unused session is closed by its origin.
const IDLE: Duration = Duration::from_secs(2);
/// Silence after which a home frees the slots of an origin.
pub const LEASE: Duration = Duration::from_secs(5);
/// Time for which the sessions of a VM that has left are remembered.
const FORGET_AFTER: Duration = Duration::from_mins(10);
/// First delay before a suspected home is probed.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Longest delay before a suspected home is probed.
const MAX_RETRY: Duration = Duration::from_secs(8);

/// Whether a peer answers in time.
#[derive(Clone, Copy, Debug)]
enum Trust {
    Trusted,
    Suspected { probe_at: Time, delay: Duration },
}

#[derive(Debug)]
struct Peer {
    up: Option<Channel<HomeInput, HomeOutput>>,
    down: Option<Channel<HomeOutput, HomeInput>>,
    closed: SessionNumber,
    closed_at: Time,
    trust: Trust,
    following: usize,
}

impl Default for Peer {
    fn default() -> Self {
        Self {
            up: None,
            down: None,
            closed: SessionNumber(0),
            closed_at: Time::ZERO,
            trust: Trust::Trusted,
            following: 0,
        }
    }
}

/// What a message or the passing of time brought.
#[derive(Debug, PartialEq, Eq)]
pub enum Event {
    /// An origin asks for something.
    Asked(Incarnation, Vec<HomeInput>),
    /// A home answers.
    Answered(Incarnation, Vec<HomeOutput>),
    /// All that an origin asked for before is void.
    Voided(Incarnation),
    /// A home forgot the session; its calls must be asked for again.
    Forgotten(Incarnation),
    /// A home did not answer in time.
    Suspected,
    /// A suspected home answered.
    Trusted,
}

/// The sessions with all peers.
#[derive(Debug, Default)]
pub struct Links {
    peers: BTreeMap<Incarnation, Peer>,
    resets: Vec<(Incarnation, SessionNumber)>,
    opened: u64,
    /// A deliberate fault.
    pub mutation: Option<Mutation>,
}

impl Links {
    /// Whether a peer may be followed.
    pub fn trusts(&self, peer: Incarnation) -> bool {
        self.peers
            .get(&peer)
            .is_none_or(|peer| matches!(peer.trust, Trust::Trusted))
    }

    /// Peers that did not answer in time.
    pub fn suspects(&self) -> usize {
        let suspected = |peer: &&Peer| matches!(peer.trust, Trust::Suspected { .. });
        self.peers.values().filter(suspected).count()
    }

    /// Forgets peers that have left and have no session.
    pub fn retain(&mut self, now: Time, members: &[Incarnation]) {
        self.peers.retain(|id, peer| {
            let used = peer.up.is_some() || peer.down.is_some() || peer.following > 0;
            let known = peer.closed > SessionNumber(0) && now < peer.closed_at + FORGET_AFTER;
            used || known || members.binary_search(id).is_ok()
        });
    }

    /// Counts a call that now follows the peer.
    pub fn follow(&mut self, peer: Incarnation) {
        self.peers.entry(peer).or_default().following += 1;
    }

    /// Counts a call that no longer follows the peer.
    pub fn unfollow(&mut self, peer: Incarnation) {
        if let Some(peer) = self.peers.get_mut(&peer) {
            peer.following = peer.following.saturating_sub(1);
        }
    }

    /// Asks a home for something, in a new session if none is open.
    pub fn ask(&mut self, now: Time, to: Incarnation, ask: HomeInput) {
        let peer = self.peers.entry(to).or_default();
        peer.up
            .get_or_insert_with(|| open(&mut self.opened, now))
            .push(ask);
    }

    /// Tells a home something that can wait for the next frame.
    pub fn mention(&mut self, now: Time, to: Incarnation, ask: HomeInput) {
        let peer = self.peers.entry(to).or_default();
        peer.up
            .get_or_insert_with(|| open(&mut self.opened, now))
            .push_later(now, ask);
    }

    /// Asks a home to release a call, if a session with it is open.
    pub fn release(&mut self, to: Incarnation, ask: HomeInput) {
        if let Some(up) = self.peers.get_mut(&to).and_then(|peer| peer.up.as_mut()) {
            up.push(ask);
        }
    }

    /// Answers an origin, if its session is still open.
    pub fn answer(&mut self, to: Incarnation, answer: HomeOutput) {
        if let Some(down) = self.peers.get_mut(&to).and_then(|peer| peer.down.as_mut()) {
            down.push(answer);
        }
    }

    /// Starts all waits over after this process itself has stood still.
    pub fn forgive(&mut self, now: Time) {
        for peer in self.peers.values_mut() {
            if let Some(up) = &mut peer.up {
                up.forgive(now);
            }
            if let Some(down) = &mut peer.down {
                down.forgive(now);
            }
        }
    }

    /// Gives up all sessions as an origin; returns the homes that had one.
    pub fn give_up(&mut self) -> Vec<Incarnation> {
        let open = self.peers.iter_mut();
        open.filter_map(|(id, peer)| peer.up.take().map(|_| *id))
            .collect()
    }

    /// Takes a message.
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
            if frame.first > 0 || frame.session <= peer.closed {
                self.resets.push((from, frame.session));
                return;
            }
            if current.is_some() {
                events.push(Event::Voided(from));
            }
            peer.down = Some(Channel::open(frame.session, now));
        }
        if let Some(down) = &mut peer.down {
            events.push(Event::Asked(from, down.receive(now, frame)));
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
        let answers = up.receive(now, frame);
        events.push(Event::Answered(from, answers));
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
            events.push(Event::Forgotten(from));
        }
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Time, members: &[Incarnation], events: &mut Vec<Event>) {
        for (id, peer) in &mut self.peers {
            if self.mutation != Some(Mutation::NeverSuspect) {
                peer.check_home(now, events);
            }
            peer.keep_up(now);
            let member = members.binary_search(id).is_ok();
            peer.retry(now, member, &mut self.opened);
            if self.mutation == Some(Mutation::KeepExpiredOrigins) {
                continue;
            }
            if peer.lease_over(now) {
                events.push(Event::Voided(*id));
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

    /// When `tick` is next worth calling.
    pub fn next_wake(&self) -> Option<Time> {
        self.peers.values().filter_map(Peer::next_wake).min()
    }
}

impl Peer {
    fn check_home(&mut self, now: Time, events: &mut Vec<Event>) {
        let awaiting = self.up.as_ref().and_then(Channel::awaiting);
        if awaiting.is_none_or(|since| now < since + SILENCE) {
            return;
        }
        self.up = None;
        if matches!(self.trust, Trust::Trusted) {
            self.trust = Trust::Suspected {
                probe_at: now + RETRY_AFTER,
                delay: RETRY_AFTER,
            };
            events.push(Event::Suspected);
        }
    }

    fn keep_up(&mut self, now: Time) {
        let Some(up) = &mut self.up else {
            return;
        };
        if self.following > 0 && up.awaiting().is_none() && now >= up.sent_at() + PROBE_EVERY {
            up.probe();
        }
        if self.following == 0 && up.settled() && now >= up.sent_at() + IDLE {
            self.up = None;
        }
    }

    fn retry(&mut self, now: Time, member: bool, opened: &mut u64) {
        let Trust::Suspected { probe_at, delay } = self.trust else {
            return;
        };
        if now < probe_at {
            return;
        }
        let delay = (delay * 2).min(MAX_RETRY);
        let probe_at = now + delay;
        self.trust = Trust::Suspected { probe_at, delay };
        if member {
            let mut up = open(opened, now);
            up.probe();
            self.up = Some(up);
        }
    }

    fn lease_over(&mut self, now: Time) -> bool {
        let Some(down) = self.down.take_if(|down| now >= down.heard + LEASE) else {
            return false;
        };
        self.closed = down.session;
        self.closed_at = now;
        true
    }

    fn next_wake(&self) -> Option<Time> {
        let up = self.up.as_ref().map(|up| self.up_wake(up));
        let down = self.down.as_ref().map(|down| {
            let lease = down.heard + LEASE;
            down.next_wake().map_or(lease, |wake| wake.min(lease))
        });
        let probe = match self.trust {
            Trust::Trusted => None,
            Trust::Suspected { probe_at, .. } => Some(probe_at),
        };
        [up, down, probe].into_iter().flatten().min()
    }

    fn up_wake(&self, up: &Channel<HomeInput, HomeOutput>) -> Time {
        let regular = match up.awaiting() {
            Some(since) => since + SILENCE,
            None if self.following > 0 => up.sent_at() + PROBE_EVERY,
            None => up.sent_at() + IDLE,
        };
        up.next_wake().map_or(regular, |wake| wake.min(regular))
    }
}

fn open<S: Clone, R>(opened: &mut u64, now: Time) -> Channel<S, R> {
    *opened += 1;
    Channel::open(SessionNumber(*opened), now)
}
