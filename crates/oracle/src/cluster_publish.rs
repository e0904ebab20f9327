//! Simulation of operators that publish sets and VMs that put them into force.
//!
//! The oracle reads the successive values of the head directly from the platform's objects. They
//! are the accepted releases; the outcomes of the publishers and the releases in force on the VMs
//! are checked against them.

use crate::{
    cluster_env::{Environment, Event, NodeIndex, PlatformHealth},
    cluster_search::Simulation,
};
use core::time::Duration;
use poplarswitch_entity::{Generation, Incarnation, Time};
use poplarswitch_objects::{ObjectSet, Tier};
use poplarswitch_publish::{
    Draft, Follower, Head, Input, Mutation, Outcome, Output, PublishMessage, Publisher,
    PublisherInput, PublisherOutput, Settings, head_key,
};
use poplarswitch_store::{Reply, RequestId};
use proptest::prelude::*;
use proptest_state_machine::ReferenceStateMachine;
use std::collections::{BTreeMap, BTreeSet};

/// Number of VMs.
const VM_COUNT: usize = 5;
/// Node index of the first operator.
const FIRST_OPERATOR: NodeIndex = 100;
/// Time after which an accepted set has to be in force on all VMs if there are no faults.
const SPREAD_BOUND: Duration = Duration::from_secs(17);

/// One step of the simulation.
#[derive(Clone, Debug)]
pub enum Step {
    /// A new operator publishes a set, based on the current generation.
    Publish {
        /// Rank of the set's last tier, by which sets differ.
        last_rank: u8,
    },
    /// Lets time pass.
    Run {
        /// Duration in milliseconds.
        millis: u64,
    },
    /// Sets the platform's health: up, slow, down or lossy.
    SetHealth(u8),
    /// Replaces a VM by a new incarnation.
    Replace(NodeIndex),
    /// Pauses a VM.
    Pause(NodeIndex),
    /// Drops all messages from the first VM to the second until the links are restored.
    CutDirection(NodeIndex, NodeIndex),
    /// Isolates one VM, and no other, from the platform, or none.
    Isolate(Option<NodeIndex>),
    /// Restores all links.
    RestoreLinks,
    /// Starts or ends the loss, duplication and delay of messages.
    SetLinkFaults(bool),
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
        prop_oneof![
            6 => (0_u8..40).prop_map(|last_rank| Step::Publish { last_rank }),
            8 => (1_u64..6_000).prop_map(|millis| Step::Run { millis }),
            3 => (0_u8..4).prop_map(Step::SetHealth),
            2 => (0..VM_COUNT).prop_map(Step::Replace),
            2 => (0..VM_COUNT).prop_map(Step::Pause),
            2 => (0..VM_COUNT, 0..VM_COUNT).prop_map(|(a, b)| Step::CutDirection(a, b)),
            2 => proptest::option::of(0..VM_COUNT).prop_map(Step::Isolate),
            1 => Just(Step::RestoreLinks),
            1 => any::<bool>().prop_map(Step::SetLinkFaults),
        ]
        .boxed()
    }

    fn apply(state: u64, _: &Step) -> u64 {
        state
    }
}

#[derive(Debug)]
struct Operator {
    publisher: Publisher,
    nonce: u64,
    outcome: Option<Outcome>,
}

/// The operators, the VMs, the environment and the accepted releases.
#[derive(Debug)]
pub struct PublishSim {
    env: Environment<PublishMessage>,
    vms: Vec<Follower>,
    operators: BTreeMap<NodeIndex, Operator>,
    mutation: Option<Mutation>,
    seed: u64,
    incarnations: u64,
    /// The successive values of the head: generation and nonce of the current release.
    accepted: Vec<(Generation, u64)>,
    /// The highest generation that has been in force on each VM's present incarnation.
    highest: Vec<Generation>,
}

impl PublishSim {
    /// Starts all VMs and links them to one another.
    pub fn new(seed: u64, mutation: Option<Mutation>) -> Self {
        let mut sim = Self {
            env: Environment::new(seed),
            vms: Vec::new(),
            operators: BTreeMap::new(),
            mutation,
            seed,
            incarnations: 0,
            accepted: Vec::new(),
            highest: vec![Generation(0); VM_COUNT],
        };
        for node in 0..VM_COUNT {
            let follower = sim.new_follower();
            sim.vms.push(follower);
            sim.env.schedule_wake(node, Some(Time::ZERO));
        }
        for node in 0..VM_COUNT {
            sim.link(node);
        }
        sim
    }

    fn new_follower(&mut self) -> Follower {
        self.incarnations += 1;
        let seed = self.seed.wrapping_add(self.incarnations);
        let mut follower = Follower::new(Settings::builder().build(), |_| Ok(()), seed);
        if let Some(mutation) = self.mutation {
            follower.mutate(mutation);
        }
        follower
    }

    fn link(&mut self, node: NodeIndex) {
        for other in (0..VM_COUNT).filter(|other| *other != node) {
            for (a, b) in [(node, other), (other, node)] {
                let input = Input::Linked(incarnation(b));
                self.feed(a, input);
            }
        }
    }

    fn feed(&mut self, node: NodeIndex, input: Input) {
        let mut out = Vec::new();
        self.vms[node].handle(self.env.now, input, &mut out);
        self.apply_outputs(node, out);
    }

    fn apply_outputs(&mut self, node: NodeIndex, out: Vec<Output>) {
        for output in out {
            match output {
                Output::Send { to, message } => self.env.send(node, to.0 as usize, message),
                Output::Request { id, request } => self.env.request(node, id, request),
                Output::Activate(_) | Output::Refuse(_) => {}
            }
        }
        let wake = self.vms[node].next_wake();
        self.env.schedule_wake(node, wake);
    }

    fn publish(&mut self, last_rank: u8) {
        let node = FIRST_OPERATOR + self.operators.len();
        let nonce = node as u64;
        let draft = Draft::builder()
            .set(set(last_rank))
            .author(format!("operator {node}"))
            .nonce(nonce)
            .build();
        let mut publisher = Publisher::new(draft, Box::new(|_, _| Vec::new()));
        if let Some(mutation) = self.mutation {
            publisher.mutate(mutation);
        }
        let operator = Operator {
            publisher,
            nonce,
            outcome: None,
        };
        self.operators.insert(node, operator);
        self.feed_operator(node, PublisherInput::Start);
    }

    fn feed_operator(&mut self, node: NodeIndex, input: PublisherInput) {
        let Some(operator) = self.operators.get_mut(&node) else {
            return;
        };
        let mut out = Vec::new();
        operator.publisher.handle(self.env.now, input, &mut out);
        self.apply_operator_outputs(node, out);
    }

    fn apply_operator_outputs(&mut self, node: NodeIndex, out: Vec<PublisherOutput>) {
        for output in out {
            match output {
                PublisherOutput::Request { id, request } => self.env.request(node, id, request),
                PublisherOutput::Finished(outcome) => {
                    if let Some(operator) = self.operators.get_mut(&node) {
                        operator.outcome = Some(outcome);
                    }
                }
            }
        }
        let wake = self.operators[&node].publisher.next_wake();
        self.env.schedule_wake(node, wake);
    }

    fn run(&mut self, time: Duration) -> Result<(), String> {
        let until = self.env.now + time;
        while let Some(event) = self.env.next_event(until) {
            self.handle_event(event);
            self.record_head();
            self.check()?;
        }
        Ok(())
    }

    fn handle_event(&mut self, event: Event<PublishMessage>) {
        match event {
            Event::Deliver { from, to, message } => {
                let from = incarnation(from);
                self.feed(to, Input::Message { from, message });
            }
            Event::Reply { node, id, reply } => self.reply(node, id, reply),
            Event::Wake(node) if node >= FIRST_OPERATOR => {
                let mut out = Vec::new();
                if let Some(operator) = self.operators.get_mut(&node) {
                    operator.publisher.tick(self.env.now, &mut out);
                }
                self.apply_operator_outputs(node, out);
            }
            Event::Wake(node) => {
                let mut out = Vec::new();
                self.vms[node].tick(self.env.now, &mut out);
                self.apply_outputs(node, out);
            }
            Event::Request { .. } | Event::Custom { .. } => {}
        }
    }

    fn reply(&mut self, node: NodeIndex, id: RequestId, reply: Reply) {
        if node >= FIRST_OPERATOR {
            self.feed_operator(node, PublisherInput::Reply { id, reply });
        } else {
            self.feed(node, Input::Reply { id, reply });
        }
    }

    fn replace(&mut self, node: NodeIndex) {
        self.env.reset_node(node);
        self.vms[node] = self.new_follower();
        self.highest[node] = Generation(0);
        self.link(node);
        self.env.schedule_wake(node, Some(self.env.now));
    }

    /// Records the head if its current release has changed.
    fn record_head(&mut self) {
        let Some(object) = self.env.store.peek(&head_key()) else {
            return;
        };
        let Ok(head) = Head::parse(&object.value) else {
            return;
        };
        let entry = (head.current.generation, head.current.nonce);
        if self.accepted.last() != Some(&entry) {
            self.accepted.push(entry);
        }
    }

    fn check(&mut self) -> Result<(), String> {
        let generations: Vec<Generation> =
            self.accepted.iter().map(|(number, _)| *number).collect();
        if !generations.is_sorted_by(|a, b| a < b) {
            return Err(format!("generations do not increase: {:?}", self.accepted));
        }
        // `Mutation::RetryOnNewHead` repeats a publication under a nonce that differs in the upper
        // 32 bits only.
        let nonces = self.accepted.iter().map(|(_, nonce)| *nonce as u32);
        let nonces: BTreeSet<u32> = nonces.collect();
        if nonces.len() != self.accepted.len() {
            return Err(format!(
                "one publication accepted twice: {:?}",
                self.accepted
            ));
        }
        self.check_vms()?;
        self.operators
            .values()
            .try_for_each(|operator| self.check_operator(operator))
    }

    fn check_vms(&mut self) -> Result<(), String> {
        for (node, vm) in self.vms.iter().enumerate() {
            let Some(active) = vm.active() else { continue };
            let entry = (active.release.generation, active.release.nonce);
            if !self.accepted.contains(&entry) {
                return Err(format!(
                    "VM {node} has {entry:?} in force, which was never accepted"
                ));
            }
            if entry.0 < self.highest[node] {
                return Err(format!(
                    "VM {node} returned to an earlier generation: {entry:?}"
                ));
            }
            self.highest[node] = entry.0;
        }
        Ok(())
    }

    fn check_operator(&self, operator: &Operator) -> Result<(), String> {
        let was_accepted = self
            .accepted
            .iter()
            .any(|(_, nonce)| *nonce == operator.nonce);
        match &operator.outcome {
            Some(Outcome::Accepted(release)) if !was_accepted => {
                Err(format!("reported as accepted, but was not: {release:?}"))
            }
            Some(Outcome::Conflict { .. } | Outcome::Unavailable) if was_accepted => {
                Err(format!("reported as not accepted, but was: {operator:?}"))
            }
            _ => Ok(()),
        }
    }
}

impl Simulation<Step> for PublishSim {
    fn step(&mut self, step: &Step) -> Result<(), String> {
        match step {
            Step::Publish { last_rank } => self.publish(*last_rank),
            Step::Run { millis } => self.run(Duration::from_millis(*millis))?,
            Step::SetHealth(health) => self.env.set_health(match health {
                0 => PlatformHealth::Up,
                1 => PlatformHealth::Slow,
                2 => PlatformHealth::Down,
                _ => PlatformHealth::Lossy,
            }),
            Step::Replace(node) => self.replace(*node),
            Step::Pause(node) => {
                let until = self.env.now + Duration::from_secs(8);
                self.env.pause(*node, until);
            }
            Step::CutDirection(a, b) => {
                self.env.cut_links.insert((*a, *b));
            }
            Step::Isolate(node) => self.env.isolated = (*node).into_iter().collect(),
            Step::RestoreLinks => self.env.cut_links.clear(),
            Step::SetLinkFaults(on) => {
                self.env.faults.loss_percent = if *on { 20 } else { 0 };
                self.env.faults.duplicate_percent = if *on { 20 } else { 0 };
                self.env.faults.max_delay = Duration::from_millis(if *on { 800 } else { 0 });
            }
        }
        Ok(())
    }

    /// Ends all faults, except that one VM cannot reach the platform, and checks that a set that is
    /// published then comes into force on all VMs.
    fn settle(&mut self) -> Result<(), String> {
        self.env.cut_links.clear();
        self.env.faults = crate::cluster_env::LinkFaults::default();
        self.env.set_health(PlatformHealth::Up);
        self.env.isolated = [VM_COUNT - 1].into();
        self.run(Duration::from_secs(70))?;
        self.publish(41);
        self.run(SPREAD_BOUND)?;
        let last = self.accepted.last().map(|(generation, _)| *generation);
        for (node, vm) in self.vms.iter().enumerate() {
            let active = vm.active().map(|active| active.release.generation);
            if active != last {
                return Err(format!(
                    "VM {node} has generation {active:?} in force instead of {last:?}"
                ));
            }
        }
        Ok(())
    }
}

const fn incarnation(node: NodeIndex) -> Incarnation {
    Incarnation(node as u64)
}

/// A set with the tiers of rank 0 to `last_rank`.
fn set(last_rank: u8) -> ObjectSet {
    let tiers = (0..=last_rank).map(|rank| {
        let name = format!("tier-{rank}");
        Tier::builder().name(name.as_str()).rank(rank).build()
    });
    ObjectSet {
        tiers: tiers.collect(),
        ..ObjectSet::default()
    }
}
