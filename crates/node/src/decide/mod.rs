//! The decision thread: owns the cores, feeds them, carries out what they order.
//!
//! All events of the process come through one channel. Its length needs no bound of its own,
//! because each source is bounded: calls by the settings' limit, runs by the number of
//! threads, links by their own queues, reports by the number of pollers.

mod calls;
mod carry;
mod status;
mod table;

use crate::{event::Event, shared::Shared};
use core::time::Duration;
use crossbeam::channel::{Receiver, RecvTimeoutError};
use poplarswitch_catalog::Catalog;
use poplarswitch_entity::Time;
use poplarswitch_pool::{Input, Output, Pool};
use poplarswitch_scheduler::Policy;
use poplarswitch_wire::{CallCounts, Phase};
use std::sync::Arc;
use table::{Endpoints, Table};

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
    out: Vec<Output>,
    stopping: bool,
}

impl Decider {
    /// Starts without a set.
    pub(crate) fn new(shared: Arc<Shared>, events: Receiver<Event>, policy: Policy) -> Self {
        Self {
            shared,
            events,
            policy,
            pool: None,
            calls: Table::default(),
            totals: CallCounts::default(),
            endpoints: Endpoints::default(),
            out: Vec::new(),
            stopping: false,
        }
    }

    /// Runs until the process ends.
    pub(crate) fn run(mut self, first: Option<Arc<Catalog>>) {
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
            Event::Activate(catalog) => self.activate(catalog),
            Event::Status(reply) => drop(reply.send(self.status())),
            Event::Drain => self.drain(),
            Event::Stop => self.stopping = true,
        }
        self.carry_out(now);
    }

    fn tick(&mut self) {
        let now = self.shared.now();
        if let Some(pool) = &mut self.pool
            && pool.next_wake().is_some_and(|wake| wake <= now)
        {
            pool.tick(now, &mut self.out);
        }
        self.carry_out(now);
        if self.shared.phase() == Phase::Draining && self.calls.is_empty() {
            self.shared.set_phase(Phase::Drained);
            let ended = poplarswitch_timeline::EventKind::DrainEnded { cut: 0 };
            self.shared.record(None, ended);
        }
    }

    fn wait(&self) -> Duration {
        let now = self.shared.now();
        let wake = self.pool.as_ref().and_then(Pool::next_wake);
        wake.map_or(LONGEST_WAIT, |wake| wake.since(now).min(LONGEST_WAIT))
    }

    /// Puts a set into force.
    fn activate(&mut self, catalog: Arc<Catalog>) {
        let now = self.shared.now();
        let shared = &self.shared;
        shared.counters.generation.set(catalog.generation.0 as i64);
        shared.record(
            None,
            poplarswitch_timeline::EventKind::GenerationInForce {
                generation: catalog.generation,
            },
        );
        self.endpoints.replace(&catalog);
        match &mut self.pool {
            Some(pool) => pool.reload(now, Arc::clone(&catalog), &mut self.out),
            None => {
                let seed = shared.incarnation.0;
                let me = shared.incarnation;
                self.pool = Some(Pool::new(me, Arc::clone(&catalog), self.policy, seed));
            }
        }
        shared.catalog.store(Some(catalog));
        shared.set_phase(Phase::Serving);
        self.assign_polls();
        self.carry_out(now);
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
            pool.handle(now, Input::Local(input), &mut self.out);
        }
    }
}
