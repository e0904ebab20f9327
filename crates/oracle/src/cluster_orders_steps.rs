//! Random steps for the world of orders.

use crate::{
    cluster_net::Place,
    cluster_orders::{ENGINES, VMS},
};
use proptest::prelude::*;
use proptest_state_machine::ReferenceStateMachine;

/// One step of the world.
#[derive(Clone, Debug)]
pub enum Step {
    /// A set comes into force on all VMs.
    Set {
        /// The version that all engines should serve.
        version: u8,
    },
    /// Time passes.
    Run {
        /// Milliseconds.
        millis: u64,
    },
    /// A VM stands still.
    Pause {
        /// Which VM.
        place: Place,
        /// For how long; cut to the assumed bound where engines ignore numbers.
        seconds: u64,
    },
    /// A VM dies and a fresh one takes its place.
    Replace(Place),
    /// A VM leaves.
    Leave(Place),
    /// The platform's health changes.
    Platform(u8),
    /// One VM cannot reach the platform, or all can again.
    Isolate(Option<Place>),
    /// The holder loses the platform, gets a new set later, and stands still at once.
    LateHolder {
        /// Milliseconds until the new set.
        wait: u64,
        /// The version that all engines should serve.
        version: u8,
        /// Milliseconds from the set to the pause.
        work: u64,
        /// Seconds of the pause.
        pause: u64,
    },
    /// Somebody changes an engine by hand.
    Drift(usize),
}

/// Generates steps; the state is the seed of the world and whether engines check numbers.
#[derive(Debug)]
pub struct Machine;

impl ReferenceStateMachine for Machine {
    type State = (u64, bool);
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Self::State> {
        any::<(u64, bool)>().boxed()
    }

    fn transitions(_: &Self::State) -> BoxedStrategy<Step> {
        let place = 0..VMS;
        prop_oneof![
            12 => (0_u8..4).prop_map(|version| Step::Set { version }),
            24 => prop_oneof![1_u64..3_000, 5_000_u64..40_000]
                .prop_map(|millis| Step::Run { millis }),
            12 => (place.clone(), 1_u64..90)
                .prop_map(|(place, seconds)| Step::Pause { place, seconds }),
            1 => place.clone().prop_map(Step::Replace),
            1 => place.clone().prop_map(Step::Leave),
            8 => late_holder(),
            6 => proptest::option::of(place).prop_map(Step::Isolate),
            4 => (0_u8..4).prop_map(Step::Platform),
            1 => (0..ENGINES).prop_map(Step::Drift),
        ]
        .boxed()
    }

    fn apply(state: Self::State, _: &Step) -> Self::State {
        state
    }
}

/// Either just before the lease lapses, or in the middle of bringing in a set.
fn late_holder() -> impl Strategy<Value = Step> {
    let late = (19_000_u64..30_000, 1_u64..1_500, 9_u64..12);
    let early = (1_u64..15_000, 1_u64..20_000, 20_u64..60);
    (prop_oneof![late, early], 0_u8..4).prop_map(|((wait, work, pause), version)| {
        Step::LateHolder {
            wait,
            version,
            work,
            pause,
        }
    })
}
