//! The way of a VM from serving to its exit.

use crate::Mutation;
use bon::Builder;
use core::time::Duration;
use poplarswitch_entity::Time;

/// Where a VM stands on its way out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It takes new calls.
    Serving,
    /// It refuses new calls and finishes those in flight.
    Draining,
    /// Nothing is in flight; its keys are being handed over.
    HandingOver,
    /// The process may exit.
    Exit,
}

/// Everything that the drain reacts to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Input {
    /// A stop signal came.
    Stop,
    /// The keys are handed over, or nobody takes them.
    HandedOver,
}

/// Everything that the drain orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Output {
    /// Tell all peers that this VM leaves, and refuse new calls.
    Leave,
    /// Hand the keys over.
    HandOver,
    /// End the process; calls in flight are cut only after a second signal.
    Exit {
        /// Calls that are cut.
        cut: u64,
    },
}

/// Bounds of the drain.
#[derive(Clone, Copy, Debug, Builder)]
pub struct Settings {
    /// Shortest drain; callers that hold an old address still get a refusal and a list.
    #[builder(default = Duration::from_secs(6))]
    pub linger: Duration,
    /// Time from a second signal to the exit.
    #[builder(default = Duration::from_secs(10))]
    pub force_delay: Duration,
    /// Longest hand-over.
    #[builder(default = Duration::from_secs(10))]
    pub handover_timeout: Duration,
}

/// Counts what is in flight and decides on the exit.
#[derive(Debug)]
pub struct Drain {
    settings: Settings,
    phase: Phase,
    in_flight: u64,
    refused: u64,
    phase_start: Time,
    force_at: Option<Time>,
    mutation: Option<Mutation>,
}

impl Drain {
    /// Starts serving.
    pub const fn new(settings: Settings) -> Self {
        Self {
            settings,
            phase: Phase::Serving,
            in_flight: 0,
            refused: 0,
            phase_start: Time::ZERO,
            force_at: None,
            mutation: None,
        }
    }

    /// Puts a deliberate fault in.
    #[cfg(feature = "mutation")]
    pub const fn mutate(&mut self, mutation: Mutation) {
        self.mutation = Some(mutation);
    }

    /// Where this VM stands.
    pub const fn phase(&self) -> Phase {
        self.phase
    }

    /// Calls in flight.
    pub const fn in_flight(&self) -> u64 {
        self.in_flight
    }

    /// Calls refused because this VM leaves.
    pub const fn refused(&self) -> u64 {
        self.refused
    }

    /// Counts a new call in, unless this VM leaves.
    pub const fn admit(&mut self) -> bool {
        match self.phase {
            Phase::Serving => {
                self.in_flight += 1;
                true
            }
            Phase::Draining | Phase::HandingOver | Phase::Exit => {
                self.refused += 1;
                false
            }
        }
    }

    /// Counts work that belongs to calls already taken, such as a forwarded call.
    pub const fn begin(&mut self) {
        self.in_flight += 1;
    }

    /// Counts the end of a call whose whole answer was written.
    pub const fn end(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// When `tick` is next worth calling.
    ///
    /// Once the linger is over, only the end of the last call or a second signal matters.
    pub fn next_wake(&self, now: Time) -> Option<Time> {
        let step = match self.phase {
            Phase::Serving | Phase::Exit => return None,
            Phase::Draining => Some(self.phase_start + self.settings.linger).filter(|at| *at > now),
            Phase::HandingOver => Some(self.phase_start + self.settings.handover_timeout),
        };
        step.into_iter().chain(self.force_at).min()
    }

    /// Lets time pass; also to be called after `end`.
    pub fn tick(&mut self, now: Time, out: &mut Vec<Output>) {
        if self.force_at.is_some_and(|forced| now >= forced) && self.phase != Phase::Exit {
            self.exit(out);
            return;
        }
        let elapsed = now.since(self.phase_start);
        let idle = self.in_flight == 0 || self.mutation == Some(Mutation::CutInFlight);
        match self.phase {
            Phase::Draining if idle && elapsed >= self.settings.linger => {
                self.phase = Phase::HandingOver;
                self.phase_start = now;
                out.push(Output::HandOver);
            }
            Phase::HandingOver if elapsed >= self.settings.handover_timeout => self.exit(out),
            Phase::Serving | Phase::Draining | Phase::HandingOver | Phase::Exit => {}
        }
    }

    /// Reacts to one input.
    pub fn handle(&mut self, now: Time, input: Input, out: &mut Vec<Output>) {
        match (input, self.phase) {
            (Input::Stop, Phase::Serving) => {
                self.phase = Phase::Draining;
                self.phase_start = now;
                out.push(Output::Leave);
            }
            (Input::Stop, Phase::Draining | Phase::HandingOver) => {
                let forced = now + self.settings.force_delay;
                self.force_at.get_or_insert(forced);
            }
            (Input::HandedOver, Phase::HandingOver) => self.exit(out),
            (Input::Stop | Input::HandedOver, _) => {}
        }
        self.tick(now, out);
    }

    fn exit(&mut self, out: &mut Vec<Output>) {
        self.phase = Phase::Exit;
        let cut = self.in_flight;
        out.push(Output::Exit { cut });
    }
}
