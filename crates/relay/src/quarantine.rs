//! Evidence on sections of prompts that crash engines: collection from calls, exchange with other VMs,
//! and refusal of calls with held sections.
//!
//! A connection that breaks doesn't show that its engine crashed. Before a broken call counts, the
//! engine is asked for its report on a new connection; only one that can't be reached or closes that
//! connection too has crashed.

use crate::{
    call_forwarder::CallForwarder,
    clock,
    placement::fetch_report,
    pool::Connection,
    reply::Failure,
    shared::{Core, Shared},
    tcp,
};
use core::{
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};
use poplarswitch_entity::Time;
use poplarswitch_ingress::{
    AttemptCounts, Call, CutCall, EndpointKey, HoldChange, Passage, Prompt, QuarantineDigest,
    SURVIVAL_TIME, Subject, TRIAL_REPLY_TIMEOUT, TrialHome, TrialId, TrialTarget, hash_pair,
};
use poplarswitch_wire::ErrorCode;
use rand::Rng as _;
use std::{collections::HashMap, sync::Arc};
use tokio::{
    net::UdpSocket,
    time::{sleep, timeout},
};

/// Time limit for the report that shows whether an engine has crashed; one that is alive but slow
/// has not.
const CHECK_TIMEOUT: Duration = Duration::from_millis(300);
/// Interval at which digests are repeated.
const DIGEST_INTERVAL: Duration = Duration::from_millis(300);
/// Minimum interval between digests.
const MIN_DIGEST_INTERVAL: Duration = Duration::from_millis(20);
/// Shortest time after which a caller of a held call is told to come back.
const MIN_HELD_DELAY: Duration = Duration::from_secs(1);
/// Selects the VM that grants trials.
const TRIAL_HOME_SEED: u64 = 0;
/// Maximum number of broken calls that wait for the check of one engine.
const MAX_PENDING_CUTS: usize = 256;

/// Broken calls of each engine that is being checked.
pub(crate) type PendingCuts = HashMap<EndpointKey, Vec<CutCall>>;

/// Identifiers of the sections of a call's prompt that other calls may share.
fn shared_sections(call: &Call) -> impl Iterator<Item = u64> {
    let sections = call.prompt.iter().flat_map(Prompt::shared_sections);
    sections.map(|section| section.id)
}

/// What a call has in common with others that may crash its endpoint.
fn subjects(call: &Call) -> impl Iterator<Item = Subject> {
    shared_sections(call).map(Subject::Section)
}

impl Core {
    /// The VM that grants trials. A VM that is in contact with half of the known VMs or fewer can't
    /// tell.
    fn trial_home(&self, now: Time) -> TrialHome {
        let alive = self.membership.alive_count(now);
        let all = alive + self.membership.silent_count(now);
        if alive * 2 <= all {
            return TrialHome::Nobody;
        }
        let weight = |ip: Ipv4Addr| hash_pair(u64::from(ip.to_bits()), TRIAL_HOME_SEED);
        let local_ip = self.membership.local_ip();
        let mut others = self.membership.alive(now);
        if others.all(|member| weight(member.ip) < weight(local_ip)) {
            TrialHome::Local
        } else {
            TrialHome::Other
        }
    }
}

/// Checks that no section of a call is held; returns whether the call is the trial of one.
pub(crate) fn admit_sections(shared: &Shared, call: &Call) -> Result<bool, Failure> {
    let now = clock::now();
    let mut core = shared.core();
    let home = core.trial_home(now);
    let passage = core
        .quarantine
        .check(now, subjects(call), home, TrialTarget::default());
    drop(core);
    let (subject, retry_after) = match passage {
        Passage::Free => return Ok(false),
        Passage::Trial(TrialId { subject, .. }) => {
            let id = &*call.id;
            tracing::info!(event = "trial", section = hex(subject), id, "section");
            return Ok(true);
        }
        Passage::Ask(ask) => (ask.subject, TRIAL_REPLY_TIMEOUT),
        Passage::Wait { subject, until } => (subject, until.since(now)),
        Passage::Held {
            subject,
            retry_after,
        } => (subject, retry_after),
    };
    shared.metrics.calls_held.inc();
    let retry_after = retry_after.max(MIN_HELD_DELAY);
    Err(held_failure(subject).with_retry_after(retry_after))
}

fn held_failure(subject: Subject) -> Failure {
    Failure::new(ErrorCode::PromptHeld, subject.to_string())
}

fn hex(subject: Subject) -> String {
    format!("{:x}", subject.id())
}

impl CallForwarder {
    /// Checks before an attempt that no section has been held since the call was admitted.
    pub(crate) fn recheck_sections(&self) -> Result<(), Failure> {
        if self.request.is_trial && self.attempts == AttemptCounts::default() {
            return Ok(());
        }
        let held = self
            .shared
            .core()
            .quarantine
            .is_held(subjects(&self.request.call));
        match held {
            None => Ok(()),
            Some(subject) if self.attempts.maybe_run > 0 => {
                Err(Failure::new(ErrorCode::Failed, subject.to_string()).in_doubt())
            }
            Some(subject) => Err(held_failure(subject).with_retry_after(DIGEST_INTERVAL)),
        }
    }

    /// Records that an answer that began at `began` is complete or has survived.
    pub(crate) fn record_answer(&self, began: Time) {
        if self.request.call.prompt.is_none() {
            return;
        }
        let subjects = subjects(&self.request.call);
        let now = clock::now();
        let changes = self
            .shared
            .core()
            .quarantine
            .record_answer(now, began, subjects);
        log_changes(&self.shared, &changes);
    }

    /// Records that an endpoint has begun an answer.
    pub(crate) fn record_begin(&self, key: EndpointKey) {
        if let Some(endpoint) = self.shared.core().endpoints.get_mut(key) {
            endpoint.has_crashed = false;
        }
    }

    /// Records that the connection to an endpoint broke during the call, and checks whether the
    /// endpoint has crashed. `began` is when its answer began, if it did.
    pub(crate) fn record_cut(&self, key: EndpointKey, began: Option<Time>) {
        let now = clock::now();
        let survived = began.is_some_and(|began| now.since(began) >= SURVIVAL_TIME);
        let sections: Vec<u64> = shared_sections(&self.request.call).collect();
        if survived || sections.is_empty() {
            return;
        }
        let mut core = self.shared.core();
        let Some(endpoint) = core.endpoints.get(key) else {
            return;
        };
        if endpoint.has_crashed && began.is_none() {
            // It may be down still; a call that never reached it is no evidence.
            return;
        }
        let address = endpoint.entry.address;
        let cut = CutCall {
            endpoint: (endpoint.name_hash >> 32) as u32,
            at: now,
            begun: began.is_some(),
            request: None,
            sections,
        };
        let is_checked = core.pending_cuts.contains_key(&key);
        let pending = core.pending_cuts.entry(key).or_default();
        if pending.len() < MAX_PENDING_CUTS {
            pending.push(cut);
        }
        drop(core);
        if !is_checked {
            tokio::spawn(check_endpoint(Arc::clone(&self.shared), key, address));
        }
    }
}

/// Checks whether an endpoint has crashed; if so, its broken calls count as evidence.
async fn check_endpoint(shared: Arc<Shared>, key: EndpointKey, address: SocketAddr) {
    let crashed = has_crashed(&shared, address).await;
    let now = clock::now();
    let mut core = shared.core();
    let cuts = core.pending_cuts.remove(&key).unwrap_or_default();
    let name = core.endpoints.get(key).map(|e| e.entry.name.clone());
    let mut changes = Vec::new();
    if crashed {
        if let Some(endpoint) = core.endpoints.get_mut(key) {
            endpoint.has_crashed = true;
        }
        for cut in &cuts {
            changes.extend(core.quarantine.record_crash(now, cut));
        }
    }
    drop(core);
    tracing::info!(
        event = if crashed {
            "crashed"
        } else {
            "broke_connections"
        },
        endpoint = name.as_ref().map(poplarswitch_entity::EndpointName::as_str),
        calls = cuts.len(),
        begun = cuts.iter().filter(|cut| cut.begun).count(),
        "endpoint"
    );
    if crashed {
        shared.metrics.crashes.inc();
        shared.quarantine_news.notify_one();
    }
    log_changes(&shared, &changes);
}

async fn has_crashed(shared: &Shared, address: SocketAddr) -> bool {
    shared.metrics.probes.inc();
    shared.metrics.connections.inc();
    let report = async {
        match tcp::open(address, CHECK_TIMEOUT).await {
            Ok(sender) => {
                let connection = Connection {
                    sender,
                    reused: false,
                };
                fetch_report(shared, connection, address).await.is_err()
            }
            Err(tcp::ConnectError::TimedOut { .. }) => false,
            Err(_) => true,
        }
    };
    // An endpoint that doesn't answer may be cut off or slow.
    timeout(CHECK_TIMEOUT, report).await.unwrap_or(false)
}

/// Logs changes of held sections, and tells other VMs of them.
pub(crate) fn log_changes(shared: &Shared, changes: &[HoldChange]) {
    for change in changes {
        match change {
            HoldChange::Held {
                subject,
                crashes,
                remote,
            } => {
                shared.metrics.sections_held.inc();
                let section = hex(*subject);
                tracing::info!(event = "held", section, crashes, remote, "section");
            }
            HoldChange::Released { subject } => {
                tracing::info!(event = "released", section = hex(*subject), "section");
            }
        }
    }
    if !changes.is_empty() {
        shared.quarantine_news.notify_one();
        shared.holds_changed.notify_one();
    }
}

/// Sends digests to other VMs until the process exits: at once if there is news, and regularly.
pub(crate) async fn tell(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    loop {
        tokio::select! {
            () = shared.quarantine_news.notified() => {}
            () = sleep(DIGEST_INTERVAL) => {}
        }
        let now = clock::now();
        let (receivers, changes) = {
            let mut core = shared.core();
            let changes = core.quarantine.expire(now);
            let mut rng = core.rng.clone();
            let receivers = core.membership.receivers(now, || rng.next_u64());
            core.rng = rng;
            (receivers, changes)
        };
        log_changes(&shared, &changes);
        if let Some(bytes) = encode_digest(&shared, now) {
            let port = shared.settings.listen.peers.port();
            for ip in receivers {
                send(&socket, &bytes, SocketAddr::new(ip.into(), port)).await;
            }
        }
        sleep(MIN_DIGEST_INTERVAL).await;
    }
}

/// Sends a digest to a VM that has just started or come back.
pub(crate) async fn tell_one(shared: &Shared, socket: &UdpSocket, peer: SocketAddr) {
    if let Some(bytes) = encode_digest(shared, clock::now()) {
        send(socket, &bytes, peer).await;
    }
}

/// The encoded digest; none if there is nothing to tell.
fn encode_digest(shared: &Shared, now: Time) -> Option<Vec<u8>> {
    let digest = shared.core().quarantine.digest(now);
    if digest.is_empty() {
        return None;
    }
    let mut bytes = Vec::new();
    match ciborium::into_writer(&digest, &mut bytes) {
        Ok(()) => Some(bytes),
        Err(error) => {
            tracing::warn!(event = "unwritable", %error, "section");
            None
        }
    }
}

async fn send(socket: &UdpSocket, bytes: &[u8], peer: SocketAddr) {
    // A failed send has the same effect as a lost datagram; news is repeated.
    if let Err(error) = socket.send_to(bytes, peer).await {
        tracing::debug!(%peer, %error, "send a digest");
    }
}

/// Takes in the digest of another VM. In a large cluster, each VM tells only a few others, so news is
/// passed on.
pub(crate) fn receive(shared: &Shared, digest: &QuarantineDigest) {
    let mut core = shared.core();
    let (is_new, changes) = core.quarantine.merge(clock::now(), digest);
    let is_passed_on = is_new && !core.membership.tells_all();
    drop(core);
    log_changes(shared, &changes);
    if is_passed_on {
        shared.quarantine_news.notify_one();
    }
}
