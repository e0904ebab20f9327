//! Random steps for the simulation of one scheduler.

use crate::{
    call_oracle::CallOracle, calls::Ending, fixture::Kind, mutation::Mutation,
    runner::SystemUnderTest, scheduler_sim::SchedulerSim,
};
use proptest::{prelude::*, sample::select};
use proptest_state_machine::ReferenceStateMachine;

/// One step of the simulation.
///
/// The `usize` of a step chooses among the live dispatches, open calls or endpoints, modulo their
/// count.
#[derive(Clone, Debug)]
pub enum Step {
    /// Submits a call.
    Submit(Kind),
    /// Submits several calls.
    Burst(Kind, u8),
    /// Ends a live dispatch.
    End(usize, Ending),
    /// Cancels an open call.
    Cancel(usize),
    /// A live dispatch emits tokens.
    Progress(usize, u32),
    /// Passes the last end again.
    RepeatEnd,
    /// Passes an end of the attempt before a live one.
    EndEarlierAttempt(usize),
    /// An endpoint reports its load, with the age of the report in milliseconds.
    Load(usize, u64),
    /// Puts the other set into force.
    Reload,
    /// Lets time pass, in milliseconds.
    Wait(u64),
}

/// Generates the steps; any step may follow any other.
#[derive(Debug)]
pub struct SchedulerMachine;

impl ReferenceStateMachine for SchedulerMachine {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Self::State> {
        Just(()).boxed()
    }

    fn transitions((): &Self::State) -> BoxedStrategy<Self::Transition> {
        let kind = || select(Kind::ALL.to_vec());
        let pick = 0..64_usize;
        prop_oneof![
            8 => kind().prop_map(Step::Submit),
            1 => (kind(), 5..40_u8).prop_map(|(kind, count)| Step::Burst(kind, count)),
            8 => (pick.clone(), select(Ending::ALL.to_vec())).prop_map(|(p, e)| Step::End(p, e)),
            4 => pick.clone().prop_map(|pick| Step::End(pick, Ending::Answer)),
            2 => pick.clone().prop_map(Step::Cancel),
            2 => (pick.clone(), 1..50_u32).prop_map(|(p, tokens)| Step::Progress(p, tokens)),
            1 => Just(Step::RepeatEnd),
            1 => pick.clone().prop_map(Step::EndEarlierAttempt),
            1 => (pick, 0..8_000_u64).prop_map(|(index, age)| Step::Load(index, age)),
            1 => Just(Step::Reload),
            3 => (1..2_000_u64).prop_map(Step::Wait),
            1 => (2_000..25_000_u64).prop_map(Step::Wait),
        ]
        .boxed()
    }

    fn apply((): Self::State, _: &Self::Transition) -> Self::State {}
}

impl SystemUnderTest for SchedulerSim {
    type Machine = SchedulerMachine;

    fn start(mutation: Option<Mutation>) -> Self {
        Self::new(mutation)
    }

    fn step(&mut self, step: &Step) {
        Self::step(self, step);
    }

    fn finish(&mut self) {
        Self::finish(self);
    }

    fn oracle(&self) -> &CallOracle {
        &self.oracle
    }

    fn held_calls(&self) -> usize {
        Self::held_calls(self)
    }
}
