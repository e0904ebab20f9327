//! Reads configuration and endpoints from the platform.
//!
//! Runs on every VM and works only while [`poplarswitch_ingress::SourceSelector`] says that this VM
//! reads the platform itself. The configuration is watched with short waits, because the moment
//! at which a watch was sent is the proof that the configuration is the newest. Endpoints are
//! watched with longer ones.

use crate::{PlatformCall, PlatformReply, clock, shared::Shared, store::StoreClient};
use core::time::Duration;
use poplarswitch_entity::{EndpointName, Time};
use poplarswitch_ingress::{
    Config, EndpointEntry, EntryChanges, LocalRemoval, RoutingTable, SourceSelector,
};
use poplarswitch_platform::Backoff;
use std::sync::{
    Arc,
    atomic::{AtomicBool, AtomicU64, Ordering},
};
use tokio::time::sleep;

/// Wait of a watch on the configuration; bounds the age of the proof.
const SET_WAIT: Duration = Duration::from_millis(800);
/// Wait of a watch on endpoints; a cut is noticed by the other watch.
const ENDPOINTS_WAIT: Duration = Duration::from_secs(2);
/// Pause after changes of endpoints, which joins those that come together.
const CHANGES_PAUSE: Duration = Duration::from_millis(50);
/// Time between looks whether this VM must read.
const IDLE_LOOK: Duration = Duration::from_millis(150);
/// Time after the platform's return within which lapsed entries of live endpoints are back.
const LAPSE_GRACE: Duration = Duration::from_millis(2_100);

/// What both watches know of the platform.
#[derive(Debug, Default)]
pub(crate) struct Outage {
    /// When a call last failed, and when one was first answered after it; in microseconds.
    failed: AtomicU64,
    back: AtomicU64,
}

impl Outage {
    fn note_failure(&self) {
        self.failed.store(clock::now().0, Ordering::Relaxed);
        self.back.store(0, Ordering::Relaxed);
    }

    fn note_answer(&self) {
        if self.back.load(Ordering::Relaxed) == 0 {
            self.back.store(clock::now().0, Ordering::Relaxed);
        }
    }

    /// Until when entries that are missing may only have lapsed.
    fn grace(&self, now: Time) -> Option<Time> {
        if self.failed.load(Ordering::Relaxed) == 0 {
            return None;
        }
        let back = match self.back.load(Ordering::Relaxed) {
            0 => now,
            at => Time(at),
        };
        let until = back + LAPSE_GRACE;
        (until > now).then_some(until)
    }
}

/// The reader of one VM.
#[derive(Debug)]
pub(crate) struct Reader {
    shared: Arc<Shared>,
    store: Arc<StoreClient>,
    outage: Outage,
    /// A watch on the endpoints is open.
    watching: AtomicBool,
}

impl Reader {
    pub(crate) fn new(shared: Arc<Shared>, store: Arc<StoreClient>) -> Self {
        Self {
            shared,
            store,
            outage: Outage::default(),
            watching: AtomicBool::new(false),
        }
    }

    /// Whether this VM reads the platform itself.
    fn reads(&self) -> bool {
        self.shared.core().reads(clock::now())
    }

    /// The longest wait between calls that fail.
    fn longest_wait(&self) -> Duration {
        let core = self.shared.core();
        let order = core.roster.local_vms(clock::now());
        SourceSelector::max_backoff(core.roster.local_ip(), &order)
    }

    /// Keeps the configuration up to date.
    pub(crate) async fn follow_set(self: Arc<Self>) {
        let mut watched = None;
        let mut backoff = Backoff::new(self.shared.draw());
        loop {
            if !self.reads() {
                self.shared.core().troubled = false;
                watched = None;
                self.shared.idle(IDLE_LOOK).await;
                continue;
            }
            let call = match watched {
                Some(after) => PlatformCall::WatchSet {
                    after,
                    wait: SET_WAIT,
                },
                None => PlatformCall::ReadSet,
            };
            let sent = clock::now();
            match self.call(&call).await {
                Some(PlatformReply::Set { declared, revision }) => {
                    backoff.reset();
                    watched = Some(revision);
                    // The platform answers, so the open watch would have told of a change.
                    if self.watching.load(Ordering::Relaxed) {
                        self.prove_endpoints(sent);
                    }
                    apply(&self.shared, declared.map(|d| *d), sent, "platform");
                }
                Some(PlatformReply::HistoryGone) => watched = None,
                _ => {
                    sleep(backoff.next_wait().min(self.longest_wait())).await;
                }
            }
        }
    }

    /// Keeps the endpoints up to date.
    pub(crate) async fn follow_endpoints(self: Arc<Self>) {
        // A view that came from a neighbour is as good a start as a listing.
        let mut listed = true;
        let mut backoff = Backoff::new(self.shared.draw());
        loop {
            if !self.reads() {
                listed = true;
                self.shared.idle(IDLE_LOOK).await;
                continue;
            }
            let done = if listed && self.shared.core().fleet.revision() > 0 {
                self.watch_endpoints(&mut listed).await
            } else {
                listed = self.list_endpoints().await;
                listed
            };
            if done {
                backoff.reset();
            } else {
                sleep(backoff.next_wait().min(self.longest_wait())).await;
            }
        }
    }

    async fn watch_endpoints(&self, listed: &mut bool) -> bool {
        let after = self.shared.core().fleet.revision();
        let call = PlatformCall::WatchEndpoints {
            after,
            wait: ENDPOINTS_WAIT,
        };
        let sent = clock::now();
        self.watching.store(true, Ordering::Relaxed);
        let reply = self.call(&call).await;
        self.watching.store(false, Ordering::Relaxed);
        match reply {
            Some(PlatformReply::Endpoints {
                entries,
                removed,
                errors,
                revision,
                ..
            }) => {
                report(&errors);
                let quiet = self.take_changes(entries, removed, sent, revision);
                if !quiet {
                    sleep(CHANGES_PAUSE).await;
                }
                true
            }
            Some(PlatformReply::HistoryGone) => {
                tracing::info!(event = "history_gone", after, "platform");
                *listed = false;
                true
            }
            _ => false,
        }
    }

    /// Takes changes of endpoints; returns whether there were none.
    fn take_changes(
        &self,
        entries: Vec<EndpointEntry>,
        removed: Vec<(EndpointName, u64)>,
        sent: Time,
        revision: u64,
    ) -> bool {
        let quiet = entries.is_empty() && removed.is_empty();
        let grace_end = self.outage.grace(clock::now());
        let gone = |(name, revision)| LocalRemoval {
            name,
            revision,
            grace_end,
        };
        let news = EntryChanges {
            entries,
            removed: removed.into_iter().map(gone).collect(),
            revision,
        };
        let mut core = self.shared.core();
        let changes = core.fleet.apply(news);
        core.endpoints_proved = core.endpoints_proved.max(Some(sent));
        drop(core);
        self.shared.note_fleet(&changes, "platform");
        quiet
    }

    async fn list_endpoints(&self) -> bool {
        let mut all: Vec<EndpointEntry> = Vec::new();
        let mut after = None;
        let mut first = None;
        let sent = clock::now();
        loop {
            let reply = self.call(&PlatformCall::ListEndpoints { after }).await;
            let Some(PlatformReply::Endpoints {
                entries,
                errors,
                more,
                revision,
                ..
            }) = reply
            else {
                return false;
            };
            report(&errors);
            all.extend(entries);
            // What changes between two pages is seen by a watch from the first page's revision.
            let first = *first.get_or_insert(revision);
            if more.is_some() {
                after = more;
                continue;
            }
            let grace = self.outage.grace(clock::now());
            let changes = self.shared.core().fleet.apply_listing(all, first, grace);
            self.prove_endpoints(sent);
            self.shared.note_fleet(&changes, "platform");
            return true;
        }
    }

    fn prove_endpoints(&self, sent: Time) {
        let mut core = self.shared.core();
        core.endpoints_proved = core.endpoints_proved.max(Some(sent));
    }

    async fn call(&self, call: &PlatformCall) -> Option<PlatformReply> {
        self.shared.metrics.platform_calls.inc();
        let was_out = self.outage.grace(clock::now()).is_some();
        match self.store.call(call).await {
            Ok(PlatformReply::Refused(status)) => {
                self.fail(call, was_out, &format!("status {status}"));
                None
            }
            Ok(reply) => {
                self.outage.note_answer();
                if core::mem::take(&mut self.shared.core().troubled) {
                    tracing::info!(event = "regained", call = call.name(), "platform");
                }
                Some(reply)
            }
            Err(error) => {
                self.fail(call, was_out, &error.to_string());
                None
            }
        }
    }

    fn fail(&self, call: &PlatformCall, was_out: bool, reason: &str) {
        self.shared.metrics.platform_failures.inc();
        self.outage.note_failure();
        let before = core::mem::replace(&mut self.shared.core().troubled, true);
        if !before {
            // Neighbours that ask this VM must look elsewhere at once.
            self.shared.announce();
        }
        if !was_out {
            tracing::warn!(event = "lost", call = call.name(), reason, "platform");
        }
    }
}

/// Brings a configuration into force if it is newer, and takes the proof of its freshness.
pub(crate) fn apply(shared: &Shared, declared: Option<Config>, proved: Time, source: &'static str) {
    let current = shared.table.load().version();
    if let Some(declared) = declared {
        let version = declared.version;
        if version > current {
            let routes = declared.routes.len();
            shared.table.store(Arc::new(RoutingTable::new(declared)));
            tracing::info!(
                event = "applied",
                version,
                before = current,
                routes,
                source,
                "set"
            );
        } else if version < current {
            // A reply that was overtaken proves nothing of the version in force.
            tracing::warn!(event = "ignored", version, current, source, "set");
            return;
        }
    }
    let newer = shared.core().freshness.confirm(proved);
    if newer {
        shared.announce();
    }
}

fn report(errors: &[String]) {
    for error in errors {
        tracing::warn!(event = "unusable", error, "endpoint");
    }
}
