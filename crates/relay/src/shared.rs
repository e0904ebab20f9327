//! What all tasks of the process share.
//!
//! Calls read the configuration through a read-copy-update pointer. The cores are behind one
//! lock that is held for single decisions only, never across a wait.

use crate::{
    Protocol, clock, metrics::Metrics, pool::Pool, settings::RelaySettings, snapshot::Snapshot,
    tcp::Sender,
};
use arc_swap::ArcSwap;
use core::{net::Ipv4Addr, time::Duration};
use poplarswitch_entity::Time;
use poplarswitch_ingress::{
    AdmissionControl, Cursor, Demand, EndpointChange, EndpointKey, EndpointTable, Freshness,
    GroupSplit, Membership, Phase, RetryBudget, RetryLimit, RoutingTable, Shutdown, ShutdownStage,
    SourceSelector, Transition,
};
use rand::{Rng as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
};
use tokio::sync::watch;

/// Multiple of the addresses' time to live for which callers may use them.
const ADDRESS_LIVES: u32 = 3;
/// Time for which callers should keep addresses: short, so that a VM that fails is soon unused.
const ADDRESS_TTL: Duration = Duration::from_millis(1_500);

/// Endpoints that one line names: a first listing of thousands must fit into the bound on lines.
const NAMES_A_LINE: usize = 32;

/// The cores.
#[derive(Debug)]
pub(crate) struct Core {
    pub(crate) fleet: EndpointTable,
    pub(crate) freshness: Freshness,
    /// When the view of the endpoints was last known to be the newest; decides only where news
    /// come from.
    pub(crate) endpoints_proved: Option<Time>,
    /// The last call of this VM to the platform failed.
    pub(crate) troubled: bool,
    pub(crate) budget: RetryBudget,
    pub(crate) gate: AdmissionControl,
    pub(crate) roster: Membership,
    pub(crate) sides: GroupSplit,
    pub(crate) demand: Demand,
    pub(crate) leaving: Shutdown,
    pub(crate) sources: SourceSelector,
    pub(crate) draws: Pcg64Mcg,
    /// Open calls of other VMs by endpoint, and when they told them.
    pub(crate) told: HashMap<Ipv4Addr, (Time, Vec<(u32, u16)>)>,
}

impl Core {
    /// The VMs of this data centre from which news may come, in the order that they share.
    pub(crate) fn news_order(&self, now: Time) -> Vec<Ipv4Addr> {
        if self.view_age(now).is_some() {
            self.roster.local_vms(now)
        } else {
            self.roster.listed_local_vms(now)
        }
    }

    /// Whether this VM reads the platform itself.
    pub(crate) fn reads(&self, now: Time) -> bool {
        let order = self.news_order(now);
        self.sources
            .should_read(now, self.roster.local_ip(), &order, self.view_age(now))
    }

    /// The age of the older one of the views of configuration and endpoints.
    pub(crate) fn view_age(&self, now: Time) -> Option<Duration> {
        let endpoints = self.endpoints_proved.map(|at| now.since(at))?;
        self.freshness.age(now).map(|set| set.max(endpoints))
    }
}

/// What all tasks share.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) settings: RelaySettings,
    pub(crate) protocol: Arc<dyn Protocol>,
    pub(crate) table: ArcSwap<RoutingTable>,
    pub(crate) pool: Pool,
    pub(crate) metrics: Metrics,
    pub(crate) snapshot: Snapshot,
    in_flight: AtomicUsize,
    core: Mutex<Core>,
    changes: watch::Sender<u64>,
}

impl Shared {
    pub(crate) fn new(settings: RelaySettings, protocol: Arc<dyn Protocol>) -> Self {
        let bounds = settings.bounds;
        let revocation = bounds.revoke_ms.map(Duration::from_millis);
        let me = match settings.listen.peers.ip() {
            core::net::IpAddr::V4(ip) => ip,
            core::net::IpAddr::V6(_) => Ipv4Addr::UNSPECIFIED,
        };
        let place = settings
            .data_centre_index(settings.data_centre.as_str())
            .unwrap_or(u8::MAX);
        let start = clock::unix_millis();
        let share = RetryLimit {
            ratio: bounds.retry_ratio,
            allowance: bounds.retry_allowance,
            window: Duration::from_millis(bounds.retry_window_ms),
        };
        let mut roster = Membership::new(me, place, start);
        for seed in &settings.seeds {
            roster.add_member(*seed, None);
        }
        let core = Core {
            fleet: EndpointTable::default(),
            freshness: Freshness::new(revocation),
            endpoints_proved: None,
            troubled: false,
            budget: RetryBudget::new(share),
            gate: AdmissionControl::new(settings.memory),
            roster,
            sides: GroupSplit::default(),
            demand: Demand::default(),
            leaving: Shutdown::new(settings.grace(), ADDRESS_TTL * ADDRESS_LIVES),
            sources: SourceSelector::new(clock::now()),
            draws: Pcg64Mcg::seed_from_u64(start ^ u64::from(me.to_bits())),
            told: HashMap::new(),
        };
        Self {
            settings,
            protocol,
            table: ArcSwap::from_pointee(RoutingTable::default()),
            pool: Pool::default(),
            metrics: Metrics::default(),
            snapshot: Snapshot::default(),
            in_flight: AtomicUsize::new(0),
            core: Mutex::new(core),
            changes: watch::Sender::new(0),
        }
    }

    /// The cores, for one decision.
    pub(crate) fn core(&self) -> MutexGuard<'_, Core> {
        // A task that panicked has changed single fields at most; the others must go on.
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Wakes those who wait for a change of configuration, endpoints or freshness.
    pub(crate) fn announce(&self) {
        self.changes.send_modify(|serial| *serial += 1);
    }

    /// Wakes on changes.
    pub(crate) fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Waits for a change, or for a time.
    pub(crate) async fn idle(&self, most: Duration) {
        // The sender lives as long as this value does, so only time or a change ends the wait.
        let _ended = tokio::time::timeout(most, self.changes().changed()).await;
    }

    /// What this VM knows.
    pub(crate) fn cursor(&self) -> Cursor {
        Cursor {
            version: self.table.load().version(),
            revision: self.core().fleet.revision(),
        }
    }

    /// What this VM says of itself.
    pub(crate) fn phase(&self, now: Time) -> Phase {
        let core = self.core();
        if core.leaving.has_started() {
            Phase::Leaving
        } else if self.is_informed(&core, now) {
            Phase::Ready
        } else {
            Phase::Starting
        }
    }

    /// Whether this VM knows enough to serve: a fresh configuration, and the endpoints.
    fn is_informed(&self, core: &Core, now: Time) -> bool {
        let known = self.table.load().version() > 0 && core.endpoints_proved.is_some();
        known && core.freshness.is_usable(now)
    }

    /// Whether calls can be served.
    pub(crate) fn can_serve(&self, now: Time) -> bool {
        self.is_informed(&self.core(), now)
    }

    /// Where this VM stands on its way out.
    pub(crate) fn stage(&self, now: Time) -> ShutdownStage {
        self.core().leaving.stage(now, self.in_flight())
    }

    /// Calls in flight.
    pub(crate) fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Counts a call until the guard is dropped.
    pub(crate) fn enter(self: &Arc<Self>) -> InFlight {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        InFlight(Arc::clone(self))
    }

    /// How long callers should keep addresses.
    pub(crate) fn address_ttl(&self) -> Duration {
        ADDRESS_TTL.min(Duration::from_millis(self.settings.bounds.ttl_ms))
    }

    /// Takes changes of the fleet: drops connections that lead nowhere, and writes them down.
    pub(crate) fn note_fleet(&self, changes: &[EndpointChange], source: &'static str) {
        if changes.is_empty() {
            return;
        }
        let revision = self.core().fleet.revision();
        let of = |transition| {
            changes
                .iter()
                .filter(move |change| change.transition == transition)
        };
        for change in of(Transition::Left) {
            self.pool.forget(change.key);
        }
        for transition in Transition::ALL {
            let names: Vec<&str> = of(transition).map(|change| change.name.as_str()).collect();
            for names in names.chunks(NAMES_A_LINE) {
                tracing::info!(
                    event = transition.as_str(),
                    endpoint = names.join(","),
                    count = names.len(),
                    revision,
                    source,
                    "endpoint"
                );
            }
        }
        self.announce();
    }

    /// Takes a connection to an endpoint back after a whole answer.
    pub(crate) fn keep(&self, key: EndpointKey, sender: Sender, stated: Option<Duration>) {
        let core = self.core();
        let vms = core.roster.alive_count(clock::now());
        let most = core.fleet.get(key).map(|e| e.max_idle(vms));
        drop(core);
        // Nothing is kept for an endpoint that has left.
        if let Some(most) = most {
            self.pool.put(key, sender, stated, most);
        }
    }

    /// A random number.
    pub(crate) fn draw(&self) -> u64 {
        self.core().draws.next_u64()
    }
}

/// Counts a call in flight until it is dropped.
#[derive(Debug)]
pub(crate) struct InFlight(Arc<Shared>);

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}
