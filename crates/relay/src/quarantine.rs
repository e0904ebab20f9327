//! Evidence on requests and sections of prompts that crash endpoints: collection from calls, and
//! exchange with other VMs. Calls with a held subject are in [`crate::trials`].
//!
//! A connection that breaks doesn't show that its endpoint crashed. Before a broken call counts, a new
//! connection is opened, on which an engine is asked for its report; only an endpoint that can't be
//! reached or closes that connection too has crashed. A VM that reaches no other endpoint of the service
//! either may have lost its links; then the evidence counts only if no other VM reaches the service.

use crate::{
    call_forwarder::CallForwarder, clock, placement::fetch_report, pool::Connection,
    reply::Failure, shared::Shared, tcp, trials::Trial,
};
use core::{iter, net::SocketAddr, time::Duration};
use poplarswitch_entity::Time;
use poplarswitch_ingress::{
    Call, CutCall, EndpointKey, HoldChange, Prompt, QuarantineDigest, RequestId, SURVIVAL_TIME,
    Subject, TrialOutcome,
};
use poplarswitch_wire::ErrorCode;
use rand::Rng as _;
use std::{collections::HashMap, sync::Arc};
use tokio::{
    net::UdpSocket,
    time::{sleep, timeout},
};

/// Time limit for the check whether an endpoint has crashed; one that is alive but slow has not.
const CHECK_TIMEOUT: Duration = Duration::from_millis(300);
/// Interval at which digests are repeated.
const DIGEST_INTERVAL: Duration = Duration::from_millis(300);
/// Minimum interval between digests.
const MIN_DIGEST_INTERVAL: Duration = Duration::from_millis(20);
/// Time within which an endpoint that is down closes a connection that its host has accepted.
const CLOSE_TIME: Duration = Duration::from_millis(150);
/// Maximum number of broken calls that wait for the check of one endpoint.
const MAX_PENDING_CUTS: usize = 256;

/// A call whose connection broke, while its endpoint is being checked.
#[derive(Debug)]
pub(crate) struct PendingCut {
    cut: CutCall,
    /// The trial that the call is; it ends with the check.
    trial: Option<Trial>,
}

/// Broken calls of each endpoint that is being checked.
pub(crate) type PendingCuts = HashMap<EndpointKey, Vec<PendingCut>>;

/// Identifiers of the sections of a call's prompt that other calls may share.
fn shared_sections(call: &Call) -> impl Iterator<Item = u64> {
    let sections = call.prompt.iter().flat_map(Prompt::shared_sections);
    sections.map(|section| section.id)
}

/// Subjects that a call shares with others and that may crash its endpoint.
pub(crate) fn subjects(id: RequestId, call: &Call) -> impl Iterator<Item = Subject> {
    let sections = shared_sections(call).map(Subject::Section);
    iter::once(Subject::Request(id)).chain(sections)
}

pub(crate) fn held_failure(subject: Subject) -> Failure {
    let code = match subject {
        Subject::Section(_) => ErrorCode::PromptHeld,
        Subject::Request(_) => ErrorCode::RequestHeld,
    };
    Failure::new(code, subject.to_string())
}

fn hex(subject: Subject) -> String {
    format!("{:x}", subject.id())
}

/// Logs what happened to a subject; `id` is the call's.
pub(crate) fn log_subject(event: &'static str, subject: Subject, id: Option<&str>) {
    match subject {
        Subject::Section(_) => tracing::info!(event, section = hex(subject), id, "section"),
        Subject::Request(_) => tracing::info!(event, request = hex(subject), id, "request"),
    }
}

/// Logs how a trial of a subject ended.
pub(crate) fn log_trial(subject: Subject, outcome: &str, id: Option<&str>, cause: &str) {
    let event = "trial_ended";
    let name = hex(subject);
    match subject {
        Subject::Section(_) => tracing::info!(event, section = name, id, outcome, cause, "section"),
        Subject::Request(_) => tracing::info!(event, request = name, id, outcome, cause, "request"),
    }
}

impl CallForwarder {
    /// Records that an answer that began at `began` is complete or has survived. The rest of a stream
    /// doesn't show that its request is sound, nor does a failure that its prompt is.
    pub(crate) fn record_answer(&mut self, began: Time, is_success: bool) {
        let now = clock::now();
        let request = &self.request;
        let is_whole = self.record.resumed == 0 && request.call.continues.is_none();
        let subjects = subjects(request.id, &request.call);
        let subjects = subjects.filter(|subject| match subject {
            Subject::Request(_) => is_whole,
            Subject::Section(_) => is_success,
        });
        let changes = self
            .shared
            .core()
            .quarantine
            .record_answer(now, began, subjects);
        log_changes(&self.shared, &changes);
        if is_whole {
            self.record_trial(TrialOutcome::Answered);
        }
    }

    /// Whether the call goes to an engine, which can report.
    pub(crate) fn is_model_call(&self) -> bool {
        let table = self.shared.table.load();
        let service = table.service(&self.request.service);
        service.is_some_and(|service| service.engine.is_some())
    }

    /// Records that an endpoint is alive.
    pub(crate) fn record_alive(&self, key: EndpointKey) {
        if let Some(endpoint) = self.shared.core().endpoints.get_mut(key) {
            endpoint.has_crashed = false;
        }
    }

    /// Records that the connection to an endpoint broke during the call, and checks whether the
    /// endpoint has crashed. `began` is when its answer began, if it did.
    pub(crate) fn record_cut(&mut self, key: EndpointKey, began: Option<Time>) {
        let now = clock::now();
        let is_engine = self.is_model_call();
        let survived = began.is_some_and(|began| now.since(began) >= SURVIVAL_TIME);
        let sections: Vec<u64> = shared_sections(&self.request.call).collect();
        if survived {
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
            request: Some(self.request.id),
            sections,
        };
        let is_checked = core.pending_cuts.contains_key(&key);
        let pending = core.pending_cuts.entry(key).or_default();
        if pending.len() < MAX_PENDING_CUTS {
            let trial = self.trial.take();
            pending.push(PendingCut { cut, trial });
        }
        drop(core);
        if !is_checked {
            tokio::spawn(check_endpoint(
                Arc::clone(&self.shared),
                key,
                address,
                is_engine,
            ));
        }
    }
}

/// Checks whether an endpoint has crashed; if so, its broken calls count as evidence.
async fn check_endpoint(
    shared: Arc<Shared>,
    key: EndpointKey,
    address: SocketAddr,
    is_engine: bool,
) {
    let crashed = has_crashed(&shared, address, is_engine).await && !shared.is_cut_off(key).await;
    let now = clock::now();
    let mut core = shared.core();
    let mut cuts = core.pending_cuts.remove(&key).unwrap_or_default();
    let name = core.endpoints.get(key).map(|e| e.entry.name.clone());
    let mut changes = Vec::new();
    if crashed {
        if let Some(endpoint) = core.endpoints.get_mut(key) {
            endpoint.has_crashed = true;
        }
        for pending in &cuts {
            changes.extend(core.quarantine.record_crash(now, &pending.cut));
        }
    }
    drop(core);
    // A broken connection to an endpoint that lives tells nothing of the subject.
    if !crashed {
        let trials = cuts.iter_mut().filter_map(|cut| cut.trial.as_mut());
        trials.for_each(Trial::survive);
    }
    tracing::info!(
        event = if crashed {
            "crashed"
        } else {
            "broke_connections"
        },
        endpoint = name.as_ref().map(poplarswitch_entity::EndpointName::as_str),
        calls = cuts.len(),
        begun = cuts.iter().filter(|pending| pending.cut.begun).count(),
        "endpoint"
    );
    if crashed {
        shared.metrics.crashes.inc();
        shared.quarantine_news.notify_one();
    }
    log_changes(&shared, &changes);
}

/// Checks that a new connection to a plain service, which has no report, stays open: an endpoint that
/// is down may have its host accept connections, and closes them.
pub(crate) async fn check_open(connection: Connection) -> Result<Connection, String> {
    sleep(CLOSE_TIME).await;
    if connection.sender.is_closed() {
        return Err("the endpoint closed the connection".to_owned());
    }
    Ok(connection)
}

async fn has_crashed(shared: &Shared, address: SocketAddr, is_engine: bool) -> bool {
    shared.metrics.connections.inc();
    let report = async {
        let sender = match tcp::open(address, CHECK_TIMEOUT).await {
            Ok(sender) => sender,
            Err(tcp::ConnectError::TimedOut { .. }) => return false,
            Err(_) => return true,
        };
        let connection = Connection {
            sender,
            reused: false,
            open: clock::now(),
        };
        if !is_engine {
            return check_open(connection).await.is_err();
        }
        shared.metrics.probes.inc();
        fetch_report(shared, connection, address).await.is_err()
    };
    // An endpoint that doesn't answer may be cut off or slow.
    timeout(CHECK_TIMEOUT, report).await.unwrap_or(false)
}

/// Logs changes of held subjects, tells other VMs of them, and wakes the calls that wait for them.
pub(crate) fn log_changes(shared: &Shared, changes: &[HoldChange]) {
    for change in changes {
        match change {
            HoldChange::Held {
                subject,
                crashes,
                remote,
            } => {
                shared.metrics.subjects_held.inc();
                let id = hex(*subject);
                match subject {
                    Subject::Section(_) => {
                        tracing::info!(event = "held", section = id, crashes, remote, "section");
                    }
                    Subject::Request(_) => {
                        tracing::info!(event = "held", request = id, crashes, remote, "request");
                    }
                }
            }
            HoldChange::Released { subject } => {
                log_subject("released", *subject, None);
                shared.released.send_replace(());
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
