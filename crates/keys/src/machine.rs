//! The state machine that decides where a keyed call runs and what its caller is told.

use crate::{
    CallKey, CallOutcome, Counts, Input, KeyedCall, KeysMessage, Mutation, NotRunReason, Output,
    RunEnd, Settings, Succession, Token,
    claim::Op,
    entry::{Entry, Waiter, respond},
    forward::Forwards,
    handover::{Handover, StagedRecords},
};
use core::time::Duration;
use poplarswitch_entity::{CallId, Incarnation, Time};
use poplarswitch_store::{Reply, Request, RequestId};
use rand::{Rng as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Maximum number of refused calls that are remembered independently of their keys.
const MAX_REFUSED_CALLS: usize = 4_096;
/// Time between two removals of expired keys.
const SWEEP_INTERVAL: Duration = Duration::from_secs(10);
/// Maximum number of successions followed from a key's first home; ends the search in a cycle.
const MAX_SUCCESSION_CHAIN: usize = 64;
const SECONDS_PER_MINUTE: u64 = 60;

/// State machine, without I/O, of the keyed calls of one VM.
#[derive(Debug)]
pub struct Core {
    pub(crate) me: Incarnation,
    pub(crate) settings: Settings,
    rng: Pcg64Mcg,
    started: Time,
    start_minute: u64,
    last_request: RequestId,
    pub(crate) entries: BTreeMap<CallKey, Entry>,
    pub(crate) running: BTreeMap<CallId, CallKey>,
    pub(crate) pending: BTreeMap<RequestId, (CallKey, Op)>,
    pub(crate) retries: Vec<(Time, CallKey, Op)>,
    pub(crate) forwards: Forwards,
    pub(crate) links: BTreeSet<Incarnation>,
    pub(crate) successions: BTreeMap<Incarnation, Succession>,
    pub(crate) staged: BTreeMap<Incarnation, StagedRecords>,
    pub(crate) leaving: bool,
    pub(crate) handover: Handover,
    refused: VecDeque<CallId>,
    refused_set: BTreeSet<CallId>,
    pub(crate) answer_bytes: usize,
    next_sweep: Time,
    pub(crate) mutation: Option<Mutation>,
}

impl Core {
    /// Starts without keys; `minute` is the wall-clock time in minutes since the Unix epoch.
    pub fn new(now: Time, me: Incarnation, minute: u64, settings: Settings, seed: u64) -> Self {
        Self {
            me,
            settings,
            rng: Pcg64Mcg::seed_from_u64(seed),
            started: now,
            start_minute: minute,
            last_request: RequestId(0),
            entries: BTreeMap::new(),
            running: BTreeMap::new(),
            pending: BTreeMap::new(),
            retries: Vec::new(),
            forwards: Forwards::default(),
            links: BTreeSet::new(),
            successions: BTreeMap::new(),
            staged: BTreeMap::new(),
            leaving: false,
            handover: Handover::None,
            refused: VecDeque::new(),
            refused_set: BTreeSet::new(),
            answer_bytes: 0,
            next_sweep: now + SWEEP_INTERVAL,
            mutation: None,
        }
    }

    /// Injects a deliberate fault.
    #[cfg(feature = "mutation")]
    pub const fn mutate(&mut self, mutation: Mutation) {
        self.mutation = Some(mutation);
    }

    /// Minutes since the Unix epoch, advanced from the start by the monotonic clock.
    pub const fn minute(&self, now: Time) -> u64 {
        self.start_minute + now.since(self.started).as_secs() / SECONDS_PER_MINUTE
    }

    /// A token, issued now, for keys whose home is this VM.
    pub const fn token(&self, now: Time) -> Token {
        Token {
            home: self.me,
            minute: self.minute(now),
        }
    }

    /// Gauges for metrics.
    pub fn counts(&self) -> Counts {
        Counts {
            keys: self.entries.len(),
            answer_bytes: self.answer_bytes,
            running: self.running.len(),
            forwarded: self.forwards.len(),
        }
    }

    /// All successions that this VM knows of.
    pub fn successions(&self) -> impl Iterator<Item = &Succession> {
        self.successions.values()
    }

    /// Time at which `tick` has to be called next.
    pub fn next_wake(&self) -> Option<Time> {
        let retries = self.retries.iter().map(|(at, ..)| *at);
        let deadlines = self.entries.values().filter_map(Self::deadline);
        retries
            .chain(deadlines)
            .chain(self.forwards.next_wake())
            .chain(self.handover.deadline())
            .chain([self.next_sweep])
            .min()
    }

    /// Handles all timers that are due.
    pub fn tick(&mut self, now: Time, out: &mut Vec<Output>) {
        self.expire_claims(now, out);
        self.repeat_requests(now, out);
        self.expire_forwards(now, out);
        self.expire_handover(now, out);
        if now >= self.next_sweep {
            self.next_sweep = now + SWEEP_INTERVAL;
            self.sweep(now);
        }
    }

    /// Handles one input and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Time, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Submit(call) => self.submit(now, Waiter { from: None, call }, out),
            Input::Ended { call, end } => self.run_ended(now, call, end, out),
            Input::Message { from, message } => self.handle_message(now, from, message, out),
            Input::Reply { id, reply } => self.handle_reply(now, id, &reply, out),
            Input::Linked(peer) => self.handle_linked(now, peer, out),
            Input::Unlinked(peer) => {
                self.links.remove(&peer);
                self.forwards.unlinked(now, peer);
                self.handover_unlinked(now, peer, out);
            }
            Input::Leave => self.leaving = true,
            Input::HandOver(candidates) => self.start_handover(now, candidates, out),
        }
    }

    fn handle_message(
        &mut self,
        now: Time,
        from: Incarnation,
        message: KeysMessage,
        out: &mut Vec<Output>,
    ) {
        match message {
            KeysMessage::Forward(call) => {
                let from = Some(from);
                self.submit(now, Waiter { from, call }, out);
            }
            KeysMessage::Outcome { call, outcome } => self.relay_outcome(from, call, outcome, out),
            KeysMessage::Handover {
                part,
                parts,
                records,
            } => self.handle_part(from, part, parts, records, out),
            KeysMessage::Staged => self.handle_staged(now, from, out),
            KeysMessage::Commit { floor, inherited } => {
                self.handle_commit(now, from, floor, &inherited, out);
            }
            KeysMessage::Committed => self.handle_committed(now, from, out),
            KeysMessage::Successions(list) => self.merge_successions(now, Some(from), &list, out),
        }
    }

    fn handle_linked(&mut self, now: Time, peer: Incarnation, out: &mut Vec<Output>) {
        self.links.insert(peer);
        if !self.successions.is_empty() {
            let list = self.successions.values().copied().collect();
            let message = KeysMessage::Successions(list);
            out.push(Output::Send { to: peer, message });
        }
        self.resend_forwards(now, out);
    }

    /// Runs, answers, refuses or forwards a call, depending on the home of its key.
    pub(crate) fn submit(&mut self, now: Time, waiter: Waiter, out: &mut Vec<Output>) {
        let forget = self.mutation == Some(Mutation::ForgetRefused);
        if self.refused_set.contains(&waiter.call.call) && !forget {
            return respond(&waiter, CallOutcome::NotRunHere, out);
        }
        if !waiter.call.key.text.is_valid() {
            return self.refuse(&waiter, CallOutcome::NotRun(NotRunReason::Malformed), out);
        }
        let Some(token) = waiter.call.key.token() else {
            return self.submit_claimed(now, waiter, out);
        };
        let home = self.home_of(token.home);
        if home == self.me {
            self.submit_home(now, token, waiter, out);
        } else if Some(home) == waiter.from {
            self.refuse(&waiter, CallOutcome::NotRunHere, out);
        } else {
            self.forward(now, home, waiter, out);
        }
    }

    /// The VM that is the home now of keys first issued for `home`, after all known successions.
    pub(crate) fn home_of(&self, home: Incarnation) -> Incarnation {
        let mut home = home;
        for _ in 0..MAX_SUCCESSION_CHAIN {
            match self.successions.get(&home) {
                Some(succession) => home = succession.successor,
                None => break,
            }
        }
        home
    }

    /// Requests the run of a call.
    pub(crate) fn start_run(&mut self, call: KeyedCall, out: &mut Vec<Output>) {
        self.running.insert(call.call, call.key.clone());
        out.push(Output::Run(call));
    }

    fn run_ended(&mut self, now: Time, call: CallId, end: RunEnd, out: &mut Vec<Output>) {
        let Some(key) = self.running.remove(&call) else {
            return;
        };
        match end {
            RunEnd::Answered(answer) => self.conclude_answer(now, &key, answer, out),
            RunEnd::NotRun => self.conclude_void(now, &key, out),
            RunEnd::InDoubt => self.conclude_in_doubt(now, &key, out),
        }
    }

    /// Responds that a call was not run, and remembers that it must not run later.
    pub(crate) fn refuse(&mut self, waiter: &Waiter, outcome: CallOutcome, out: &mut Vec<Output>) {
        let call = waiter.call.call;
        if self.refused_set.insert(call) {
            self.refused.push_back(call);
        }
        if self.refused.len() > MAX_REFUSED_CALLS
            && let Some(oldest) = self.refused.pop_front()
        {
            self.refused_set.remove(&oldest);
        }
        respond(waiter, outcome, out);
    }

    pub(crate) fn send_request(
        &mut self,
        key: CallKey,
        op: Op,
        request: Request,
        out: &mut Vec<Output>,
    ) {
        self.last_request.0 += 1;
        let id = self.last_request;
        self.pending.insert(id, (key, op));
        out.push(Output::Request { id, request });
    }

    pub(crate) fn nonce(&mut self) -> u64 {
        self.rng.next_u64()
    }

    fn handle_reply(&mut self, now: Time, id: RequestId, reply: &Reply, out: &mut Vec<Output>) {
        if let Some((key, op)) = self.pending.remove(&id) {
            match op {
                Op::Claim(nonce) => self.claim_reply(now, &key, nonce, reply, out),
                Op::Conclude(nonce) => self.conclude_reply(now, &key, nonce, reply, out),
            }
        }
    }

    fn sweep(&mut self, now: Time) {
        let floor = self.floor(now);
        let retention = Duration::from_secs(self.settings.retention_minutes * SECONDS_PER_MINUTE);
        let mut freed_bytes = 0;
        self.entries.retain(|key, entry| {
            let old = match key.token() {
                Some(token) => token.minute < floor,
                None => now.since(entry.updated_at) >= retention,
            };
            let forget = self.mutation == Some(Mutation::ForgetKeys);
            let keep = entry.is_busy() || (!old && !forget);
            if !keep {
                freed_bytes += entry.answer_bytes();
            }
            keep
        });
        self.answer_bytes -= freed_bytes;
        let expired = self
            .minute(now)
            .saturating_sub(2 * self.settings.retention_minutes);
        self.successions
            .retain(|_, succession| succession.floor >= expired);
    }
}
