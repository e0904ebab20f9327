//! Random steps for the simulation of limits that endpoints name, and deliberate faults.

use crate::{
    cluster_env::NodeIndex,
    limits_sim::{ENDPOINT_COUNT, VM_COUNT},
};
use proptest::{prelude::*, sample::select};
use proptest_state_machine::ReferenceStateMachine;

/// One step of the simulation.
#[derive(Clone, Debug)]
pub enum Step {
    /// Lets time pass.
    Run {
        /// Duration in milliseconds.
        millis: u64,
    },
    /// Sets how many calls come, and where.
    Calls {
        /// Calls per second.
        per_second: u32,
        /// Share of them that comes to the first VM, in per cent; the others come to any.
        first_percent: u32,
    },
    /// Sets the limit that an endpoint names.
    Name {
        /// The endpoint.
        endpoint: usize,
        /// Requests per second; none ends the limit.
        rate: Option<f64>,
    },
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
    /// Cuts a VM off from all others.
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
    /// Each VM takes itself for the owner of all limits.
    ManyOwners,
    /// VMs tell nobody of limits.
    NoNews,
}

/// Generates the steps; the state is the seed of the simulation.
#[derive(Debug)]
pub struct Machine;

impl ReferenceStateMachine for Machine {
    type State = u64;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<u64> {
        any::<u64>().boxed()
    }

    fn transitions(_: &u64) -> BoxedStrategy<Step> {
        let node = 0..VM_COUNT;
        let rates = vec![None, Some(0.0), Some(0.4), Some(1.4), Some(6.5), Some(20.0)];
        prop_oneof![
            10 => prop_oneof![10_u64..500, 500_u64..8_000]
                .prop_map(|millis| Step::Run { millis }),
            2 => (select(vec![5, 40, 150]), 0_u32..=100).prop_map(
                |(per_second, first_percent)| Step::Calls {
                    per_second,
                    first_percent,
                }
            ),
            4 => (0..ENDPOINT_COUNT, select(rates))
                .prop_map(|(endpoint, rate)| Step::Name { endpoint, rate }),
            1 => node.clone().prop_map(Step::Kill),
            2 => node.clone().prop_map(Step::Start),
            1 => (node.clone(), 100_u64..5_000)
                .prop_map(|(node, millis)| Step::Freeze { node, millis }),
            1 => node.prop_map(Step::Cut),
            2 => Just(Step::Restore),
            2 => (0_u32..20, 0_u32..30, 0_u64..100).prop_map(
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
