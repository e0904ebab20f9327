//! Keys without a home: claimed in the platform by a conditional write.
//!
//! A claim is used up, not leased: nobody but the claimant ever runs the key, however late it
//! acts, unless the claimant itself has given the claim up by a conditional write. A write
//! without an answer is repeated as it was and recognised by its nonce. Before any later run
//! the claimant writes a new claim over the state that it read, so that a void write still on
//! its way can no longer take effect.

use crate::{
    CallKey, CallOutcome, ClaimObject, ClaimState, Core, KeyOutcome, Mutation, Output,
    api::StoredClaim,
    entry::{Entry, GrantedClaim, PendingClaim, State, Waiter, call_outcome},
};
use core::{fmt::Write as _, time::Duration};
use poplarswitch_entity::Time;
use poplarswitch_store::{Guard, Key, Reply, Request, Version, Versioned};
use sha2::{Digest, Sha256};
use std::sync::Arc;

/// Shortest wait before a request is repeated.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Wait before a conclusion is written again.
const SAVE_RETRY_DELAY: Duration = Duration::from_secs(2);

/// A request on its way, with the nonce of its claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Op {
    Claim(u64),
    Conclude(u64),
}

/// The path of a claim.
pub fn claim_key(key: &CallKey) -> Key {
    let mut hasher = Sha256::new();
    hasher.update(key.workspace.as_str().as_bytes());
    hasher.update([0]);
    hasher.update(key.text.as_str().as_bytes());
    let mut text = String::from("keys/");
    for byte in hasher.finalize() {
        let _ = write!(text, "{byte:02x}");
    }
    Key::new(text)
}

impl Core {
    pub(crate) fn submit_claimed(&mut self, now: Time, waiter: Waiter, out: &mut Vec<Output>) {
        let key = waiter.call.key.clone();
        if !self.entries.contains_key(&key) {
            let full = self.entries.len() >= self.settings.max_keys;
            if self.leaving || full {
                return self.refuse(&waiter, CallOutcome::NotRunHere, out);
            }
            let void = State::Concluded(KeyOutcome::Void);
            let entry = Entry::new(now, waiter.call.digest, void);
            self.entries.insert(key, entry);
        }
        self.join(now, waiter, out);
    }

    /// Begins a new claim for a key that this VM does not run.
    pub(crate) fn start_claim(&mut self, now: Time, waiter: Waiter, out: &mut Vec<Output>) {
        let key = waiter.call.key.clone();
        let nonce = self.nonce();
        let deadline = now + self.settings.claim_timeout;
        if let Some(entry) = self.entries.get_mut(&key) {
            entry.granted = None;
            entry.state = State::Claiming(PendingClaim {
                nonce,
                guard: Guard::Absent,
                deadline,
            });
            entry.add_waiter(waiter);
            self.send_claim(&key, out);
        }
    }

    fn send_claim(&mut self, key: &CallKey, out: &mut Vec<Output>) {
        let Some(entry) = self.entries.get(key) else {
            return;
        };
        let State::Claiming(claiming) = &entry.state else {
            return;
        };
        let (nonce, guard) = (claiming.nonce, claiming.guard);
        let object = ClaimObject {
            claimant: self.me,
            nonce,
            digest: entry.digest,
            state: ClaimState::Claimed,
        };
        let request = put_request(key, &object, guard);
        self.send_request(key.clone(), Op::Claim(nonce), request, out);
    }

    pub(crate) fn claim_reply(
        &mut self,
        now: Time,
        key: &CallKey,
        nonce: u64,
        reply: &Reply,
        out: &mut Vec<Output>,
    ) {
        let Some(State::Claiming(claiming)) = self.entries.get(key).map(|entry| &entry.state)
        else {
            return;
        };
        if claiming.nonce != nonce {
            return;
        }
        let deadline = claiming.deadline;
        match reply {
            Reply::Done { version } => self.granted(now, key, nonce, *version, out),
            Reply::Conflict { current: None } => self.reclaim(key, Guard::Absent, out),
            Reply::Conflict {
                current: Some(current),
            } => match parse_claim(current) {
                Some(claim) => self.claim_conflict(now, key, nonce, claim, out),
                None => self.abandon(key, &CallOutcome::NotRunHere, out),
            },
            Reply::Unavailable { retry_after } if now + *retry_after >= deadline => {
                self.abandon(key, &CallOutcome::NotRunHere, out);
            }
            Reply::Unavailable { retry_after } => {
                let at = now + MIN_RETRY_DELAY.max(*retry_after);
                self.retries.push((at, key.clone(), Op::Claim(nonce)));
            }
            _ if self.mutation == Some(Mutation::AssumeClaimGranted) => {
                self.granted(now, key, nonce, Version::default(), out);
            }
            _ => self
                .retries
                .push((now + MIN_RETRY_DELAY, key.clone(), Op::Claim(nonce))),
        }
    }

    fn claim_conflict(
        &mut self,
        now: Time,
        key: &CallKey,
        nonce: u64,
        claim: StoredClaim,
        out: &mut Vec<Output>,
    ) {
        let object = claim.object;
        if object.nonce == nonce {
            return self.granted(now, key, nonce, claim.version, out);
        }
        let same = self
            .entries
            .get(key)
            .is_some_and(|entry| entry.digest == object.digest);
        if !same {
            return self.abandon(key, &CallOutcome::Mismatch, out);
        }
        match object.state {
            ClaimState::Void => self.reclaim(key, Guard::Matches(claim.version), out),
            // This VM runs nothing under this key, or it would not be claiming it.
            ClaimState::Claimed if object.claimant == self.me => {
                self.reclaim(key, Guard::Matches(claim.version), out);
            }
            ClaimState::Claimed => self.forward_to_claimant(now, key, object.claimant, out),
            ClaimState::Answered(answer) => {
                let answer = answer.map(Arc::from);
                self.adopt_outcome(now, key, KeyOutcome::Answered(answer), out);
            }
            ClaimState::InDoubt => self.adopt_outcome(now, key, KeyOutcome::InDoubt, out),
        }
    }

    fn reclaim(&mut self, key: &CallKey, guard: Guard, out: &mut Vec<Output>) {
        if let Some(entry) = self.entries.get_mut(key)
            && let State::Claiming(claiming) = &mut entry.state
        {
            claiming.guard = guard;
            self.send_claim(key, out);
        }
    }

    fn granted(
        &mut self,
        now: Time,
        key: &CallKey,
        nonce: u64,
        version: Version,
        out: &mut Vec<Output>,
    ) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        let Some(call) = entry.waiters.first().map(|waiter| waiter.call.clone()) else {
            return;
        };
        entry.granted = Some(GrantedClaim {
            version,
            nonce,
            saved: false,
        });
        entry.updated_at = now;
        entry.state = State::Running;
        self.start_run(call, out);
    }

    /// Forwards the waiting calls to the VM that has the claim.
    fn forward_to_claimant(
        &mut self,
        now: Time,
        key: &CallKey,
        claimant: poplarswitch_entity::Incarnation,
        out: &mut Vec<Output>,
    ) {
        let Some(entry) = self.entries.remove(key) else {
            return;
        };
        for waiter in entry.waiters {
            if waiter.from.is_none() {
                self.forward(now, claimant, waiter, out);
            } else {
                self.refuse(&waiter, CallOutcome::NotRunHere, out);
            }
        }
    }

    /// Takes over what the platform knows of a key.
    fn adopt_outcome(
        &mut self,
        now: Time,
        key: &CallKey,
        key_outcome: KeyOutcome,
        out: &mut Vec<Output>,
    ) {
        let outcome = call_outcome(&key_outcome);
        if let Some(entry) = self.entries.get_mut(key) {
            entry.state = State::Concluded(key_outcome);
            entry.updated_at = now;
            self.answer_bytes += entry.answer_bytes();
        }
        if let Some(outcome) = outcome {
            self.respond_all(key, &outcome, out);
        }
    }

    /// Gives a claim up that was never granted; a late grant is claimed over if need be.
    fn abandon(&mut self, key: &CallKey, outcome: &CallOutcome, out: &mut Vec<Output>) {
        let Some(entry) = self.entries.remove(key) else {
            return;
        };
        for waiter in entry.waiters {
            self.refuse(&waiter, outcome.clone(), out);
        }
    }

    /// Gives a granted claim up; callers are told once the platform knows.
    pub(crate) fn void_claim(&mut self, now: Time, key: &CallKey, out: &mut Vec<Output>) {
        let deadline = now + self.settings.claim_timeout;
        if let Some(entry) = self.entries.get_mut(key) {
            entry.state = State::Voiding(deadline);
            self.save_outcome(key, out);
        }
    }

    /// Writes the conclusion of a granted claim.
    pub(crate) fn save_outcome(&mut self, key: &CallKey, out: &mut Vec<Output>) {
        let Some(entry) = self.entries.get(key) else {
            return;
        };
        let Some(granted) = entry.granted else { return };
        let state = match &entry.state {
            State::Voiding(_) | State::Concluded(KeyOutcome::Void) => ClaimState::Void,
            State::Concluded(KeyOutcome::Answered(answer)) => {
                ClaimState::Answered(answer.as_ref().map(|answer| answer.to_vec()))
            }
            State::Concluded(KeyOutcome::InDoubt) => ClaimState::InDoubt,
            State::Claiming(_) | State::Running => return,
        };
        let object = ClaimObject {
            claimant: self.me,
            nonce: granted.nonce,
            digest: entry.digest,
            state,
        };
        let request = put_request(key, &object, Guard::Matches(granted.version));
        self.send_request(key.clone(), Op::Conclude(granted.nonce), request, out);
    }

    pub(crate) fn conclude_reply(
        &mut self,
        now: Time,
        key: &CallKey,
        nonce: u64,
        reply: &Reply,
        out: &mut Vec<Output>,
    ) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        let Some(granted) = &mut entry.granted else {
            return;
        };
        if granted.nonce != nonce {
            return;
        }
        match reply {
            // Only the claimant writes over its claim, so a conflict is its own write.
            Reply::Done { .. } | Reply::Conflict { .. } => granted.saved = true,
            _ => {
                let at = now + SAVE_RETRY_DELAY;
                self.retries.push((at, key.clone(), Op::Conclude(nonce)));
                return;
            }
        }
        if matches!(entry.state, State::Voiding(_)) {
            entry.state = State::Concluded(KeyOutcome::Void);
            entry.granted = None;
            self.respond_not_run(key, out);
        }
    }

    /// When an entry has to be looked at again.
    pub(crate) const fn deadline(entry: &Entry) -> Option<Time> {
        match &entry.state {
            State::Claiming(claiming) => Some(claiming.deadline),
            State::Voiding(deadline) => Some(*deadline),
            State::Running | State::Concluded(_) => None,
        }
    }

    pub(crate) fn expire_claims(&mut self, now: Time, out: &mut Vec<Output>) {
        let expired: Vec<CallKey> = self
            .entries
            .iter()
            .filter(|(_, entry)| Self::deadline(entry).is_some_and(|deadline| now >= deadline))
            .map(|(key, _)| key.clone())
            .collect();
        for key in expired {
            // Nothing runs under either, so this VM may forget them and claim again.
            self.abandon(&key, &CallOutcome::NotRunHere, out);
        }
    }

    pub(crate) fn repeat_requests(&mut self, now: Time, out: &mut Vec<Output>) {
        let retries = core::mem::take(&mut self.retries);
        for (at, key, op) in retries {
            if at > now {
                self.retries.push((at, key, op));
                continue;
            }
            let entry = self.entries.get(&key);
            let current = entry.is_some_and(|entry| match (op, &entry.state) {
                (Op::Claim(nonce), State::Claiming(claiming)) => claiming.nonce == nonce,
                (Op::Conclude(nonce), _) => {
                    entry.granted.is_some_and(|granted| granted.nonce == nonce)
                }
                _ => false,
            });
            match op {
                Op::Claim(_) if current => self.send_claim(&key, out),
                Op::Conclude(_) if current => self.save_outcome(&key, out),
                _ => {}
            }
        }
    }
}

fn put_request(key: &CallKey, object: &ClaimObject, guard: Guard) -> Request {
    Request::Put {
        key: claim_key(key),
        value: serde_json::to_vec(object).unwrap_or_default().into(),
        guard,
    }
}

fn parse_claim(object: &Versioned) -> Option<StoredClaim> {
    let version = object.version;
    let object = serde_json::from_slice(&object.value).ok()?;
    Some(StoredClaim { version, object })
}
