//! The drain of a VM, from the stop signal to the exit of its process.

use crate::Mutation;
use bon::Builder;
use core::time::Duration;
use poplarswitch_entity::Time;

/// Phase of a VM's drain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The VM accepts new calls.
    Serving,
    /// The VM refuses new calls and finishes those in flight.
    Draining,
    /// No call is in flight; the VM's keys are being handed over.
    HandingOver,
    /// The process may exit.
    Exit,
}

/// An event for [`Drain::handle`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Input {
    /// The process received a stop signal.
    Stop,
    /// The handover of the keys ended, with or without a successor.
    HandedOver,
}

/// An action requested by [`Drain`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Output {
    /// Announce to all peers that this VM is leaving, and refuse new calls.
    Leave,
    /// Hand the keys over to a successor.
    HandOver,
    /// Exit the process; calls in flight are aborted only after a second signal.
    Exit {
        /// Number of calls in flight, which the exit aborts.
        cut: u64,
    },
}

/// Time limits of the drain.
#[derive(Clone, Copy, Debug, Builder)]
pub struct Settings {
    /// Minimum duration of the drain, in which callers with a cached answer still get a refusal
    /// that lists other VMs.
    #[builder(default = Duration::from_secs(6))]
    pub linger: Duration,
    /// Time from a second stop signal to the exit, at the latest.
    #[builder(default = Duration::from_secs(10))]
    pub force_delay: Duration,
    /// Maximum duration of the handover.
    #[builder(default = Duration::from_secs(10))]
    pub handover_timeout: Duration,
}

/// Drain state machine: counts the calls in flight and decides when the process exits.
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
    /// Starts in [`Phase::Serving`].
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

    /// Injects a deliberate fault.
    #[cfg(feature = "mutation")]
    pub const fn mutate(&mut self, mutation: Mutation) {
        self.mutation = Some(mutation);
    }

    /// Current phase.
    pub const fn phase(&self) -> Phase {
        self.phase
    }

    /// Number of calls in flight.
    pub const fn in_flight(&self) -> u64 {
        self.in_flight
    }

    /// Number of calls refused because this VM is leaving.
    pub const fn refused(&self) -> u64 {
        self.refused
    }

    /// Counts a new call as in flight and returns true, or refuses it if this VM is leaving.
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

    /// Counts further work of admitted calls, such as the run of a forwarded call, as in flight.
    pub const fn begin(&mut self) {
        self.in_flight += 1;
    }

    /// Counts a call as ended, once its whole answer was written.
    pub const fn end(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Time at which `tick` has to be called next.
    ///
    /// Once the linger has passed, only the end of the last call or a second signal has an effect.
    pub fn next_wake(&self, now: Time) -> Option<Time> {
        let step = match self.phase {
            Phase::Serving | Phase::Exit => return None,
            Phase::Draining => Some(self.phase_start + self.settings.linger).filter(|at| *at > now),
            Phase::HandingOver => Some(self.phase_start + self.settings.handover_timeout),
        };
        step.into_iter().chain(self.force_at).min()
    }

    /// Handles the timers that are due; has to be called after `end` as well.
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

    /// Handles one input and appends the resulting actions to `out`.
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
