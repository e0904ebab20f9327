//! Random steps for the simulation of requests that crash endpoints, and deliberate faults.

use crate::{
    cluster_env::NodeIndex,
    quarantine_sim::{ENDPOINT_COUNT, REQUEST_COUNT, VM_COUNT},
};
use proptest::prelude::*;
use proptest_state_machine::ReferenceStateMachine;

/// One step of the simulation.
#[derive(Clone, Debug)]
pub enum Step {
    /// Lets time pass.
    Run {
        /// Duration in milliseconds.
        millis: u64,
    },
    /// Sets how often a request comes.
    Rate {
        /// The request.
        request: usize,
        /// Calls per second.
        per_second: u32,
    },
    /// Sends a request to several VMs at once.
    Burst {
        /// The request.
        request: usize,
        /// Number of VMs.
        copies: usize,
    },
    /// Lets a request that has not come yet crash each endpoint that begins to run it.
    BeginBad(usize),
    /// Lets a request crash each endpoint that begins to run it from now on.
    TurnBad(usize),
    /// Crashes an endpoint that no request is to blame for.
    CrashEndpoint(usize),
    /// Kills a VM.
    Kill(NodeIndex),
    /// Starts a VM that was killed.
    Start(NodeIndex),
    /// Freezes a VM.
    Freeze {
        /// The VM.
        node: NodeIndex,
        /// Duration in milliseconds.
        millis: u64,
    },
    /// Cuts a VM off from all others, but not from the platform.
    Cut(NodeIndex),
    /// Ends all cuts.
    Restore,
    /// Changes the faults of all links.
    Links {
        /// Share of lost messages.
        loss_percent: u32,
        /// Share of repeated messages.
        duplicate_percent: u32,
        /// Maximum additional delay in milliseconds, which also reorders messages.
        delay_ms: u64,
    },
}

/// A deliberate fault that the oracle has to detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// VMs don't take in what others tell of crashes and holds.
    CountAlone,
    /// VMs don't take in what others tell of answers, those to trials among them.
    IgnoreAnswers,
    /// Each VM takes itself for the home.
    ManyHomes,
}

/// Generates the steps; the state is the seed of the simulation. Requests that were answered well before
/// they turn bad come only with `TURNS`.
#[derive(Debug)]
pub struct Machine<const TURNS: bool>;

impl<const TURNS: bool> ReferenceStateMachine for Machine<TURNS> {
    type State = u64;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<u64> {
        any::<u64>().boxed()
    }

    fn transitions(_: &u64) -> BoxedStrategy<Step> {
        let node = 0..VM_COUNT;
        let request = 0..REQUEST_COUNT;
        let rates = prop::sample::select(vec![0, 1, 4, 10, 30]);
        prop_oneof![
            10 => prop_oneof![10_u64..500, 500_u64..6_000]
                .prop_map(|millis| Step::Run { millis }),
            4 => (request.clone(), rates)
                .prop_map(|(request, per_second)| Step::Rate { request, per_second }),
            3 => (request.clone(), 1..=VM_COUNT)
                .prop_map(|(request, copies)| Step::Burst { request, copies }),
            3 => request.prop_map(if TURNS { Step::TurnBad } else { Step::BeginBad }),
            2 => (0..ENDPOINT_COUNT).prop_map(Step::CrashEndpoint),
            1 => node.clone().prop_map(Step::Kill),
            2 => node.clone().prop_map(Step::Start),
            1 => (node.clone(), 100_u64..5_000)
                .prop_map(|(node, millis)| Step::Freeze { node, millis }),
            1 => node.prop_map(Step::Cut),
            2 => Just(Step::Restore),
            2 => (0_u32..20, 0_u32..30, 0_u64..200).prop_map(
                |(loss_percent, duplicate_percent, delay_ms)| Step::Links {
                    loss_percent,
                    duplicate_percent,
                    delay_ms,
                }
            ),
        ]
        .boxed()
    }

    fn apply(state: u64, _: &Step) -> u64 {
        state
    }
}
