//! Reads the configuration and the endpoints from the platform.
//!
//! The reader runs on every VM, but it is active only while
//! [`poplarswitch_ingress::SourceSelector`] selects the platform as the source. The configuration
//! is watched with short waits, because a reply confirms the configuration as of the time at which
//! the watch was sent. Endpoints are watched with longer waits.

use crate::{
    PlatformAnswer, PlatformCall, PlatformReply, clock,
    platform_client::{PlatformClient, PlatformError},
    shared::Shared,
};
use core::time::Duration;
use http::StatusCode;
use poplarswitch_entity::{EndpointName, Time};
use poplarswitch_ingress::{
    Config, EndpointEntry, EntryChanges, LocalRemoval, Packed, Revision, RoutingTable,
    ServiceVersion, SoftwareVersion, SourceSelector,
};
use poplarswitch_platform::Backoff;
use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};
use tokio::time::sleep;

/// Wait of a watch on the configuration; limits the age of its confirmation.
const CONFIG_WATCH_WAIT: Duration = Duration::from_millis(800);
/// Wait of a watch on endpoints; a lost connection to the platform is detected by the watch on the
/// configuration.
const ENDPOINT_WATCH_WAIT: Duration = Duration::from_secs(2);
/// Delay after changes of endpoints, so that one reply contains several changes that occur
/// together.
const CHANGE_BATCH_DELAY: Duration = Duration::from_millis(50);
/// Time for each VM between two reads for decisions of this one, so that all VMs together read at a
/// limited rate.
const DEMAND_SPACING: Duration = Duration::from_millis(1);
/// Delay after a read for a decision that failed.
const DEMAND_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Interval between checks whether this VM should read the platform.
const POLL_INTERVAL: Duration = Duration::from_millis(150);

/// Reader of the configuration and the endpoints.
#[derive(Debug)]
pub(crate) struct PlatformReader {
    shared: Arc<Shared>,
    client: Arc<PlatformClient>,
    /// Whether a watch on the endpoints is open.
    watch_open: AtomicBool,
}

impl PlatformReader {
    pub(crate) fn new(shared: Arc<Shared>, client: Arc<PlatformClient>) -> Self {
        Self {
            shared,
            client,
            watch_open: AtomicBool::new(false),
        }
    }

    /// Whether this VM should read the platform itself.
    fn should_read(&self) -> bool {
        self.shared.core().should_read_platform(clock::now())
    }

    /// Maximum delay after a failed call.
    fn max_backoff(&self) -> Duration {
        let core = self.shared.core();
        let order = core.membership.local_vms(clock::now());
        SourceSelector::max_backoff(core.membership.local_ip(), &order)
    }

    /// Keeps the configuration up to date.
    pub(crate) async fn follow_config(self: Arc<Self>) {
        let mut last_revision: Option<Revision> = None;
        let mut backoff = Backoff::new(self.shared.random_number());
        loop {
            if !self.should_read() {
                self.shared.core().platform_failed = false;
                last_revision = None;
                self.shared.wait_for_change(POLL_INTERVAL).await;
                continue;
            }
            let call = match last_revision {
                Some(after) => PlatformCall::WatchSet {
                    after,
                    wait: CONFIG_WATCH_WAIT,
                },
                None => PlatformCall::ReadSet,
            };
            let sent = clock::now();
            match self.call(&call).await {
                // A watch from a revision of another era doesn't show all changes.
                Some(PlatformReply::Set { revision, .. })
                    if last_revision.is_some_and(|after| after.era != revision.era) =>
                {
                    last_revision = None;
                }
                Some(PlatformReply::Set { declared, revision }) => {
                    backoff.reset();
                    last_revision = Some(revision);
                    // The platform is reachable, so the open watch would have reported a change.
                    if self.watch_open.load(Ordering::Relaxed) {
                        self.confirm_endpoints(sent, revision.era);
                    }
                    let config = declared.map(|config| NewConfig::from(*config));
                    apply_config(&self.shared, config, sent, "platform");
                }
                Some(PlatformReply::HistoryGone) => last_revision = None,
                reply => {
                    if reply == Some(PlatformReply::Unreadable) {
                        last_revision = None;
                    }
                    sleep(backoff.next_wait().min(self.max_backoff())).await;
                }
            }
        }
    }

    /// Keeps the endpoints up to date.
    pub(crate) async fn follow_endpoints(self: Arc<Self>) {
        // A view received from another VM can be continued by a watch, without a listing.
        let mut listed = true;
        let mut backoff = Backoff::new(self.shared.random_number());
        loop {
            if !self.should_read() {
                listed = true;
                self.shared.wait_for_change(POLL_INTERVAL).await;
                continue;
            }
            let succeeded =
                if listed && self.shared.core().endpoints.revision() != Revision::default() {
                    self.watch_endpoints(&mut listed).await
                } else {
                    listed = self.list_endpoints().await;
                    listed
                };
            if succeeded {
                backoff.reset();
            } else {
                sleep(backoff.next_wait().min(self.max_backoff())).await;
            }
        }
    }

    async fn watch_endpoints(&self, listed: &mut bool) -> bool {
        let after = self.shared.core().endpoints.revision();
        let call = PlatformCall::WatchEndpoints {
            after,
            wait: ENDPOINT_WATCH_WAIT,
        };
        let sent = clock::now();
        self.watch_open.store(true, Ordering::Relaxed);
        let reply = tokio::select! {
            reply = self.call(&call) => reply,
            () = self.shared.wait_for_era_after(Some(after.era)) => Some(PlatformReply::HistoryGone),
        };
        self.watch_open.store(false, Ordering::Relaxed);
        match reply {
            Some(PlatformReply::Endpoints {
                entries,
                removed,
                passed,
                errors,
                revision,
                ..
            }) if revision.era == after.era => {
                log_errors(&errors);
                self.add_versions(&entries, passed);
                let unchanged = self.apply_changes(entries, removed, sent, revision);
                if !unchanged {
                    sleep(CHANGE_BATCH_DELAY).await;
                }
                true
            }
            // A watch from a revision of another era doesn't show all changes.
            Some(PlatformReply::HistoryGone | PlatformReply::Endpoints { .. }) => {
                let Revision { era, number } = after;
                tracing::info!(event = "history_gone", after = number, era, "platform");
                *listed = false;
                true
            }
            // The same watch would bring the same reply.
            Some(PlatformReply::Unreadable) => {
                *listed = false;
                false
            }
            _ => false,
        }
    }

    /// Records the versions in the entries of a watch, and those that have `passed` unseen.
    fn add_versions(&self, entries: &[EndpointEntry], passed: Vec<ServiceVersion>) {
        let seen = entries.iter().map(EndpointEntry::service_version);
        let mut core = self.shared.core();
        let mut unseen = passed.iter().filter(|v| !core.origins.knows_version(v));
        if let Some((service, software)) = unseen.next() {
            let (service, software) = (
                service.as_str(),
                software.as_ref().map(SoftwareVersion::as_str),
            );
            tracing::info!(event = "passed", service, software, "stream");
        }
        core.origins.add_versions(clock::now(), seen.chain(passed));
    }

    /// Applies changes of endpoints; returns whether there were none.
    fn apply_changes(
        &self,
        entries: Vec<EndpointEntry>,
        removed: Vec<(EndpointName, Revision)>,
        sent: Time,
        revision: Revision,
    ) -> bool {
        let unchanged = entries.is_empty() && removed.is_empty();
        let grace_end = self.shared.core().outage.grace_end(clock::now());
        let to_removal = |(name, revision)| LocalRemoval {
            name,
            revision,
            grace_end,
        };
        let entry_changes = EntryChanges {
            entries,
            removed: removed.into_iter().map(to_removal).collect(),
            revision,
        };
        let mut core = self.shared.core();
        let held_before = core.endpoints.lapsed_names();
        let changes = core.endpoints.apply(entry_changes);
        let held = core.endpoints.lapsed_names();
        core.endpoints_confirmed = core.endpoints_confirmed.max(Some(sent));
        let is_read = core.endpoints.revision().era == revision.era;
        drop(core);
        self.shared.record_lapses(&held_before, &held, "platform");
        if is_read {
            self.shared.record_endpoints_read(sent);
        }
        self.shared.handle_endpoint_changes(&changes, "platform");
        unchanged
    }

    async fn list_endpoints(&self) -> bool {
        let mut all: Vec<EndpointEntry> = Vec::new();
        let mut after = None;
        let mut first_revision = None;
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
            log_errors(&errors);
            all.extend(entries);
            // Changes between two pages are reported by a watch from the revision of the first
            // page.
            let first_revision: Revision = *first_revision.get_or_insert(revision);
            if revision.era != first_revision.era {
                return false;
            }
            if more.is_some() {
                after = more;
                continue;
            }
            let now = clock::now();
            let mut core = self.shared.core();
            let era_grace = core.endpoints.era_grace(first_revision, now);
            let grace_end = core.outage.grace_end(now).max(era_grace);
            let held_before = core.endpoints.lapsed_names();
            let seen = all.iter().map(EndpointEntry::service_version);
            core.origins.add_versions(now, seen);
            self.shared.record_listed(&mut core, now, first_revision);
            let changes = core.endpoints.apply_listing(all, first_revision, grace_end);
            let held = core.endpoints.lapsed_names();
            drop(core);
            self.shared.record_lapses(&held_before, &held, "platform");
            if self.confirm_endpoints(sent, first_revision.era) {
                self.shared.record_endpoints_read(sent);
            }
            self.shared.handle_endpoint_changes(&changes, "platform");
            return true;
        }
    }

    /// Records a confirmation of the view by the platform in an era; returns whether the view is of
    /// that era.
    fn confirm_endpoints(&self, sent: Time, era: u64) -> bool {
        let mut core = self.shared.core();
        let is_same = core.endpoints.revision().era == era;
        if is_same {
            core.endpoints_confirmed = core.endpoints_confirmed.max(Some(sent));
        }
        is_same
    }

    /// Reads the endpoints whenever a decision needs them as of a later time than they are known,
    /// once for all decisions that wait.
    pub(crate) async fn read_on_demand(self: Arc<Self>) {
        let mut tried = None;
        loop {
            tried = self.shared.wait_for_wanted(tried).await;
            let vms = {
                let core = self.shared.core();
                core.membership.alive_count(clock::now())
            };
            match self.read_now().await {
                Ok(()) => sleep(DEMAND_SPACING * vms as u32).await,
                Err(reason) => {
                    tracing::warn!(event = "failed", call = "confirm", reason, "platform");
                    sleep(DEMAND_RETRY_DELAY).await;
                }
            }
        }
    }

    /// Reads the endpoints once, also if another VM reads the platform for this one. A watch that fails
    /// says nothing about this VM's sources, so it counts as no outage.
    async fn read_now(&self) -> Result<(), String> {
        let after = self.shared.core().endpoints.revision();
        if after == Revision::default() {
            return self.list_or_fail().await;
        }
        let call = PlatformCall::WatchEndpoints {
            after,
            wait: Duration::ZERO,
        };
        self.shared.metrics.platform_calls.inc();
        let sent = clock::now();
        let answer = self.client.call(&call).await;
        let answer = answer.map_err(|error| error.to_string())?;
        self.record_answer(&answer);
        match answer.reply {
            PlatformReply::Endpoints {
                entries,
                removed,
                passed,
                errors,
                revision,
                ..
            } if revision.era == after.era => {
                log_errors(&errors);
                self.add_versions(&entries, passed);
                self.apply_changes(entries, removed, sent, revision);
                Ok(())
            }
            PlatformReply::HistoryGone | PlatformReply::Endpoints { .. } => {
                self.list_or_fail().await
            }
            reply => Err(format!("unexpected reply: {reply:?}")),
        }
    }

    async fn list_or_fail(&self) -> Result<(), String> {
        let is_listed = self.list_endpoints().await;
        is_listed
            .then_some(())
            .ok_or_else(|| "the endpoints can't be listed".to_owned())
    }

    async fn call(&self, call: &PlatformCall) -> Option<PlatformReply> {
        self.shared.metrics.platform_calls.inc();
        let in_outage = self.shared.core().outage.grace_end(clock::now()).is_some();
        let answer = match self.client.call(call).await {
            Ok(answer) => answer,
            Err(error) => {
                self.shared.core().outage.record_failure(clock::now());
                self.record_failed_call(call, in_outage, &error.to_string());
                let is_unreadable = matches!(error, PlatformError::Unreadable { .. });
                return is_unreadable.then_some(PlatformReply::Unreadable);
            }
        };
        let is_served = self.record_answer(&answer);
        if let PlatformReply::Refused(status) = answer.reply {
            if !is_served {
                self.shared.core().outage.record_failure(clock::now());
            }
            self.record_failed_call(call, in_outage, &format!("status {status}"));
            return None;
        }
        if core::mem::take(&mut self.shared.core().platform_failed) {
            tracing::info!(event = "regained", call = call.name(), "platform");
        }
        Some(answer.reply)
    }

    /// Records what an answer shows of the platform; returns whether the platform is in service.
    fn record_answer(&self, answer: &PlatformAnswer) -> bool {
        self.shared.record_era(answer.era, "platform");
        let is_served = match answer.reply {
            // A platform that limits the rate of calls is not out.
            PlatformReply::Refused(status) => status == StatusCode::TOO_MANY_REQUESTS,
            _ => true,
        };
        if is_served {
            let now = clock::now();
            self.shared.core().outage.record_served(now, answer.era);
        }
        is_served
    }

    fn record_failed_call(&self, call: &PlatformCall, in_outage: bool, reason: &str) {
        self.shared.metrics.platform_failures.inc();
        let had_failed = core::mem::replace(&mut self.shared.core().platform_failed, true);
        if !had_failed {
            // VMs that wait for a reply of this VM must switch to another source immediately.
            self.shared.notify_change();
        }
        if !in_outage {
            tracing::warn!(event = "lost", call = call.name(), reason, "platform");
        }
    }
}

/// A configuration from the platform or from another VM.
#[derive(Debug)]
pub(crate) struct NewConfig {
    pub(crate) config: Config,
    /// The configuration in the form in which another VM has sent it.
    pub(crate) packed: Option<Packed>,
}

impl From<Config> for NewConfig {
    fn from(config: Config) -> Self {
        Self {
            config,
            packed: None,
        }
    }
}

/// Applies a configuration if it is newer than the current one, and records the time of its
/// confirmation.
pub(crate) fn apply_config(
    shared: &Shared,
    config: Option<NewConfig>,
    confirmed_at: Time,
    source: &'static str,
) {
    let current = shared.table.load().version();
    if let Some(NewConfig { config, packed }) = config {
        let version = config.version;
        if version > current {
            let routes = config.routes.len();
            let table = match packed {
                Some(packed) => RoutingTable::with_packed(config, packed),
                None => RoutingTable::new(config),
            };
            let head_limit = table.limits().head_bytes;
            shared.table.store(Arc::new(table));
            shared.head_limit.send_if_modified(|known| {
                let is_changed = *known != head_limit;
                *known = head_limit;
                is_changed
            });
            tracing::info!(
                event = "applied",
                version,
                before = current,
                routes,
                source,
                "set"
            );
        } else if version < current {
            // A delayed reply doesn't confirm the current version.
            tracing::warn!(event = "ignored", version, current, source, "set");
            return;
        }
    }
    let newer = shared.core().freshness.confirm(confirmed_at);
    if newer {
        shared.notify_change();
    }
}

fn log_errors(errors: &[String]) {
    for error in errors {
        tracing::warn!(event = "unusable", error, "endpoint");
    }
}
