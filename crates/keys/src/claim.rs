//! Keys without a token, which are claimed in the platform by a conditional write.
//!
//! A claim does not expire: only the claimant may run the key, at any later time, unless it
//! has itself voided the claim by a conditional write. A write whose reply was lost is repeated
//! unchanged and recognised by its nonce. Before each further run the claimant writes a new
//! claim, conditional on the version that it read, so that a delayed write that voids the old
//! claim can no longer take effect.

use crate::{
    CallKey, CallOutcome, ClaimObject, ClaimState, Core, KeyOutcome, Mutation, Output,
    api::StoredClaim,
    entry::{Entry, GrantedClaim, PendingClaim, State, Waiter, call_outcome},
};
use core::{fmt::Write as _, time::Duration};
use poplarswitch_entity::Time;
use poplarswitch_store::{Key, Precondition, Reply, Request, Version, Versioned};
use sha2::{Digest, Sha256};
use std::sync::Arc;

/// Minimum delay before a claim is written again.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Delay before an outcome is written again.
const SAVE_RETRY_DELAY: Duration = Duration::from_secs(2);

/// The purpose of a write to the platform, with the nonce of its claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Op {
    Claim(u64),
    Conclude(u64),
}

/// The path of a claim in the platform: `keys/` and the SHA-256 hash of workspace and key text.
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

    /// Starts a new claim for a key that this VM is not running.
    pub(crate) fn start_claim(&mut self, now: Time, waiter: Waiter, out: &mut Vec<Output>) {
        let key = waiter.call.key.clone();
        let nonce = self.nonce();
        let deadline = now + self.settings.claim_timeout;
        if let Some(entry) = self.entries.get_mut(&key) {
            entry.granted = None;
            entry.state = State::Claiming(PendingClaim {
                nonce,
                precondition: Precondition::Absent,
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
        let (nonce, precondition) = (claiming.nonce, claiming.precondition);
        let object = ClaimObject {
            claimant: self.me,
            nonce,
            digest: entry.digest,
            state: ClaimState::Claimed,
        };
        let request = put_request(key, &object, precondition);
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
            Reply::Done { version } => self.claim_granted(now, key, nonce, *version, out),
            Reply::Conflict { current: None } => self.reclaim(key, Precondition::Absent, out),
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
                self.claim_granted(now, key, nonce, Version::default(), out);
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
            return self.claim_granted(now, key, nonce, claim.version, out);
        }
        let same = self
            .entries
            .get(key)
            .is_some_and(|entry| entry.digest == object.digest);
        if !same {
            return self.abandon(key, &CallOutcome::Mismatch, out);
        }
        match object.state {
            ClaimState::Void => self.reclaim(key, Precondition::Matches(claim.version), out),
            // An older claim of this VM may be overwritten, as this VM runs no call with a key
            // that it is still claiming.
            ClaimState::Claimed if object.claimant == self.me => {
                self.reclaim(key, Precondition::Matches(claim.version), out);
            }
            ClaimState::Claimed => self.forward_to_claimant(now, key, object.claimant, out),
            ClaimState::Answered(answer) => {
                let answer = answer.map(Arc::from);
                self.adopt_outcome(now, key, KeyOutcome::Answered(answer), out);
            }
            ClaimState::InDoubt => self.adopt_outcome(now, key, KeyOutcome::InDoubt, out),
        }
    }

    fn reclaim(&mut self, key: &CallKey, precondition: Precondition, out: &mut Vec<Output>) {
        if let Some(entry) = self.entries.get_mut(key)
            && let State::Claiming(claiming) = &mut entry.state
        {
            claiming.precondition = precondition;
            self.send_claim(key, out);
        }
    }

    fn claim_granted(
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

    /// Forwards the waiting calls to the claimant, and refuses those that another VM forwarded.
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

    /// Takes over the outcome of a key that the platform has stored.
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

    /// Drops a key and refuses its calls; if its claim was granted all the same, a later one
    /// overwrites it.
    fn abandon(&mut self, key: &CallKey, outcome: &CallOutcome, out: &mut Vec<Output>) {
        let Some(entry) = self.entries.remove(key) else {
            return;
        };
        for waiter in entry.waiters {
            self.refuse(&waiter, outcome.clone(), out);
        }
    }

    /// Voids a granted claim; the calls are answered once the platform has stored it.
    pub(crate) fn void_claim(&mut self, now: Time, key: &CallKey, out: &mut Vec<Output>) {
        let deadline = now + self.settings.claim_timeout;
        if let Some(entry) = self.entries.get_mut(key) {
            entry.state = State::Voiding(deadline);
            self.save_outcome(key, out);
        }
    }

    /// Writes the outcome of a granted claim to the platform.
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
        let request = put_request(key, &object, Precondition::Matches(granted.version));
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
            // Only the claimant overwrites its claim, so the conflict is with its own write.
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

    /// Time at which an entry's write to the platform is given up.
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
            // No call runs while a claim is being written or voided, so this VM may drop the key
            // and claim it again later.
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

fn put_request(key: &CallKey, object: &ClaimObject, precondition: Precondition) -> Request {
    Request::Put {
        key: claim_key(key),
        value: serde_json::to_vec(object).unwrap_or_default().into(),
        precondition,
    }
}

fn parse_claim(object: &Versioned) -> Option<StoredClaim> {
    let version = object.version;
    let object = serde_json::from_slice(&object.value).ok()?;
    Some(StoredClaim { version, object })
}
