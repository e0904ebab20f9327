//! The event loop: owns the state machines, passes events to them and carries out their outputs.
//!
//! All events of the process arrive through one channel. The channel is unbounded, but each
//! source of events is limited: calls by the settings, runs by the number of threads, links by
//! their own queues, reports by the number of polling threads.

mod calls;
mod cluster;
mod keyed;
mod orders;
mod pool;
mod status;
mod table;

use crate::{
    event::{Event, Submission},
    shared::Shared,
};
use cluster::PendingOutputs;
use core::time::Duration;
use crossbeam::channel::{Receiver, RecvTimeoutError};
use poplarswitch_catalog::Catalog;
use poplarswitch_entity::{CallId, FencingNumber, Time};
use poplarswitch_members as members;
use poplarswitch_pool::{Input, Pool};
use poplarswitch_scheduler::Policy;
use poplarswitch_wire::{CallCounts, Phase};
use std::{collections::HashMap, sync::Arc};
use table::{CallTable, Endpoints};

pub(crate) use cluster::Cluster;

/// Maximum time between two ticks of the state machines.
const MAX_WAIT: Duration = Duration::from_secs(1);
/// Maximum number of events processed between two ticks.
const MAX_BATCH_LEN: usize = 256;

/// State of the event loop.
pub(crate) struct EventLoop {
    shared: Arc<Shared>,
    events: Receiver<Event>,
    policy: Policy,
    pool: Option<Pool>,
    calls: CallTable,
    totals: CallCounts,
    endpoints: Endpoints,
    keyed_submissions: HashMap<CallId, Submission>,
    cluster: Cluster,
    platform_up: bool,
    lease_held: Option<FencingNumber>,
    outputs: PendingOutputs,
    stopping: bool,
}

impl EventLoop {
    /// Starts without a set; calls are refused until one is put into force.
    pub(crate) fn new(
        shared: Arc<Shared>,
        events: Receiver<Event>,
        cluster: Cluster,
        policy: Policy,
    ) -> Self {
        Self {
            shared,
            events,
            policy,
            pool: None,
            calls: CallTable::default(),
            totals: CallCounts::default(),
            endpoints: Endpoints::default(),
            keyed_submissions: HashMap::new(),
            cluster,
            platform_up: false,
            lease_held: None,
            outputs: PendingOutputs::default(),
            stopping: false,
        }
    }

    /// Processes events until [`Event::Stop`].
    pub(crate) fn run(mut self, initial: Option<Arc<Catalog>>) {
        let load = members::Input::Load(members::JOINING_LOAD);
        let now = self.shared.now();
        self.cluster
            .members
            .handle(now, load, &mut self.outputs.members);
        if let Some(catalog) = initial {
            self.activate(catalog);
        }
        while !self.stopping {
            match self.events.recv_timeout(self.next_wait()) {
                Ok(event) => self.handle_batch(event),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            self.tick();
        }
    }

    fn handle_batch(&mut self, first: Event) {
        self.handle(first);
        for _ in 1..MAX_BATCH_LEN {
            let Ok(event) = self.events.try_recv() else {
                return;
            };
            self.handle(event);
        }
    }

    fn handle(&mut self, event: Event) {
        let now = self.shared.now();
        match event {
            Event::Submit(submission) => self.submit(now, submission),
            Event::CallerLeft(call) => self.caller_left(now, call),
            Event::Progress(progress) => self.handle_progress(now, progress),
            Event::Finished(finished) => self.handle_end(now, &finished),
            Event::Load(report) => self.handle_load_report(now, report),
            Event::LoadUnavailable(endpoint) => self.endpoints.load_unavailable(&endpoint),
            Event::Cache(event) => self.feed_pool(now, poplarswitch_scheduler::Input::Cache(event)),
            Event::Peer(event) => self.handle_peer_event(now, event),
            Event::Platform(reply) => self.handle_platform_reply(now, reply),
            Event::Orders(input) => self.feed_orders(now, input),
            Event::Activate(catalog) => self.activate(catalog),
            Event::Status(reply) => drop(reply.send(self.status())),
            Event::StartDrain => self.start_drain(now),
            Event::DrainOrForce => self.drain_or_force(now),
            Event::Stop => self.stopping = true,
        }
        self.process_outputs(now);
    }

    fn tick(&mut self) {
        let now = self.shared.now();
        let is_due = |wake: Option<Time>| wake.is_some_and(|wake| wake <= now);
        let cluster = &mut self.cluster;
        if let Some(pool) = &mut self.pool
            && is_due(pool.next_wake())
        {
            pool.tick(now, &mut self.outputs.pool);
        }
        if is_due(cluster.members.next_wake()) {
            let load = members::Input::Load(load_permille(&self.shared));
            cluster.members.handle(now, load, &mut self.outputs.members);
            cluster.members.tick(now, &mut self.outputs.members);
            let members = Arc::new(cluster.members.members());
            self.shared.members.store(members);
        }
        if is_due(cluster.follower.next_wake()) {
            cluster.follower.tick(now, &mut self.outputs.publish);
        }
        if is_due(cluster.keys.next_wake()) {
            cluster.keys.tick(now, &mut self.outputs.keys);
        }
        if cluster.platform.is_configured() && is_due(cluster.orders.next_wake(now)) {
            cluster.orders.tick(now, &mut self.outputs.orders);
        }
        cluster.drain.tick(now, &mut self.outputs.drain);
        self.process_outputs(now);
    }

    fn next_wait(&self) -> Duration {
        let now = self.shared.now();
        let cluster = &self.cluster;
        let wakes = [
            self.pool.as_ref().and_then(Pool::next_wake),
            cluster.members.next_wake(),
            cluster.follower.next_wake(),
            cluster.keys.next_wake(),
            next_orders_wake(cluster, now),
            cluster.drain.next_wake(now),
        ];
        let wake = wakes.into_iter().flatten().min();
        wake.map_or(MAX_WAIT, |wake| wake.since(now).min(MAX_WAIT))
    }

    /// Puts a set into force, unless its generation is not newer than the one in force.
    fn activate(&mut self, catalog: Arc<Catalog>) {
        let now = self.shared.now();
        let shared = &self.shared;
        let current = shared.catalog.load();
        if current
            .as_ref()
            .is_some_and(|current| current.generation >= catalog.generation)
        {
            return;
        }
        drop(current);
        shared
            .counters
            .generation
            .set(catalog.generation.0.cast_signed());
        shared.record(
            None,
            poplarswitch_timeline::EventKind::GenerationInForce {
                generation: catalog.generation,
            },
        );
        self.endpoints.replace(&catalog);
        if let Some(pool) = &mut self.pool {
            pool.reload(now, Arc::clone(&catalog), &mut self.outputs.pool);
        } else {
            let local = shared.incarnation;
            let pool = Pool::new(local, Arc::clone(&catalog), self.policy, local.0);
            self.pool = Some(pool);
        }
        shared.catalog.store(Some(catalog));
        shared.set_phase(Phase::Serving);
        let load = members::Input::Load(load_permille(shared));
        self.cluster
            .members
            .handle(now, load, &mut self.outputs.members);
        self.update_members(now);
    }

    /// Publishes to the polling threads the endpoints whose route has this VM as its home.
    fn update_polled_endpoints(&self) {
        let Some(catalog) = self.shared.catalog.load_full() else {
            return;
        };
        let local = self.shared.incarnation;
        let Some(pool) = &self.pool else { return };
        let is_home = |entry: &&poplarswitch_catalog::EndpointEntry| {
            pool.home_of(&catalog.routes[entry.route]) == local
        };
        let endpoints = catalog.endpoints.values().filter(is_home);
        let endpoints = endpoints.map(|entry| entry.endpoint.clone()).collect();
        self.shared.polled_endpoints.store(Arc::new(endpoints));
    }

    fn feed_pool(&mut self, now: Time, input: poplarswitch_scheduler::Input) {
        if let Some(pool) = &mut self.pool {
            pool.handle(now, Input::Local(input), &mut self.outputs.pool);
        }
    }
}

/// Open calls in thousandths of the limit, as reported to other VMs.
fn load_permille(shared: &Shared) -> u16 {
    if shared.catalog.load().is_none() {
        return members::JOINING_LOAD;
    }
    let open = shared.counters.open.get().max(0) as u64;
    let limit = u64::from(shared.settings.limits.calls).max(1);
    (open * 1_000 / limit).min(1_000) as u16
}

/// Next wake-up of the order state machine; none without a platform, since there is no lease then.
fn next_orders_wake(cluster: &Cluster, now: Time) -> Option<Time> {
    let wake = cluster.orders.next_wake(now);
    wake.filter(|_| cluster.platform.is_configured())
}
