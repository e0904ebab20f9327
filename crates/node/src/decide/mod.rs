//! The decision thread: owns the cores, feeds them, carries out what they order.
//!
//! All events of the process come through one channel. Its length needs no bound of its own,
//! because each source is bounded: calls by the settings' limit, runs by the number of
//! threads, links by their own queues, reports by the number of pollers.

mod calls;
mod carry;
mod cluster;
mod keyed;
mod orders;
mod status;
mod table;

use crate::{
    event::{Event, Submission},
    shared::Shared,
};
use cluster::Pending;
use core::time::Duration;
use crossbeam::channel::{Receiver, RecvTimeoutError};
use poplarswitch_catalog::Catalog;
use poplarswitch_entity::{CallId, FencingNumber, Time};
use poplarswitch_members as members;
use poplarswitch_pool::{Input, Pool};
use poplarswitch_scheduler::Policy;
use poplarswitch_wire::{CallCounts, Phase};
use std::{collections::HashMap, sync::Arc};
use table::{Endpoints, Table};

pub(crate) use cluster::Cluster;

/// Longest time between two looks at the cores.
const LONGEST_WAIT: Duration = Duration::from_secs(1);
/// Events that are handled before time is let pass.
const BATCH: usize = 256;

/// The decision thread's state.
pub(crate) struct Decider {
    shared: Arc<Shared>,
    events: Receiver<Event>,
    policy: Policy,
    pool: Option<Pool>,
    calls: Table,
    totals: CallCounts,
    endpoints: Endpoints,
    waiters: HashMap<CallId, Submission>,
    cluster: Cluster,
    platform_up: bool,
    lease_held: Option<FencingNumber>,
    out: Pending,
    stopping: bool,
}

impl Decider {
    /// Starts without a set.
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
            calls: Table::default(),
            totals: CallCounts::default(),
            endpoints: Endpoints::default(),
            waiters: HashMap::new(),
            cluster,
            platform_up: false,
            lease_held: None,
            out: Pending::default(),
            stopping: false,
        }
    }

    /// Runs until the process ends.
    pub(crate) fn run(mut self, first: Option<Arc<Catalog>>) {
        let load = members::Input::Load(members::JOINING_LOAD);
        let now = self.shared.now();
        self.cluster
            .members
            .handle(now, load, &mut self.out.members);
        if let Some(catalog) = first {
            self.activate(catalog);
        }
        while !self.stopping {
            match self.events.recv_timeout(self.wait()) {
                Ok(event) => self.take_batch(event),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            self.tick();
        }
    }

    fn take_batch(&mut self, first: Event) {
        self.take(first);
        for _ in 1..BATCH {
            let Ok(event) = self.events.try_recv() else {
                return;
            };
            self.take(event);
        }
    }

    fn take(&mut self, event: Event) {
        let now = self.shared.now();
        match event {
            Event::Submit(submission) => self.submit(now, submission),
            Event::Left(call) => self.left(now, call),
            Event::Progress(progress) => self.progress(now, progress),
            Event::Finished(finished) => self.finished(now, &finished),
            Event::Load(report) => self.load(now, report),
            Event::Silent(endpoint) => self.endpoints.silent(&endpoint),
            Event::Cache(event) => self.feed(now, poplarswitch_scheduler::Input::Cache(event)),
            Event::Peer(event) => self.peer(now, event),
            Event::Platform(replied) => self.replied(now, replied),
            Event::Orders(input) => self.feed_orders(now, input),
            Event::Activate(catalog) => self.activate(catalog),
            Event::Status(reply) => drop(reply.send(self.status())),
            Event::Leave => self.leave(now),
            Event::Drain => self.drain(now),
            Event::Stop => self.stopping = true,
        }
        self.carry_out(now);
    }

    fn tick(&mut self) {
        let now = self.shared.now();
        let due = |wake: Option<Time>| wake.is_some_and(|wake| wake <= now);
        let cluster = &mut self.cluster;
        if let Some(pool) = &mut self.pool
            && due(pool.next_wake())
        {
            pool.tick(now, &mut self.out.pool);
        }
        if due(cluster.members.next_wake()) {
            let load = members::Input::Load(own_load(&self.shared));
            cluster.members.handle(now, load, &mut self.out.members);
            cluster.members.tick(now, &mut self.out.members);
            let members = Arc::new(cluster.members.members());
            self.shared.members.store(members);
        }
        if due(cluster.follower.next_wake()) {
            cluster.follower.tick(now, &mut self.out.publish);
        }
        if due(cluster.keys.next_wake()) {
            cluster.keys.tick(now, &mut self.out.keys);
        }
        if cluster.platform.is_set() && due(cluster.orders.next_wake(now)) {
            cluster.orders.tick(now, &mut self.out.orders);
        }
        cluster.drain.tick(now, &mut self.out.drain);
        self.carry_out(now);
    }

    fn wait(&self) -> Duration {
        let now = self.shared.now();
        let cluster = &self.cluster;
        let wakes = [
            self.pool.as_ref().and_then(Pool::next_wake),
            cluster.members.next_wake(),
            cluster.follower.next_wake(),
            cluster.keys.next_wake(),
            orders_wake(cluster, now),
            cluster.drain.next_wake(now),
        ];
        let wake = wakes.into_iter().flatten().min();
        wake.map_or(LONGEST_WAIT, |wake| wake.since(now).min(LONGEST_WAIT))
    }

    /// Puts a set into force.
    fn activate(&mut self, catalog: Arc<Catalog>) {
        let now = self.shared.now();
        let shared = &self.shared;
        let held = shared.catalog.load();
        if held
            .as_ref()
            .is_some_and(|held| held.generation >= catalog.generation)
        {
            return;
        }
        drop(held);
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
            pool.reload(now, Arc::clone(&catalog), &mut self.out.pool);
        } else {
            let me = shared.incarnation;
            let pool = Pool::new(me, Arc::clone(&catalog), self.policy, me.0);
            self.pool = Some(pool);
        }
        shared.catalog.store(Some(catalog));
        shared.set_phase(Phase::Serving);
        let load = members::Input::Load(own_load(shared));
        self.cluster
            .members
            .handle(now, load, &mut self.out.members);
        self.regroup(now);
    }

    /// Tells the pollers which endpoints this VM is the home of.
    fn assign_polls(&self) {
        let Some(catalog) = self.shared.catalog.load_full() else {
            return;
        };
        let me = self.shared.incarnation;
        let Some(pool) = &self.pool else { return };
        let mine = |entry: &&poplarswitch_catalog::EndpointEntry| {
            pool.home_of(&catalog.routes[entry.route]) == me
        };
        let polled = catalog.endpoints.values().filter(mine);
        let polled = polled.map(|entry| entry.endpoint.clone()).collect();
        self.shared.polled.store(Arc::new(polled));
    }

    fn feed(&mut self, now: Time, input: poplarswitch_scheduler::Input) {
        if let Some(pool) = &mut self.pool {
            pool.handle(now, Input::Local(input), &mut self.out.pool);
        }
    }
}

/// Calls held, in thousandths of the limit.
fn own_load(shared: &Shared) -> u16 {
    if shared.catalog.load().is_none() {
        return members::JOINING_LOAD;
    }
    let open = shared.counters.open.get().max(0) as u64;
    let most = u64::from(shared.settings.limits.calls).max(1);
    (open * 1_000 / most).min(1_000) as u16
}

/// Without a platform there is no lease, and so there are no orders.
fn orders_wake(cluster: &Cluster, now: Time) -> Option<Time> {
    let wake = cluster.orders.next_wake(now);
    wake.filter(|_| cluster.platform.is_set())
}
