//! Random steps for the simulation of keyed calls.

use crate::{cluster_env::NodeIndex, cluster_keys::VM_COUNT};
use proptest::prelude::*;
use proptest_state_machine::ReferenceStateMachine;

/// One step of the simulation.
#[derive(Clone, Debug)]
pub enum Step {
    /// Creates a key.
    Key {
        /// The home VM, if the key has a token.
        home: NodeIndex,
        /// Whether the key starts with a token of its home VM.
        has_token: bool,
    },
    /// Submits a call with one of the keys.
    Call {
        /// The VM that the caller is connected to.
        node: NodeIndex,
        /// Chooses among the keys, modulo their count.
        key: usize,
    },
    /// Lets time pass.
    Run {
        /// Duration in milliseconds.
        millis: u64,
    },
    /// Replaces a VM by a new incarnation without a drain.
    Crash(NodeIndex),
    /// Drains a VM; it hands its keys over and is replaced by a new incarnation.
    Drain(NodeIndex),
    /// Pauses a VM.
    Pause {
        /// The VM.
        node: NodeIndex,
        /// Duration in seconds.
        seconds: u64,
    },
    /// Breaks a link; both VMs are informed.
    BreakLink(NodeIndex, NodeIndex),
    /// Drops all messages from the first VM to the second, without informing either.
    CutDirection(NodeIndex, NodeIndex),
    /// Restores all links.
    RestoreLinks,
    /// Starts or ends the loss, duplication and delay of messages.
    SetLinkFaults(bool),
    /// Sets the platform's health: up, slow, down or lossy.
    SetHealth(u8),
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
            4 => (node.clone(), 0..3).prop_map(|(home, kind)| Step::Key {
                home,
                has_token: kind > 0,
            }),
            14 => (node.clone(), 0_usize..64).prop_map(|(node, key)| Step::Call { node, key }),
            12 => prop_oneof![1_u64..50, 1_u64..3_000, 20_000_u64..80_000]
                .prop_map(|millis| Step::Run { millis }),
            2 => node.clone().prop_map(Step::Crash),
            5 => node.clone().prop_map(Step::Drain),
            2 => (node.clone(), 1_u64..40)
                .prop_map(|(node, seconds)| Step::Pause { node, seconds }),
            2 => (node.clone(), node.clone()).prop_map(|(a, b)| Step::BreakLink(a, b)),
            4 => (node.clone(), node).prop_map(|(a, b)| Step::CutDirection(a, b)),
            2 => Just(Step::RestoreLinks),
            2 => any::<bool>().prop_map(Step::SetLinkFaults),
            2 => (0_u8..4).prop_map(Step::SetHealth),
        ]
        .boxed()
    }

    fn apply(state: u64, _: &Step) -> u64 {
        state
    }
}
