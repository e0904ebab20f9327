//! Random steps for the simulation of membership.

use crate::{cluster_env::NodeIndex, cluster_members::VM_COUNT};
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
    /// Ends a VM's process without a drain.
    Crash {
        /// The VM.
        node: NodeIndex,
        /// Whether its peers' links stay open, so that the peers are not informed.
        links_open: bool,
    },
    /// Starts a new incarnation of a VM that isn't running.
    Start(NodeIndex),
    /// Sends a VM the stop signal.
    Stop(NodeIndex),
    /// Pauses a VM.
    Pause {
        /// The VM.
        node: NodeIndex,
        /// Duration in seconds.
        seconds: u64,
    },
    /// Drops all messages from the first VM to the second; an earlier cut ends.
    CutDirection(NodeIndex, NodeIndex),
    /// Ends the cut.
    RestoreLinks,
    /// Queries a VM for addresses and calls the first one.
    Call(NodeIndex),
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
        prop_oneof![
            8 => prop_oneof![1_u64..2_000, 5_000_u64..30_000]
                .prop_map(|millis| Step::Run { millis }),
            2 => (node.clone(), any::<bool>())
                .prop_map(|(node, links_open)| Step::Crash { node, links_open }),
            3 => node.clone().prop_map(Step::Start),
            2 => node.clone().prop_map(Step::Stop),
            1 => (node.clone(), 1_u64..100)
                .prop_map(|(node, seconds)| Step::Pause { node, seconds }),
            2 => (node.clone(), node.clone()).prop_map(|(a, b)| Step::CutDirection(a, b)),
            1 => Just(Step::RestoreLinks),
            6 => node.prop_map(Step::Call),
        ]
        .boxed()
    }

    fn apply(state: u64, _: &Step) -> u64 {
        state
    }
}
