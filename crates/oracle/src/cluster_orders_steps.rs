//! Random steps for the simulation of orders.

use crate::{
    cluster_env::NodeIndex,
    cluster_orders::{ENGINE_COUNT, VM_COUNT},
};
use proptest::prelude::*;
use proptest_state_machine::ReferenceStateMachine;

/// One step of the simulation.
#[derive(Clone, Debug)]
pub enum Step {
    /// Puts a set into force on all VMs.
    Set {
        /// The version that the set declares for all engines.
        version: u8,
    },
    /// Lets time pass.
    Run {
        /// Duration in milliseconds.
        millis: u64,
    },
    /// Pauses a VM.
    Pause {
        /// The VM.
        node: NodeIndex,
        /// Duration in seconds, limited to the longest assumed pause if engines ignore fencing
        /// numbers.
        seconds: u64,
    },
    /// Replaces a VM by a new incarnation.
    Replace(NodeIndex),
    /// Lets a VM leave.
    Leave(NodeIndex),
    /// Sets the platform's health: up, slow, down or lossy.
    SetHealth(u8),
    /// Isolates one VM, and no other, from the platform, or none.
    Isolate(Option<NodeIndex>),
    /// Isolates the holder of the lease from the platform, puts a new set into force later, and
    /// pauses the holder shortly after that.
    PauseHolder {
        /// Milliseconds from the isolation to the new set.
        wait_ms: u64,
        /// The version that the set declares for all engines.
        version: u8,
        /// Milliseconds from the new set to the pause.
        work_ms: u64,
        /// Duration of the pause in seconds.
        pause_s: u64,
    },
    /// Changes the model version of an engine without an order.
    Drift(usize),
}

/// Generates the steps; the state is the seed of the simulation and whether engines check fencing
/// numbers.
#[derive(Debug)]
pub struct Machine;

impl ReferenceStateMachine for Machine {
    type State = (u64, bool);
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Self::State> {
        any::<(u64, bool)>().boxed()
    }

    fn transitions(_: &Self::State) -> BoxedStrategy<Step> {
        let node = 0..VM_COUNT;
        prop_oneof![
            12 => (0_u8..4).prop_map(|version| Step::Set { version }),
            24 => prop_oneof![1_u64..3_000, 5_000_u64..40_000]
                .prop_map(|millis| Step::Run { millis }),
            12 => (node.clone(), 1_u64..90)
                .prop_map(|(node, seconds)| Step::Pause { node, seconds }),
            1 => node.clone().prop_map(Step::Replace),
            1 => node.clone().prop_map(Step::Leave),
            8 => pause_holder(),
            6 => proptest::option::of(node).prop_map(Step::Isolate),
            4 => (0_u8..4).prop_map(Step::SetHealth),
            1 => (0..ENGINE_COUNT).prop_map(Step::Drift),
        ]
        .boxed()
    }

    fn apply(state: Self::State, _: &Step) -> Self::State {
        state
    }
}

/// Pauses the holder shortly before its lease expires, or while it sends the orders of a new set.
fn pause_holder() -> impl Strategy<Value = Step> {
    let before_expiry = (19_000_u64..30_000, 1_u64..1_500, 9_u64..12);
    let during_work = (1_u64..15_000, 1_u64..20_000, 20_u64..60);
    (prop_oneof![before_expiry, during_work], 0_u8..4).prop_map(
        |((wait_ms, work_ms, pause_s), version)| Step::PauseHolder {
            wait_ms,
            version,
            work_ms,
            pause_s,
        },
    )
}
