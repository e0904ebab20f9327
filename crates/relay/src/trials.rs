//! Trials of held subjects: requests for them to the VM that grants them, and their ends.
//!
//! A call with a held subject is sent only as the subject's trial; see
//! [`poplarswitch_ingress::Quarantine`]. The home of trials is asked right before the call is sent, so
//! that a trial is not used up by a call that finds no endpoint.

use crate::{
    call_forwarder::CallForwarder,
    clock,
    quarantine::{held_failure, log_changes, log_subject, log_trial, subjects},
    reply::Failure,
    shared::{Core, Shared},
};
use core::{
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};
use poplarswitch_entity::Time;
use poplarswitch_ingress::{
    AttemptCounts, Outcome, Passage, SoftwareVersion, Subject, TRIAL_REPLY_TIMEOUT, TRIAL_WAIT,
    TrialAsk, TrialEnded, TrialHome, TrialId, TrialMessage, TrialOutcome, TrialTarget,
    TrialVerdict, hash_pair, hash_text,
};
use poplarswitch_wire::ErrorCode;
use std::{collections::HashMap, sync::Arc};
use tokio::{
    sync::oneshot,
    time::{sleep, timeout},
};

/// Selects the VM that grants trials.
const TRIAL_HOME_SEED: u64 = 0;
/// Number of times that the end of a trial is told, since datagrams may be lost.
const END_COPIES: usize = 3;
/// Shortest time after which a caller of a held call is told to come back.
const MIN_HELD_DELAY: Duration = Duration::from_secs(1);
/// Divisor of the caller's remaining time that gives the longest wait for the outcome of a trial.
const WAIT_DIVISOR: u32 = 2;

/// Requests for trials whose replies are awaited.
pub(crate) type TrialRequests = HashMap<u32, oneshot::Sender<TrialVerdict>>;

/// A trial that was granted to a call; its end is told when this is dropped.
#[derive(Debug)]
pub(crate) struct Trial {
    shared: Arc<Shared>,
    id: TrialId,
    /// The VM that granted it, if it was another one.
    home: Option<Ipv4Addr>,
    call_id: Box<str>,
    pub(crate) outcome: TrialOutcome,
    /// What led to the outcome.
    cause: Box<str>,
}

impl Trial {
    /// Records that the connection of the trial broke, and its endpoint lives.
    pub(crate) fn survive(&mut self) {
        self.outcome = TrialOutcome::Undecided;
        self.cause = "the endpoint lives".into();
    }
}

impl Drop for Trial {
    fn drop(&mut self) {
        let TrialId { subject, serial } = self.id;
        let ended = TrialEnded {
            serial,
            subject,
            outcome: self.outcome,
        };
        let call = Some(&*self.call_id);
        end(&self.shared, self.home, &ended, call, &self.cause);
    }
}

/// Name of an outcome in logs and metrics.
const fn outcome_name(outcome: TrialOutcome) -> &'static str {
    match outcome {
        TrialOutcome::Answered => "answered",
        TrialOutcome::Cut => "cut",
        TrialOutcome::Unsent => "unsent",
        TrialOutcome::Undecided => "undecided",
    }
}

/// Tells the home of a trial how the trial has ended.
fn end(
    shared: &Shared,
    home: Option<Ipv4Addr>,
    ended: &TrialEnded,
    call_id: Option<&str>,
    cause: &str,
) {
    let outcome = outcome_name(ended.outcome);
    shared.metrics.record_trial(outcome);
    log_trial(ended.subject, outcome, call_id, cause);
    // The end also changes what this VM knows of the subject.
    let changes = shared
        .core()
        .quarantine
        .end_trial(clock::now(), None, ended);
    log_changes(shared, &changes);
    if let Some(home) = home {
        for _ in 0..END_COPIES {
            send(shared, &TrialMessage::TrialEnded(*ended), home);
        }
    }
}

fn send(shared: &Shared, message: &TrialMessage, to: Ipv4Addr) {
    let Some(socket) = shared.peer_socket.get() else {
        return;
    };
    let mut bytes = Vec::with_capacity(64);
    if let Err(error) = ciborium::into_writer(message, &mut bytes) {
        tracing::warn!(event = "unwritable", %error, "trial");
        return;
    }
    let peer = SocketAddr::new(to.into(), shared.settings.listen.peers.port());
    // A failed send has the same effect as a lost datagram; a request is made again.
    if let Err(error) = socket.try_send_to(&bytes, peer) {
        tracing::debug!(%peer, %error, "send a trial message");
    }
}

impl Core {
    /// Address of the VM that grants trials; none if this VM can't tell, because it is in contact with
    /// half of the known VMs or fewer.
    fn trial_home(&self, now: Time) -> Option<Ipv4Addr> {
        let alive = self.membership.alive_count(now);
        let all = alive + self.membership.silent_count(now);
        if alive * 2 <= all {
            return None;
        }
        let others = self.membership.alive(now).map(|member| member.ip);
        let vms = others.chain([self.membership.local_ip()]);
        vms.max_by_key(|ip| hash_pair(u64::from(ip.to_bits()), TRIAL_HOME_SEED))
    }

    /// The VM that grants trials, as seen by this VM.
    fn trial_view(&self, now: Time, home: Option<Ipv4Addr>) -> TrialHome {
        match home {
            None if self.membership.alive(now).next().is_none() => TrialHome::Alone,
            None => TrialHome::Nobody,
            Some(ip) if ip == self.membership.local_ip() => TrialHome::Local,
            Some(_) => TrialHome::Other,
        }
    }
}

/// Removes a request for a trial when it is dropped, and gives the trial back if the caller left before
/// the reply was taken in.
struct AskGuard<'a> {
    shared: &'a Shared,
    home: Ipv4Addr,
    id: TrialId,
    is_taken_in: bool,
}

impl Drop for AskGuard<'_> {
    fn drop(&mut self) {
        let TrialId { subject, serial } = self.id;
        self.shared.core().trial_requests.remove(&serial);
        if !self.is_taken_in {
            let ended = TrialEnded {
                serial,
                subject,
                outcome: TrialOutcome::Unsent,
            };
            let cause = "the caller left";
            end(self.shared, Some(self.home), &ended, None, cause);
        }
    }
}

/// Asks the home for a trial; none if there is no reply in time.
async fn ask(shared: &Shared, home: Ipv4Addr, ask: TrialAsk) -> Option<TrialVerdict> {
    let (sender, receiver) = oneshot::channel();
    let serial = ask.serial;
    shared.core().trial_requests.insert(serial, sender);
    let mut guard = AskGuard {
        shared,
        home,
        id: ask.id(),
        is_taken_in: false,
    };
    send(shared, &TrialMessage::TrialAsk(ask), home);
    let reply = timeout(TRIAL_REPLY_TIMEOUT, receiver).await;
    guard.is_taken_in = true;
    reply.ok()?.ok()
}

impl CallForwarder {
    /// Checks that the call may be sent, or waits a limited time until it may; returns whether it has
    /// waited.
    pub(crate) async fn pass_quarantine(&mut self) -> Result<bool, Failure> {
        if self.attempts.maybe_run > 0 {
            return self.recheck_subjects().map(|()| false);
        }
        if self.trial.is_some() {
            return Ok(false);
        }
        let mut give_up = None;
        loop {
            let now = clock::now();
            let (subject, wait_until, retry_after) = match self.check_quarantine().await {
                Passage::Free | Passage::Trial(_) => return Ok(give_up.is_some()),
                Passage::Ask(ask) => (ask.subject, now + TRIAL_REPLY_TIMEOUT, MIN_HELD_DELAY),
                Passage::Wait { subject, until } => (subject, until, MIN_HELD_DELAY),
                Passage::Held {
                    subject,
                    retry_after,
                } => return Err(self.held(subject, retry_after)),
            };
            let time_left = self.request.deadline.since(now);
            let give_up = *give_up.get_or_insert(now + TRIAL_WAIT.min(time_left / WAIT_DIVISOR));
            if now >= give_up {
                return Err(self.held(subject, retry_after));
            }
            let mut released = self.shared.released.subscribe();
            tokio::select! {
                _released = released.changed() => {}
                () = sleep(wait_until.min(give_up).since(now)) => {}
            }
        }
    }

    /// Checks the call's subjects, and asks the home for a trial if one of them is held.
    async fn check_quarantine(&mut self) -> Passage {
        let target = self.trial_target();
        let now = clock::now();
        let (passage, home) = {
            let mut core = self.shared.core();
            let home = core.trial_home(now);
            let view = core.trial_view(now, home);
            let subjects = subjects(self.request.id, &self.request.call);
            (core.quarantine.check(now, subjects, view, target), home)
        };
        let home = home.filter(|_| matches!(passage, Passage::Ask(_)));
        let passage = match (passage, home) {
            (Passage::Ask(request), Some(home)) => {
                let reply = ask(&self.shared, home, request).await;
                let now = clock::now();
                let finished = self
                    .shared
                    .core()
                    .quarantine
                    .finish_ask(now, request.id(), reply);
                let (passage, change) = finished;
                log_changes(&self.shared, change.as_slice());
                if reply.is_none() {
                    let ended = TrialEnded {
                        serial: request.serial,
                        subject: request.subject,
                        outcome: TrialOutcome::Unsent,
                    };
                    let cause = "no reply of the VM that grants trials";
                    let call = Some(&*self.request.call.id);
                    end(&self.shared, Some(home), &ended, call, cause);
                }
                passage
            }
            (passage, _) => passage,
        };
        if let Passage::Trial(id) = passage {
            log_subject("trial", id.subject, Some(&self.request.call.id));
            self.trial = Some(Trial {
                shared: Arc::clone(&self.shared),
                id,
                home,
                call_id: self.request.call.id.clone(),
                outcome: TrialOutcome::Unsent,
                cause: "the call ended before it was sent".into(),
            });
        }
        passage
    }

    /// The service that the call goes to, as it bears on trials.
    fn trial_target(&self) -> TrialTarget {
        let core = self.shared.core();
        let available = core.endpoints.available(&self.request.service);
        let endpoints = available.iter().filter_map(|key| core.endpoints.get(*key));
        let mut versions = endpoints.map(|endpoint| endpoint.entry.software.as_ref());
        let first = versions.next().flatten();
        let first = first.filter(|first| versions.all(|other| other == Some(first)));
        TrialTarget {
            service: hash_text(self.request.service.as_str()),
            endpoints: available.len().min(usize::from(u16::MAX)) as u16,
            version: first.map_or(0, |version| hash_text(SoftwareVersion::as_str(version))),
        }
    }

    fn held(&self, subject: Subject, retry_after: Duration) -> Failure {
        self.shared.metrics.calls_held.inc();
        held_failure(subject).with_retry_after(retry_after.max(MIN_HELD_DELAY))
    }

    /// Checks that no subject has been held since the call was admitted; its own trial may be sent
    /// once.
    pub(crate) fn recheck_subjects(&self) -> Result<(), Failure> {
        if self.trial.is_some() && self.attempts == AttemptCounts::default() {
            return Ok(());
        }
        let subjects = subjects(self.request.id, &self.request.call);
        match self.shared.core().quarantine.is_held(subjects) {
            None => Ok(()),
            Some(subject) if self.attempts.maybe_run > 0 => {
                Err(Failure::new(ErrorCode::Failed, subject.to_string()).in_doubt())
            }
            Some(subject) => Err(held_failure(subject).with_retry_after(MIN_HELD_DELAY)),
        }
    }

    /// Whether the call is a trial that hasn't been sent.
    pub(crate) fn is_unsent_trial(&self) -> bool {
        let trial = self.trial.as_ref();
        trial.is_some_and(|trial| trial.outcome == TrialOutcome::Unsent)
    }

    /// Takes in that no endpoint ran the call, which may be a trial. One that has reached an endpoint
    /// is over.
    pub(crate) fn end_unrun_trial(&mut self, outcome: Outcome, cause: &str) {
        self.record_trial_cause(cause);
        if outcome == Outcome::NotSent {
            self.record_trial(TrialOutcome::Unsent);
        } else {
            self.record_trial(TrialOutcome::Undecided);
            self.trial = None;
        }
    }

    /// Records why the call's trial, if it is one, was not run.
    pub(crate) fn record_trial_cause(&mut self, cause: &str) {
        if let Some(trial) = &mut self.trial {
            trial.cause = cause.into();
        }
    }

    /// Records the outcome of the call's trial, if it is one.
    pub(crate) fn record_trial(&mut self, outcome: TrialOutcome) {
        if let Some(trial) = &mut self.trial {
            trial.outcome = outcome;
            if matches!(outcome, TrialOutcome::Answered | TrialOutcome::Cut) {
                trial.cause = Box::default();
            }
        }
    }
}

/// Processes a datagram of another VM.
pub(crate) fn receive(shared: &Shared, from: Ipv4Addr, message: &TrialMessage) {
    let now = clock::now();
    let sender = from.to_bits();
    match message {
        TrialMessage::TrialAsk(request) => {
            let (reply, change) = {
                let mut core = shared.core();
                let home = core.trial_home(now);
                let view = core.trial_view(now, home);
                core.quarantine.answer_ask(now, sender, request, view)
            };
            log_changes(shared, change.as_slice());
            send(shared, &TrialMessage::TrialReply(reply), from);
        }
        TrialMessage::TrialReply(reply) => {
            let waiter = shared.core().trial_requests.remove(&reply.serial);
            if let Some(waiter) = waiter {
                // The request may have ended.
                let _ended = waiter.send(reply.verdict);
            }
        }
        TrialMessage::TrialEnded(ended) => {
            let changes = shared.core().quarantine.end_trial(now, Some(sender), ended);
            log_changes(shared, &changes);
        }
    }
}
