//! State that is shared by all tasks of the process.
//!
//! Calls read the configuration through a read-copy-update pointer. The state of the decision logic
//! is behind one lock, which is held for single decisions only and never across an await point.

use crate::{
    Protocol, clock,
    duties::DutyState,
    duty_view::DutyView,
    endpoint_checks::CheckEnds,
    incarnations::UnprovedStreams,
    limits::TokenRequests,
    memory::CallMemory,
    metrics::Metrics,
    origins::{OriginRequests, UntoldOrigin},
    pool::{Connection, Pool},
    quarantine::PendingCuts,
    settings::RelaySettings,
    snapshot::Snapshot,
    tcp::{ConnectError, Sender},
    trials::TrialRequests,
    usage::Usage,
};
use arc_swap::ArcSwap;
use core::{
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};
use poplarswitch_entity::Time;
use poplarswitch_ingress::{
    AdmissionControl, Cursor, Demand, EndpointKey, EndpointTable, ExpectedTimes, Freshness,
    GroupSplit, Helpers, Membership, OutageTracker, Phase, Quarantine, RateLimits, Rates, Reach,
    ReportChecks, RetryBudget, RetryLimit, Route, RoutingTable, RunTimes, ServiceDemand, Shutdown,
    ShutdownStage, SourceSelector, StartupCheck, StepTime, StreamOrigins, hash_pair,
};
use poplarswitch_lease::Tenure;
use rand::{Rng as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use std::sync::{
    Arc, Mutex, MutexGuard, OnceLock, PoisonError,
    atomic::{AtomicUsize, Ordering},
};
use tokio::{
    net::UdpSocket,
    sync::{Notify, watch},
    time::{Instant, timeout_at},
};

/// Multiple of [`ADDRESS_TTL`] for which callers may use an address.
const ADDRESS_TTL_FACTOR: u32 = 3;
/// Time for which callers should keep an address; short, so that callers soon stop using a VM that
/// has failed.
const ADDRESS_TTL: Duration = Duration::from_millis(1_500);

/// Maximum time for which a VM that starts waits for the held sections in the platform.
const HOLDS_WAIT: Duration = Duration::from_millis(300);

/// State of the decision logic.
#[derive(Debug)]
pub(crate) struct Core {
    pub(crate) endpoints: EndpointTable,
    pub(crate) freshness: Freshness,
    /// When the view of the endpoints was last confirmed to be the newest; used to select the
    /// source of changes and to detect whether this VM has a view at all.
    pub(crate) endpoints_confirmed: Option<Time>,
    /// Whether this VM reads the platform and its last call to it failed.
    pub(crate) platform_failed: bool,
    /// Whether entries may have lapsed because the platform was out.
    pub(crate) outage: OutageTracker,
    pub(crate) retry_budget: RetryBudget,
    pub(crate) admission: AdmissionControl,
    pub(crate) membership: Membership,
    pub(crate) groups: GroupSplit,
    /// Services that this VM reaches.
    pub(crate) reach: Reach,
    pub(crate) demand: Demand,
    /// The part of each service in the demand.
    pub(crate) service_demand: ServiceDemand,
    /// Speed of the endpoints.
    pub(crate) rates: Rates,
    /// Time of a decoding step of the engines, as this VM's strict calls show it.
    pub(crate) step_time: StepTime,
    pub(crate) shutdown: Shutdown,
    /// How long the calls of each route have taken lately.
    pub(crate) run_times: RunTimes,
    pub(crate) sources: SourceSelector,
    /// Check whether other VMs have a newer configuration than the platform.
    pub(crate) startup: StartupCheck,
    pub(crate) rng: Pcg64Mcg,
    /// Reports of the other VMs, and the calls that are forwarded to them.
    pub(crate) helpers: Helpers,
    /// Limits that endpoints name in their answers.
    pub(crate) limits: RateLimits,
    /// Requests for tokens whose replies are awaited.
    pub(crate) token_requests: TokenRequests,
    /// Software versions to which streams belong.
    pub(crate) origins: StreamOrigins,
    /// Origins that other VMs have to be told of.
    pub(crate) untold_origins: Vec<UntoldOrigin>,
    /// Streams whose versions are not proved.
    pub(crate) unproved: UnprovedStreams,
    pub(crate) checks: ReportChecks,
    pub(crate) check_ends: CheckEnds,
    /// Whether this VM kept streams in its entry at the last periodic work.
    pub(crate) kept_streams: bool,
    /// Requests for origins whose replies are awaited.
    pub(crate) origin_requests: OriginRequests,
    /// Number of the last request for an origin.
    pub(crate) origin_serial: u32,
    /// Requests and sections of prompts that crash endpoints.
    pub(crate) quarantine: Quarantine,
    /// Broken calls of endpoints that are being checked.
    pub(crate) pending_cuts: PendingCuts,
    /// Requests for trials whose replies are awaited.
    pub(crate) trial_requests: TrialRequests,
    /// Endpoints at which this VM has been granted slots that may be unused.
    pub(crate) unused_slots: Vec<EndpointKey>,
}

impl Core {
    /// Whether this VM should read the platform itself.
    pub(crate) fn should_read_platform(&self, now: Time) -> bool {
        // Streams can't go on without versions, which VMs of an earlier version don't send.
        if self.endpoints.lacks_versions() {
            return true;
        }
        self.sources
            .reads_platform(now, &self.membership, self.view_age(now))
    }

    /// Time since the older of the confirmations of the configuration and the endpoints.
    pub(crate) fn view_age(&self, now: Time) -> Option<Duration> {
        let endpoints = self.endpoints_confirmed.map(|at| now.since(at))?;
        self.freshness.age(now).map(|config| config.max(endpoints))
    }
}

/// State that is shared by all tasks.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) settings: RelaySettings,
    pub(crate) protocol: Arc<dyn Protocol>,
    pub(crate) table: ArcSwap<RoutingTable>,
    pub(crate) pool: Pool,
    pub(crate) metrics: Metrics,
    pub(crate) snapshot: Snapshot,
    /// Notified when other VMs must be told of limits of endpoints.
    pub(crate) limit_news: Notify,
    /// Notified when an owner of slots has answered.
    pub(crate) slots_changed: Notify,
    /// Notified when slots have been granted.
    pub(crate) slots_granted: Notify,
    /// Notified when other VMs must be told of the origins of streams.
    pub(crate) origin_news: Notify,
    /// Socket for datagrams to other VMs, once it is open.
    pub(crate) peer_socket: OnceLock<Arc<UdpSocket>>,
    /// Notified when other VMs must be told of evidence on sections of prompts.
    pub(crate) quarantine_news: Notify,
    /// Notified when the held sections, versions or streams that this VM keeps have changed.
    pub(crate) holds_changed: Notify,
    /// Notified when this VM has to learn what VMs kept that have died.
    pub(crate) keeper_died: Notify,
    /// Notified when this VM may have missed versions of endpoints.
    pub(crate) versions_missed: Notify,
    /// Notified when the platform lacks this VM's entry.
    pub(crate) entry_missing: Notify,
    /// Notified when this VM's entry in the platform lacks a stream.
    pub(crate) streams_kept: Notify,
    /// Changes when a held subject is released.
    pub(crate) released: watch::Sender<()>,
    /// Limit of the size of heads in the configuration, in bytes.
    pub(crate) head_limit: watch::Sender<usize>,
    /// Changes when this VM loses its links to the endpoints of a service.
    pub(crate) losses: watch::Sender<()>,
    /// Notified when connections to endpoints fail, so that others are checked.
    pub(crate) reach_news: Notify,
    /// The lease of the duties, while this VM holds it.
    pub(crate) tenure: watch::Sender<Option<Tenure>>,
    /// Highest fencing token under which the API has refused a call because another holder has a
    /// higher one; the term of that token is over.
    pub(crate) outdated_token: watch::Sender<u64>,
    /// What this VM knows of the duties.
    pub(crate) duties: DutyState,
    /// What the duties show to operators.
    pub(crate) duty_view: DutyView,
    /// Calls that began to run, for the reports of usage.
    pub(crate) usage: Usage,
    /// Memory of calls.
    pub(crate) memory: Arc<CallMemory>,
    pub(crate) started: Time,
    in_flight: Arc<AtomicUsize>,
    core: Mutex<Core>,
    changes: watch::Sender<u64>,
    /// When this VM sent the platform its latest request whose reply showed the endpoints.
    endpoints_read: watch::Sender<Option<Time>>,
    /// Time as of which this VM needs the endpoints from the platform.
    endpoints_wanted: watch::Sender<Option<Time>>,
    /// Latest era of the platform that this VM knows.
    eras: watch::Sender<Option<u64>>,
    /// Whether calls without an answer get one now, because the process exits soon.
    exiting: watch::Sender<bool>,
}

impl Shared {
    pub(crate) fn new(settings: RelaySettings, protocol: Arc<dyn Protocol>) -> Self {
        let bounds = settings.bounds;
        let revocation = bounds.revoke_ms.map(Duration::from_millis);
        let local_ip = match settings.listen.peers.ip() {
            core::net::IpAddr::V4(ip) => ip,
            core::net::IpAddr::V6(_) => Ipv4Addr::UNSPECIFIED,
        };
        let dc_index = settings
            .data_centre_index(settings.data_centre.as_str())
            .unwrap_or(u8::MAX);
        let start_ms = clock::unix_millis();
        let retry_limit = RetryLimit {
            ratio: bounds.retry_ratio,
            allowance: bounds.retry_allowance,
            window: Duration::from_millis(bounds.retry_window_ms),
        };
        let mut membership = Membership::new(local_ip, dc_index, start_ms);
        for seed in &settings.seeds {
            membership.add_member(*seed, None);
        }
        let mut endpoints = EndpointTable::default();
        endpoints.set_slot_epoch(start_ms as u32);
        let process = hash_pair(start_ms, u64::from(local_ip.to_bits()));
        let core = Core {
            endpoints,
            freshness: Freshness::new(revocation),
            endpoints_confirmed: None,
            platform_failed: false,
            outage: OutageTracker::default(),
            retry_budget: RetryBudget::new(retry_limit),
            admission: AdmissionControl::default(),
            membership,
            groups: GroupSplit::default(),
            reach: Reach::default(),
            demand: Demand::default(),
            service_demand: ServiceDemand::default(),
            rates: Rates::new(local_ip, start_ms),
            step_time: StepTime::default(),
            shutdown: Shutdown::new(settings.grace(), ADDRESS_TTL * ADDRESS_TTL_FACTOR),
            run_times: RunTimes::default(),
            sources: SourceSelector::new(clock::now()),
            startup: StartupCheck::default(),
            rng: Pcg64Mcg::seed_from_u64(process),
            helpers: Helpers::default(),
            limits: RateLimits::default(),
            token_requests: TokenRequests::new(),
            origins: StreamOrigins::default(),
            untold_origins: Vec::new(),
            unproved: UnprovedStreams::new(),
            checks: ReportChecks::default(),
            check_ends: CheckEnds::new(),
            kept_streams: false,
            origin_requests: OriginRequests::new(),
            origin_serial: 0,
            quarantine: Quarantine::default().with_process(process as u32),
            pending_cuts: PendingCuts::new(),
            trial_requests: TrialRequests::new(),
            unused_slots: Vec::new(),
        };
        let usage = Usage::new(settings.duty.as_ref());
        Self {
            memory: CallMemory::new(settings.memory),
            settings,
            protocol,
            table: ArcSwap::from_pointee(RoutingTable::default()),
            pool: Pool::default(),
            metrics: Metrics::default(),
            snapshot: Snapshot::default(),
            limit_news: Notify::new(),
            origin_news: Notify::new(),
            slots_changed: Notify::new(),
            slots_granted: Notify::new(),
            peer_socket: OnceLock::new(),
            quarantine_news: Notify::new(),
            holds_changed: Notify::new(),
            keeper_died: Notify::new(),
            versions_missed: Notify::new(),
            entry_missing: Notify::new(),
            streams_kept: Notify::new(),
            released: watch::Sender::new(()),
            head_limit: watch::Sender::new(RoutingTable::default().limits().head_bytes),
            losses: watch::Sender::new(()),
            reach_news: Notify::new(),
            tenure: watch::Sender::new(None),
            outdated_token: watch::Sender::new(0),
            duties: DutyState::default(),
            duty_view: DutyView::default(),
            usage,
            started: clock::now(),
            in_flight: Arc::default(),
            core: Mutex::new(core),
            changes: watch::Sender::new(0),
            endpoints_read: watch::Sender::new(None),
            endpoints_wanted: watch::Sender::new(None),
            eras: watch::Sender::new(None),
            exiting: watch::Sender::new(false),
        }
    }

    /// Ends the waits of calls that have no answer yet.
    pub(crate) fn announce_exit(&self) {
        self.exiting.send_replace(true);
    }

    /// Waits until the process is about to exit.
    pub(crate) async fn exit_announced(&self) {
        let mut exiting = self.exiting.subscribe();
        // The sender is not dropped during the wait.
        let _announced = exiting.wait_for(|exiting| *exiting).await;
    }

    /// Locks the state of the decision logic, for one decision.
    pub(crate) fn core(&self) -> MutexGuard<'_, Core> {
        // A task that panicked has changed single fields at most, and the other tasks must
        // continue.
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Wakes the tasks that wait for a change of the configuration, the endpoints or their
    /// confirmation.
    pub(crate) fn notify_change(&self) {
        self.changes.send_modify(|serial| *serial += 1);
    }

    /// Receiver that is notified of changes.
    pub(crate) fn subscribe(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Waits for a change, but not longer than `time_limit`.
    pub(crate) async fn wait_for_change(&self, time_limit: Duration) {
        // The sender is not dropped during the wait, so only a change or the time limit ends it.
        let _ended = tokio::time::timeout(time_limit, self.subscribe().changed()).await;
    }

    /// Records an era of the platform. A later one than before means that the platform has come back
    /// from a copy.
    pub(crate) fn record_era(&self, era: u64, source: &'static str) {
        let mut before = None;
        self.eras.send_if_modified(|known| {
            let is_later = known.is_none_or(|known| era > known);
            if is_later {
                before = known.replace(era);
            }
            is_later
        });
        if let Some(before) = before {
            tracing::warn!(event = "restored", era, before, source, "platform");
        }
    }

    /// Latest era of the platform that this VM knows.
    pub(crate) fn era(&self) -> Option<u64> {
        *self.eras.borrow()
    }

    /// Waits until the platform has a later era than `known`.
    pub(crate) async fn wait_for_era_after(&self, known: Option<u64>) {
        let mut eras = self.eras.subscribe();
        // The sender is not dropped during the wait.
        let _later = eras.wait_for(|era| *era > known).await;
    }

    /// When this VM sent the platform its latest request whose reply showed the endpoints.
    pub(crate) fn endpoints_read(&self) -> Option<Time> {
        *self.endpoints_read.borrow()
    }

    /// Records that the endpoints are known as of a request to the platform that was sent at `sent`.
    pub(crate) fn record_endpoints_read(&self, sent: Time) {
        raise(&self.endpoints_read, sent);
    }

    /// Reads the endpoints from the platform unless they are known as of `since`; waits for that, at
    /// most until `deadline`.
    pub(crate) async fn confirm_endpoints(&self, since: Time, deadline: Instant) {
        raise(&self.endpoints_wanted, since);
        let mut read = self.endpoints_read.subscribe();
        let read = read.wait_for(|at| *at >= Some(since));
        // The sender is not dropped during the wait.
        let _ended = timeout_at(deadline, read).await;
    }

    /// Waits until [`Self::confirm_endpoints`] needs the endpoints as of a later time than they are
    /// known, and than `tried`; returns that time.
    pub(crate) async fn wait_for_wanted(&self, tried: Option<Time>) -> Option<Time> {
        let mut wanted = self.endpoints_wanted.subscribe();
        let is_lacking = |since: &Option<Time>| *since > self.endpoints_read().max(tried);
        // The sender is not dropped during the wait.
        let since = wanted.wait_for(is_lacking).await.ok()?;
        *since
    }

    /// Versions of the configuration and the endpoints that this VM has.
    pub(crate) fn cursor(&self) -> Cursor {
        Cursor {
            version: self.table.load().version(),
            revision: self.core().endpoints.revision(),
        }
    }

    /// Lifecycle phase that this VM announces.
    pub(crate) fn phase(&self, now: Time) -> Phase {
        let core = self.core();
        if core.shutdown.has_started() {
            Phase::Leaving
        } else if self.has_usable_view(&core, now) {
            if core.is_isolated(now) {
                Phase::Isolated
            } else {
                Phase::Ready
            }
        } else {
            Phase::Starting
        }
    }

    /// Whether this VM has a view of the endpoints and a configuration whose confirmation is recent
    /// enough, knows the held sections if they could be read, and no newer configuration of another
    /// VM.
    fn has_usable_view(&self, core: &Core, now: Time) -> bool {
        let has_view = self.table.load().version() > 0 && core.endpoints_confirmed.is_some();
        let has_holds = self.knows_vms(core, now);
        has_view && has_holds && core.startup.is_done() && core.freshness.is_usable(now)
    }

    /// Whether this VM knows the list of VMs in the platform, if it could be read.
    pub(crate) fn knows_vms(&self, core: &Core, now: Time) -> bool {
        core.sources.is_listed() || now.since(self.started) > HOLDS_WAIT
    }

    /// Whether calls can be served.
    pub(crate) fn can_serve(&self, now: Time) -> bool {
        self.has_usable_view(&self.core(), now)
    }

    /// Stage of the shutdown.
    pub(crate) fn stage(&self, now: Time) -> ShutdownStage {
        self.core().shutdown.stage(now, self.in_flight())
    }

    /// Whether a call of a route, whose time limit ends at `deadline`, may begin now although this
    /// process may exit soon. Its whole request had `arrived` earlier if it has waited.
    pub(crate) fn has_time(&self, now: Time, route: &Route, arrived: Time, deadline: Time) -> bool {
        let core = self.core();
        if !core.shutdown.has_started() {
            return true;
        }
        // The objective of a stream is that of its first event.
        let objective = route.objective.filter(|_| !route.kind.is_stream());
        let times = ExpectedTimes {
            arrived,
            may_be_cut: route.kind.is_resumable(),
            longest: core.run_times.longest(now, &route.name),
            objective,
            limit: deadline.since(now),
        };
        core.shutdown.has_time(now, times)
    }

    /// Number of calls in flight.
    pub(crate) fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Counts a call as in flight until the guard is dropped.
    pub(crate) fn count_call(&self) -> InFlight {
        InFlight::new(&self.in_flight, &self.memory)
    }

    /// Time for which callers should keep an address.
    pub(crate) fn address_ttl(&self) -> Duration {
        ADDRESS_TTL.min(Duration::from_millis(self.settings.bounds.ttl_ms))
    }

    /// Takes an idle connection to an endpoint, or opens one; see [`Pool::acquire`].
    pub(crate) async fn acquire(
        self: &Arc<Self>,
        key: EndpointKey,
        address: SocketAddr,
        new_connection: bool,
    ) -> Result<Connection, ConnectError> {
        if self.pool.remove_closed(key) {
            self.mark_in_doubt(key);
        }
        let acquired = self.pool.acquire(key, address, new_connection).await;
        match &acquired {
            Ok(connection) if connection.reused => {}
            Ok(_) => {
                self.record_connection(key);
                self.record_connected(key);
            }
            Err(_) => self.record_unconnected(key),
        }
        acquired
    }

    /// Returns a connection to the pool after a complete response.
    pub(crate) fn return_connection(
        &self,
        key: EndpointKey,
        sender: Sender,
        idle_timeout: Option<Duration>,
    ) {
        let core = self.core();
        let vms = core.membership.alive_count(clock::now());
        let max_idle = core.endpoints.get(key).map(|e| e.max_idle(vms));
        drop(core);
        // Connections to an endpoint that has been removed are closed.
        if let Some(max_idle) = max_idle {
            self.pool.release(key, sender, idle_timeout, max_idle);
        }
    }

    /// A random number.
    pub(crate) fn random_number(&self) -> u64 {
        self.core().rng.next_u64()
    }
}

/// Sets a time unless it is as late already.
fn raise(time: &watch::Sender<Option<Time>>, at: Time) {
    time.send_if_modified(|known| {
        let is_later = *known < Some(at);
        if is_later {
            *known = Some(at);
        }
        is_later
    });
}

/// Guard that counts a call as in flight until it is dropped, and then lets calls in line for memory
/// try again.
#[derive(Debug)]
pub(crate) struct InFlight {
    count: Arc<AtomicUsize>,
    memory: Arc<CallMemory>,
}

impl InFlight {
    pub(crate) fn new(count: &Arc<AtomicUsize>, memory: &Arc<CallMemory>) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self {
            count: Arc::clone(count),
            memory: Arc::clone(memory),
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.count.fetch_sub(1, Ordering::Relaxed);
        self.memory.wake();
    }
}
