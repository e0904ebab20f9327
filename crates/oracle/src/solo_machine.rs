//! The steps that one scheduler is put through.

use crate::{
    calls::Ending, fixture::Kind, hunt::Bench, judge::Judge, mutation::Mutation, solo::Solo,
};
use proptest::{prelude::*, sample::select};
use proptest_state_machine::ReferenceStateMachine;

/// One step; a pick refers to the calls that are live or open when it is taken.
#[derive(Clone, Debug)]
pub enum Step {
    /// A call arrives.
    Submit(Kind),
    /// Many calls arrive.
    Burst(Kind, u8),
    /// A live dispatch ends.
    End(usize, Ending),
    /// A caller leaves.
    Cancel(usize),
    /// A live dispatch produces tokens.
    Progress(usize, u32),
    /// The last end comes once more.
    Repeat,
    /// The end of an earlier attempt comes late.
    Stale(usize),
    /// An endpoint reports its load, at an age in milliseconds.
    Load(usize, u64),
    /// Another set comes into force.
    Reload,
    /// Time passes, in milliseconds.
    Wait(u64),
}

/// The steps of one scheduler; any step may follow any other.
#[derive(Debug)]
pub struct SoloMachine;

impl ReferenceStateMachine for SoloMachine {
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
            1 => Just(Step::Repeat),
            1 => pick.clone().prop_map(Step::Stale),
            1 => (pick, 0..8_000_u64).prop_map(|(site, age)| Step::Load(site, age)),
            1 => Just(Step::Reload),
            3 => (1..2_000_u64).prop_map(Step::Wait),
            1 => (2_000..25_000_u64).prop_map(Step::Wait),
        ]
        .boxed()
    }

    fn apply((): Self::State, _: &Self::Transition) -> Self::State {}
}

impl Bench for Solo {
    type Machine = SoloMachine;

    fn start(mutation: Option<Mutation>) -> Self {
        Self::new(mutation)
    }

    fn step(&mut self, step: &Step) {
        Self::step(self, step);
    }

    fn finish(&mut self) {
        Self::finish(self);
    }

    fn judge(&self) -> &Judge {
        &self.judge
    }

    fn held(&self) -> usize {
        Self::held(self)
    }
}
