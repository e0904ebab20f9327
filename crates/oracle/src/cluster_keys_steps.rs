//! Random steps for the world of keyed calls.

use crate::{cluster_keys::VMS, cluster_net::Place};
use proptest::prelude::*;
use proptest_state_machine::ReferenceStateMachine;

/// One step of the world.
#[derive(Clone, Debug)]
pub enum Step {
    /// A caller makes up a key.
    Key {
        /// The home, if it has one.
        home: Place,
        /// Whether it has a home.
        tokened: bool,
    },
    /// A caller sends a call with one of the keys.
    Call {
        /// The VM that it calls.
        place: Place,
        /// Which key.
        key: usize,
    },
    /// Time passes.
    Run {
        /// Milliseconds.
        millis: u64,
    },
    /// A VM dies and a fresh one takes its place.
    Crash(Place),
    /// A VM leaves, hands its keys over, and is replaced.
    Drain(Place),
    /// A VM stands still.
    Pause {
        /// Which VM.
        place: Place,
        /// For how long.
        seconds: u64,
    },
    /// A link breaks, and both sides notice.
    Break(Place, Place),
    /// Messages in one direction are lost, and nobody notices.
    Swallow(Place, Place),
    /// All links work again.
    Mend,
    /// Messages are lost, doubled and late from now on, or no longer.
    Faults(bool),
    /// The platform's health changes.
    Platform(u8),
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
            4 => (place.clone(), 0..3).prop_map(|(home, kind)| Step::Key {
                home,
                tokened: kind > 0,
            }),
            14 => (place.clone(), 0_usize..64).prop_map(|(place, key)| Step::Call { place, key }),
            12 => prop_oneof![1_u64..50, 1_u64..3_000, 20_000_u64..80_000]
                .prop_map(|millis| Step::Run { millis }),
            2 => place.clone().prop_map(Step::Crash),
            5 => place.clone().prop_map(Step::Drain),
            2 => (place.clone(), 1_u64..40)
                .prop_map(|(place, seconds)| Step::Pause { place, seconds }),
            2 => (place.clone(), place.clone()).prop_map(|(a, b)| Step::Break(a, b)),
            4 => (place.clone(), place).prop_map(|(a, b)| Step::Swallow(a, b)),
            2 => Just(Step::Mend),
            2 => any::<bool>().prop_map(Step::Faults),
            2 => (0_u8..4).prop_map(Step::Platform),
        ]
        .boxed()
    }

    fn apply(state: u64, _: &Step) -> u64 {
        state
    }
}
