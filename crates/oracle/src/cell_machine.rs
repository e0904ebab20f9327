//! Random steps for the simulation of a cell.

use crate::{
    call_oracle::CallOracle,
    calls::Ending,
    cell_sim::{CellSim, NetworkFaults, VM_COUNT},
    fixture::Kind,
    mutation::Mutation,
    runner::SystemUnderTest,
};
use proptest::{prelude::*, sample::select};
use proptest_state_machine::ReferenceStateMachine;

/// One step of the simulation.
///
/// In `End`, `Cancel`, `Progress` and `CrashEndpoint` the `usize` chooses among the live dispatches
/// or open calls, modulo their count; in the other steps each `usize` is the index of a VM.
#[derive(Clone, Debug)]
pub enum Step {
    /// Submits a call at a VM.
    Submit(usize, Kind),
    /// Submits several calls at a VM.
    Burst(usize, Kind, u8),
    /// Ends a live dispatch.
    End(usize, Ending),
    /// Cancels an open call.
    Cancel(usize),
    /// A live dispatch emits tokens.
    Progress(usize, u32),
    /// Changes the faults of the network.
    SetFaults(NetworkFaults),
    /// Cuts the link between two VMs in both directions.
    CutLink(usize, usize),
    /// Restores all cut links.
    RestoreLinks,
    /// Pauses a VM.
    Pause(usize),
    /// Resumes a paused VM, which handles the messages that arrived meanwhile.
    Unpause(usize),
    /// Replaces a VM by a new incarnation, without telling the others.
    Crash(usize),
    /// Passes the present members of the cell to a VM.
    UpdateMembers(usize),
    /// Passes the members without the second VM to the first VM.
    RemoveMember(usize, usize),
    /// Crashes the endpoint of a live dispatch.
    CrashEndpoint(usize),
    /// Puts the other set into force at a VM.
    Reload(usize),
    /// Lets time pass, in milliseconds.
    Wait(u64),
}

/// Generates the steps; any step may follow any other.
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
        let vm = 0..VM_COUNT;
        prop_oneof![
            8 => (vm.clone(), kind()).prop_map(|(vm, kind)| Step::Submit(vm, kind)),
            1 => (vm.clone(), kind(), 5..20_u8).prop_map(|(v, k, n)| Step::Burst(v, k, n)),
            6 => (pick.clone(), select(Ending::ALL.to_vec())).prop_map(|(p, e)| Step::End(p, e)),
            4 => pick.clone().prop_map(|pick| Step::End(pick, Ending::Answer)),
            2 => pick.clone().prop_map(Step::Cancel),
            1 => (pick.clone(), 1..50_u32).prop_map(|(p, tokens)| Step::Progress(p, tokens)),
            2 => network_faults().prop_map(Step::SetFaults),
            1 => (vm.clone(), vm.clone()).prop_map(|(a, b)| Step::CutLink(a, b)),
            1 => Just(Step::RestoreLinks),
            1 => vm.clone().prop_map(Step::Pause),
            2 => vm.clone().prop_map(Step::Unpause),
            1 => vm.clone().prop_map(Step::Crash),
            2 => vm.clone().prop_map(Step::UpdateMembers),
            1 => (vm.clone(), vm.clone()).prop_map(|(a, b)| Step::RemoveMember(a, b)),
            1 => pick.prop_map(Step::CrashEndpoint),
            1 => vm.prop_map(Step::Reload),
            6 => (1..100_u64).prop_map(Step::Wait),
            3 => (100..2_000_u64).prop_map(Step::Wait),
            1 => (2_000..9_000_u64).prop_map(Step::Wait),
        ]
        .boxed()
    }

    fn apply((): Self::State, _: &Self::Transition) -> Self::State {}
}

fn network_faults() -> impl Strategy<Value = NetworkFaults> {
    let ranges = (0..40_u8, 0..30_u8, 0..80_u64);
    ranges.prop_map(
        |(loss_percent, duplicate_percent, max_delay_ms)| NetworkFaults {
            loss_percent,
            duplicate_percent,
            max_delay_ms,
        },
    )
}

impl SystemUnderTest for CellSim {
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

    fn oracle(&self) -> &CallOracle {
        &self.oracle
    }

    fn held_calls(&self) -> usize {
        Self::held_calls(self)
    }
}
