//! Usage: counts of calls that began to run, their exchange between VMs, and the holder's reports.

use crate::{
    DutyCall, DutyReply, DutySettings, PlatformCall, PlatformReply, RecordName, SharedRecord,
    call_forwarder::CallForwarder,
    clock,
    duties::{self, DutyMessage},
    duty_client::DutyClient,
    lease,
    platform_client::PlatformClient,
    shared::Shared,
};
use core::{net::Ipv4Addr, time::Duration};
use poplarswitch_duties::{
    ClockOffset, Collected, Duty, RecordFound, ReportAction, ReportSettings, Reporter,
    TotalsMessage, UsageRecord, UsageTotals,
};
use poplarswitch_entity::{Time, WorkspaceName};
use poplarswitch_ingress::{Revision, hash_text};
use poplarswitch_lease::{Stamp, Tenure};
use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};
use tokio::time::{sleep, timeout};

/// Interval between messages to the holder and its successors.
const TELL_INTERVAL: Duration = Duration::from_millis(300);
/// Time after the end of a window in which late counts arrive.
const SETTLE_TIME: Duration = Duration::from_secs(2);
/// Time after the beginning of a tenure in which other VMs tell their totals.
const GATHER_TIME: Duration = Duration::from_secs(1);
/// Interval between checks whether a report is due.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);
/// Delay of the first repetition of a call that failed.
const RETRY_DELAY: Duration = Duration::from_millis(250);
/// Time limit for a reply of the platform.
const REPLY_TIMEOUT: Duration = Duration::from_millis(900);
/// Time after which a VM that has told nothing is forgotten.
const SENDER_EXPIRY: Duration = Duration::from_secs(20);

/// Usage as known to this VM.
#[derive(Debug)]
pub(crate) struct Usage(Mutex<UsageState>);

#[derive(Debug)]
struct UsageState {
    totals: UsageTotals,
    collected: Collected,
    /// Time of day as all VMs agree on it.
    clock: ClockOffset,
    /// The holder and its successors; before the first lease, those who should take it.
    receivers: Vec<Ipv4Addr>,
    /// Whether a holder has named them.
    knows_holder: bool,
    /// Revision of the lease when the holder named them.
    named_at: Stamp,
    /// First window whose record in the platform can be trusted.
    first_sure: u64,
}

impl Usage {
    pub(crate) fn new(duty: Option<&DutySettings>) -> Self {
        let window_ms = duty.map_or(1, |duty| duty.window_ms);
        let keep_ms = duty.map_or(0, |duty| duty.report_ms);
        Self(Mutex::new(UsageState {
            totals: UsageTotals::new(window_ms, keep_ms),
            collected: Collected::default(),
            clock: ClockOffset::new(clock::now(), clock::unix_millis()),
            receivers: Vec::new(),
            knows_holder: false,
            named_at: Stamp::default(),
            first_sure: 0,
        }))
    }

    fn lock(&self) -> MutexGuard<'_, UsageState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Time of day in Unix milliseconds, as all VMs agree on it.
    pub(crate) fn unix_ms(&self, now: Time) -> u64 {
        self.lock().clock.unix_ms(now)
    }

    /// Takes in what the holder at `from` has told at `at`.
    pub(crate) fn hear_holder(&self, at: Time, from: Ipv4Addr, news: &duties::HolderNews) {
        let mut state = self.lock();
        state.first_sure = state.first_sure.max(news.first_sure);
        if news.lease.stamp < state.named_at {
            return;
        }
        state.named_at = news.lease.stamp;
        state.clock.hear(at, news.unix_ms);
        state.set_receivers(from, &news.successors);
    }

    /// Sets the receivers of totals while this VM is the holder; returns the time of day and
    /// the first window whose record can be trusted, for the other VMs.
    pub(crate) fn lead(&self, now: Time, own: Ipv4Addr, successors: &[Ipv4Addr]) -> (u64, u64) {
        let mut state = self.lock();
        state.set_receivers(own, successors);
        (state.clock.unix_ms(now), state.first_sure)
    }

    /// Whether this VM knows that a VM has held the lease.
    pub(crate) fn knows_holder(&self) -> bool {
        self.lock().knows_holder
    }

    /// Sets the VMs that get totals until a holder is known.
    pub(crate) fn set_candidates(&self, candidates: &[Ipv4Addr]) {
        let mut state = self.lock();
        if !state.knows_holder {
            state.receivers = candidates.to_vec();
        }
    }

    /// Memory of a VM in MiB, if it has told it.
    pub(crate) fn memory_mb(&self, vm: Ipv4Addr) -> Option<u32> {
        self.lock().collected.memory_mb(vm)
    }

    /// Merges what another VM has told.
    pub(crate) fn merge(&self, now: Time, from: Ipv4Addr, message: &TotalsMessage) {
        self.lock().collected.merge(now, from, message);
    }
}

impl UsageState {
    fn set_receivers(&mut self, holder: Ipv4Addr, successors: &[Ipv4Addr]) {
        self.knows_holder = true;
        self.receivers.clear();
        self.receivers.push(holder);
        self.receivers.extend(successors);
    }
}

/// Short hash of a workspace's name, which identifies it in messages.
fn workspace_hash(name: &str) -> u32 {
    (hash_text(name) >> 32) as u32
}

impl CallForwarder {
    /// Counts the call as one that has begun to run, once, at whichever endpoint it began first.
    pub(crate) fn count_begun(&mut self) {
        let (Some(workspace), Some(duty)) = (
            self.request.workspace.as_deref(),
            &self.shared.settings.duty,
        ) else {
            return;
        };
        if self.record.begun || !duty.duties.contains(&Duty::Usage) {
            return;
        }
        let mut state = self.shared.usage.lock();
        let unix_ms = state.clock.unix_ms(clock::now());
        state.totals.record(unix_ms, workspace_hash(workspace));
        drop(state);
        self.record.begun = true;
    }
}

/// Tells the holder and its successors what has changed, until the process exits.
pub(crate) async fn tell(shared: Arc<Shared>, incarnation: u64) {
    let local_ip = shared.core().membership.local_ip();
    loop {
        sleep(TELL_INTERVAL).await;
        for (receiver, message) in messages(&shared, local_ip, incarnation) {
            duties::send(&shared, &[receiver], &DutyMessage::Totals(message)).await;
        }
    }
}

/// The messages that are due now; what this VM tells itself is merged at once.
fn messages(
    shared: &Shared,
    local_ip: Ipv4Addr,
    incarnation: u64,
) -> Vec<(Ipv4Addr, TotalsMessage)> {
    let now = clock::now();
    let mut state = shared.usage.lock();
    let unix_ms = state.clock.unix_ms(now);
    let is_due = state.totals.refresh(unix_ms);
    let receivers = state.receivers.clone();
    let mut messages = Vec::new();
    for receiver in &receivers {
        let mut parts = state.totals.untold(&receivers, *receiver);
        if parts.is_empty() && is_due {
            parts.push(Vec::new());
        }
        for windows in parts {
            let message = TotalsMessage {
                incarnation,
                unix_ms: clock::unix_millis(),
                memory_mb: (shared.settings.memory >> 20) as u32,
                windows,
            };
            if *receiver == local_ip {
                state.collected.merge(now, local_ip, &message);
            } else {
                messages.push((*receiver, message));
            }
        }
    }
    if let Some(duty) = &shared.settings.duty {
        let oldest_ms = unix_ms.saturating_sub(duty.report_ms + duty.window_ms);
        let since = now - SENDER_EXPIRY;
        state.collected.prune(oldest_ms / duty.window_ms, since);
    }
    messages
}

/// Reports usage while this VM is the holder, until the process exits.
pub(crate) async fn report(shared: Arc<Shared>, client: Arc<PlatformClient>) {
    let Some(duty) = shared.settings.duty.clone() else {
        return;
    };
    let settings = ReportSettings {
        window_ms: duty.window_ms,
        settle_ms: SETTLE_TIME.as_millis() as u64,
        report_ms: duty.report_ms,
        retry_delay: RETRY_DELAY.max(Duration::from_secs_f64(2.0 / duty.call_rate)),
    };
    let api = DutyClient::new(
        duty.api,
        shared.settings.vm.clone(),
        Arc::clone(&shared.protocol),
    );
    let mut task = ReportTask {
        shared: &shared,
        client: &client,
        api,
        reporter: Reporter::new(settings, shared.usage.unix_ms(shared.started)),
        names: BTreeMap::new(),
        version: None,
        token: None,
        era: None,
        failing_since: None,
        lease_ms: lease::duration(&duty).as_millis() as u64,
        patience: Duration::from_millis(duty.lease_ms),
    };
    loop {
        task.step().await;
    }
}

/// The reports of this VM.
struct ReportTask<'a> {
    shared: &'a Shared,
    client: &'a PlatformClient,
    api: DutyClient,
    reporter: Reporter,
    /// Names of workspaces by their hashes, also of those that have been removed.
    names: BTreeMap<u32, WorkspaceName>,
    /// Version of the configuration whose workspaces are known.
    version: Option<u64>,
    /// Token of the tenure that the reporter knows.
    token: Option<u64>,
    /// Latest era of the platform that the reporter knows, and since when.
    era: Option<(u64, Time)>,
    /// Since when no report has been answered.
    failing_since: Option<Time>,
    /// Length of a lease in milliseconds.
    lease_ms: u64,
    /// Time without an answer after which this VM lets another one try.
    patience: Duration,
}

impl ReportTask<'_> {
    async fn step(&mut self) {
        let now = clock::now();
        let unix_ms = self.synchronize(now);
        self.note_era(now, unix_ms);
        let Some(tenure) = *self.shared.tenure.borrow() else {
            return self.wait_for_tenure().await;
        };
        if now < tenure.since + GATHER_TIME {
            return sleep(REPORT_INTERVAL).await;
        }
        self.learn_names();
        if self.token != Some(tenure.token) {
            self.token = Some(tenure.token);
            self.failing_since = None;
            self.reporter.begin();
            // This process may have started after the platform came back from a copy.
            if let Some((_, since)) = self.era.filter(|_| tenure.is_first_of_era()) {
                let known_ms = self.shared.usage.unix_ms(since);
                self.reporter.first_of_era(unix_ms, known_ms, self.lease_ms);
            }
        }
        for window in self.reporter.take_unreported(unix_ms) {
            self.shared.metrics.windows_unreported.inc();
            tracing::warn!(event = "unreported", window, "usage");
        }
        let action = if now < tenure.expires_at {
            let shared = self.shared;
            let names = &self.names;
            self.reporter
                .next(now, unix_ms, |window| sums(shared, names, window))
        } else {
            None
        };
        match action {
            None => sleep(REPORT_INTERVAL).await,
            Some(ReportAction::Read { slot }) => self.read(slot).await,
            Some(ReportAction::Write {
                slot,
                condition,
                record,
            }) => self.write(slot, condition, record).await,
            Some(ReportAction::Send(record)) => self.send(&tenure, record).await,
        }
    }

    /// Waits until this VM is the holder, or the platform has come back from a copy.
    async fn wait_for_tenure(&self) {
        let mut tenure = self.shared.tenure.subscribe();
        tokio::select! {
            // The sender is not dropped during the wait.
            _held = tenure.wait_for(Option::is_some) => {}
            () = self.shared.wait_for_era_after(self.era.map(|(era, _)| era)) => {}
        }
    }

    fn learn_names(&mut self) {
        let table = self.shared.table.load();
        if self.version.replace(table.version()) == Some(table.version()) {
            return;
        }
        let workspaces = table.config().workspaces.iter().flatten();
        for workspace in workspaces {
            let hash = workspace_hash(workspace.name.as_str());
            self.names
                .entry(hash)
                .or_insert_with(|| workspace.name.clone());
        }
    }

    /// Sets the time of day to the median of the clocks of all VMs while this VM is the holder, and
    /// exchanges the first window whose record can be trusted; returns the time of day.
    fn synchronize(&mut self, now: Time) -> u64 {
        let mut state = self.shared.usage.lock();
        if self.shared.tenure.borrow().is_some()
            && let Some(offset) = state.collected.median_offset()
        {
            state.clock.set(offset);
        }
        self.reporter.learn(state.first_sure);
        state.first_sure = self.reporter.first_sure();
        state.clock.unix_ms(now)
    }

    fn note_era(&mut self, now: Time, unix_ms: u64) {
        let known = self.era.map(|(era, _)| era);
        let Some(era) = self.shared.era().filter(|era| Some(*era) > known) else {
            return;
        };
        if self.era.replace((era, now)).is_some() {
            self.reporter.restored(unix_ms);
        }
    }

    async fn read(&mut self, slot: u8) {
        let call = PlatformCall::ReadRecord(RecordName::UsageReport { slot });
        match self.ask(&call).await {
            Some(PlatformReply::Record(found)) => {
                self.slot_found(slot, found.as_ref());
            }
            _ => self.reporter.slot_failed(clock::now(), slot),
        }
    }

    fn slot_found(&mut self, slot: u8, found: Option<&SharedRecord>) {
        let found = found.map(parse);
        let record = found.as_ref().and_then(|found| found.record.as_ref());
        if let Some(record) = record {
            self.shared.duty_view.note_recorded(record.window);
        }
        self.reporter.slot_found(slot, found);
    }

    async fn write(&mut self, slot: u8, condition: Option<Stamp>, record: UsageRecord) {
        let call = PlatformCall::WriteRecord {
            name: RecordName::UsageReport { slot },
            condition: condition.map(|stamp| Revision {
                era: stamp.era,
                number: stamp.number,
            }),
            value: serde_json::to_string(&record).unwrap_or_default().into(),
        };
        match self.ask(&call).await {
            Some(PlatformReply::Written(revision)) => {
                self.shared.duty_view.note_recorded(record.window);
                self.reporter.written(slot, stamp(revision), record);
            }
            Some(PlatformReply::Record(found)) => {
                self.slot_found(slot, found.as_ref());
            }
            _ => self.reporter.slot_failed(clock::now(), slot),
        }
    }

    /// Makes a call to the platform.
    async fn ask(&mut self, call: &PlatformCall) -> Option<PlatformReply> {
        self.shared.metrics.platform_calls.inc();
        let answer = timeout(REPLY_TIMEOUT, self.client.call(call)).await;
        let answer = match answer {
            Ok(Ok(answer)) => answer,
            Ok(Err(error)) => {
                self.shared.metrics.platform_failures.inc();
                tracing::warn!(event = "failed", %error, "usage");
                return None;
            }
            Err(_elapsed) => {
                tracing::warn!(event = "failed", call = call.name(), "usage");
                return None;
            }
        };
        self.shared.record_era(answer.era, "platform");
        let now = clock::now();
        self.note_era(now, self.shared.usage.unix_ms(now));
        Some(answer.reply)
    }

    async fn send(&mut self, tenure: &Tenure, record: UsageRecord) {
        let window = record.window;
        let calls: u64 = record.counts.values().sum();
        let call = DutyCall::Usage {
            window,
            counts: record.counts,
        };
        let result = self.api.call(tenure, &call).await;
        let now = clock::now();
        match result {
            Ok(DutyReply::Done) => {
                self.failing_since = None;
                self.shared.metrics.reports_sent.inc();
                self.shared.duty_view.note_reported(window);
                self.reporter.sent(window);
                tracing::info!(
                    event = "reported",
                    window,
                    calls,
                    token = tenure.token,
                    "usage"
                );
                return;
            }
            Ok(DutyReply::Conflict) => {
                let token = tenure.token;
                self.shared.outdated_token.send_if_modified(|known| {
                    let is_higher = *known < token;
                    *known = token.max(*known);
                    is_higher
                });
                tracing::warn!(event = "outdated", window, token, "usage");
            }
            Ok(reply) => tracing::warn!(event = "refused", window, ?reply, "usage"),
            Err(error) => {
                let unsent = error.is_unsent();
                tracing::warn!(event = "failed", window, %error, unsent, "usage");
            }
        }
        self.shared.metrics.reports_failed.inc();
        self.reporter.send_failed(now);
        let since = *self.failing_since.get_or_insert(now);
        if now.since(since) >= self.patience {
            self.failing_since = None;
            self.shared.duties.let_go.notify_one();
        }
    }
}

/// Sums of a window by the names of the workspaces.
fn sums(
    shared: &Shared,
    names: &BTreeMap<u32, WorkspaceName>,
    window: u64,
) -> BTreeMap<WorkspaceName, u64> {
    let sums = shared.usage.lock().collected.sums(window);
    let by_name = sums.into_iter();
    let by_name = by_name.filter_map(|(hash, calls)| Some((names.get(&hash)?.clone(), calls)));
    by_name.collect()
}

fn parse(found: &SharedRecord) -> RecordFound {
    RecordFound {
        stamp: stamp(found.revision),
        record: serde_json::from_str(&found.value).ok(),
    }
}

const fn stamp(revision: Revision) -> Stamp {
    Stamp {
        era: revision.era,
        number: revision.number,
    }
}
