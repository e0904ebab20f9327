//! The steps that several pools are put through.

use crate::{
    calls::Ending,
    cell::{Cell, Net, VMS},
    fixture::Kind,
    hunt::Bench,
    judge::Judge,
    mutation::Mutation,
};
use proptest::{prelude::*, sample::select};
use proptest_state_machine::ReferenceStateMachine;

/// One step; a pick refers to the calls that are live or open when it is taken.
#[derive(Clone, Debug)]
pub enum Step {
    /// A call arrives at a VM.
    Submit(usize, Kind),
    /// Many calls arrive at a VM.
    Burst(usize, Kind, u8),
    /// A live dispatch ends.
    End(usize, Ending),
    /// A caller leaves.
    Cancel(usize),
    /// A live dispatch produces tokens.
    Progress(usize, u32),
    /// The network changes.
    Network(Net),
    /// Two VMs lose each other.
    Cut(usize, usize),
    /// All VMs reach each other again.
    Heal,
    /// A VM stands still.
    Pause(usize),
    /// A VM that stood still goes on.
    Wake(usize),
    /// A VM dies and is replaced.
    Crash(usize),
    /// A VM learns who is alive.
    Members(usize),
    /// A VM takes another for leaving.
    Leave(usize, usize),
    /// The endpoint of a live dispatch crashes.
    EngineCrash(usize),
    /// Another set comes into force at a VM.
    Reload(usize),
    /// Time passes, in milliseconds.
    Wait(u64),
}

/// The steps of a cell; any step may follow any other.
#[derive(Debug)]
pub struct CellMachine;

impl ReferenceStateMachine for CellMachine {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Self::State> {
        Just(()).boxed()
    }

    fn transitions((): &Self::State) -> BoxedStrategy<Self::Transition> {
        let kind = || select(Kind::ALL.to_vec());
        let pick = 0..64_usize;
        let vm = 0..VMS;
        prop_oneof![
            8 => (vm.clone(), kind()).prop_map(|(vm, kind)| Step::Submit(vm, kind)),
            1 => (vm.clone(), kind(), 5..20_u8).prop_map(|(v, k, n)| Step::Burst(v, k, n)),
            6 => (pick.clone(), select(Ending::ALL.to_vec())).prop_map(|(p, e)| Step::End(p, e)),
            4 => pick.clone().prop_map(|pick| Step::End(pick, Ending::Answer)),
            2 => pick.clone().prop_map(Step::Cancel),
            1 => (pick.clone(), 1..50_u32).prop_map(|(p, tokens)| Step::Progress(p, tokens)),
            2 => net().prop_map(Step::Network),
            1 => (vm.clone(), vm.clone()).prop_map(|(a, b)| Step::Cut(a, b)),
            1 => Just(Step::Heal),
            1 => vm.clone().prop_map(Step::Pause),
            2 => vm.clone().prop_map(Step::Wake),
            1 => vm.clone().prop_map(Step::Crash),
            2 => vm.clone().prop_map(Step::Members),
            1 => (vm.clone(), vm.clone()).prop_map(|(a, b)| Step::Leave(a, b)),
            1 => pick.prop_map(Step::EngineCrash),
            1 => vm.prop_map(Step::Reload),
            6 => (1..100_u64).prop_map(Step::Wait),
            3 => (100..2_000_u64).prop_map(Step::Wait),
            1 => (2_000..9_000_u64).prop_map(Step::Wait),
        ]
        .boxed()
    }

    fn apply((): Self::State, _: &Self::Transition) -> Self::State {}
}

fn net() -> impl Strategy<Value = Net> {
    let parts = (0..40_u8, 0..30_u8, 0..80_u64);
    parts.prop_map(|(lost, repeated, delay)| Net {
        lost,
        repeated,
        delay,
    })
}

impl Bench for Cell {
    type Machine = CellMachine;

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
