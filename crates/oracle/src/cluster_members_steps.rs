//! Random steps for the world of members.

use crate::{cluster_members::VMS, cluster_net::Place};
use proptest::prelude::*;
use proptest_state_machine::ReferenceStateMachine;

/// One step of the world.
#[derive(Clone, Debug)]
pub enum Step {
    /// Time passes.
    Run {
        /// Milliseconds.
        millis: u64,
    },
    /// A VM dies.
    End {
        /// Which VM.
        place: Place,
        /// Whether its peers' links stay open.
        silent: bool,
    },
    /// A VM is started where none runs.
    Start(Place),
    /// A VM gets a stop signal.
    Stop(Place),
    /// A VM stands still.
    Pause {
        /// Which VM.
        place: Place,
        /// For how long.
        seconds: u64,
    },
    /// Messages in one direction are lost; any other cut ends.
    Cut(Place, Place),
    /// No direction is cut any more.
    Mend,
    /// A caller asks a VM for an address and calls it.
    Call(Place),
}

/// Generates steps; the state is the seed of the world.
#[derive(Debug)]
pub struct Machine;

impl ReferenceStateMachine for Machine {
    type State = u64;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<u64> {
        any::<u64>().boxed()
    }

    fn transitions(_: &u64) -> BoxedStrategy<Step> {
        let place = 0..VMS;
        prop_oneof![
            8 => prop_oneof![1_u64..2_000, 5_000_u64..30_000]
                .prop_map(|millis| Step::Run { millis }),
            2 => (place.clone(), any::<bool>())
                .prop_map(|(place, silent)| Step::End { place, silent }),
            3 => place.clone().prop_map(Step::Start),
            2 => place.clone().prop_map(Step::Stop),
            1 => (place.clone(), 1_u64..100)
                .prop_map(|(place, seconds)| Step::Pause { place, seconds }),
            2 => (place.clone(), place.clone()).prop_map(|(a, b)| Step::Cut(a, b)),
            1 => Just(Step::Mend),
            6 => place.prop_map(Step::Call),
        ]
        .boxed()
    }

    fn apply(state: u64, _: &Step) -> u64 {
        state
    }
}
