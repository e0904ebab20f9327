//! A world of operators, VMs and a platform that publish and follow sets.
//!
//! The oracle reads the head's successive values straight from the platform's objects: they
//! are the accepted sets, whatever any publisher believes. It then holds against them what
//! the publishers told and what the VMs have in force.

use crate::{
    cluster_net::{Event, Health, Net, Place},
    cluster_run::World,
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

/// VMs of the world.
const VMS: usize = 5;
/// Places from here on are operators.
const FIRST_OPERATOR: Place = 100;
/// Time within which an accepted set is in force once nothing fails any more.
const SPREAD: Duration = Duration::from_secs(17);

/// One step of the world.
#[derive(Clone, Debug)]
pub enum Step {
    /// An operator publishes a set with this many tiers, from the generation in force.
    Publish {
        /// Makes the set differ.
        tiers: u8,
    },
    /// Time passes.
    Run {
        /// Milliseconds.
        millis: u64,
    },
    /// The platform's health changes.
    Platform(u8),
    /// A VM is replaced by a fresh one.
    Replace(Place),
    /// A VM stands still.
    Pause(Place),
    /// Two VMs lose their link, and get it back in a later step.
    Cut(Place, Place),
    /// One VM cannot reach the platform, or all can again.
    Isolate(Option<Place>),
    /// All links work again.
    Mend,
    /// Messages are lost and doubled from now on, or no longer.
    Faults(bool),
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
        prop_oneof![
            6 => (0_u8..40).prop_map(|tiers| Step::Publish { tiers }),
            8 => (1_u64..6_000).prop_map(|millis| Step::Run { millis }),
            3 => (0_u8..4).prop_map(Step::Platform),
            2 => (0..VMS).prop_map(Step::Replace),
            2 => (0..VMS).prop_map(Step::Pause),
            2 => (0..VMS, 0..VMS).prop_map(|(a, b)| Step::Cut(a, b)),
            2 => proptest::option::of(0..VMS).prop_map(Step::Isolate),
            1 => Just(Step::Mend),
            1 => any::<bool>().prop_map(Step::Faults),
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

/// The world and its record.
#[derive(Debug)]
pub struct PublishWorld {
    net: Net<PublishMessage>,
    vms: Vec<Follower>,
    operators: BTreeMap<Place, Operator>,
    mutation: Option<Mutation>,
    seed: u64,
    lives: u64,
    /// Every value that the head has had: its generation and the nonce of its publication.
    accepted: Vec<(Generation, u64)>,
    /// The highest generation that each VM's present life has had in force.
    highest: Vec<Generation>,
}

impl PublishWorld {
    /// Starts with all VMs linked to one another.
    pub fn new(seed: u64, mutation: Option<Mutation>) -> Self {
        let mut world = Self {
            net: Net::new(seed),
            vms: Vec::new(),
            operators: BTreeMap::new(),
            mutation,
            seed,
            lives: 0,
            accepted: Vec::new(),
            highest: vec![Generation(0); VMS],
        };
        for place in 0..VMS {
            let follower = world.follower();
            world.vms.push(follower);
            world.net.wake(place, Some(Time::ZERO));
        }
        for place in 0..VMS {
            world.link(place);
        }
        world
    }

    fn follower(&mut self) -> Follower {
        self.lives += 1;
        let seed = self.seed.wrapping_add(self.lives);
        let mut follower = Follower::new(Settings::builder().build(), |_| Ok(()), seed);
        if let Some(mutation) = self.mutation {
            follower.mutate(mutation);
        }
        follower
    }

    fn link(&mut self, place: Place) {
        for other in (0..VMS).filter(|other| *other != place) {
            for (a, b) in [(place, other), (other, place)] {
                let input = Input::Linked(incarnation(b));
                self.feed(a, input);
            }
        }
    }

    fn feed(&mut self, place: Place, input: Input) {
        let mut out = Vec::new();
        self.vms[place].handle(self.net.now, input, &mut out);
        self.carry(place, out);
    }

    fn carry(&mut self, place: Place, out: Vec<Output>) {
        for output in out {
            match output {
                Output::Send { to, message } => self.net.send(place, to.0 as usize, message),
                Output::Request { id, request } => self.net.request(place, id, request),
                Output::Activate(_) | Output::Refuse(_) => {}
            }
        }
        let wake = self.vms[place].next_wake();
        self.net.wake(place, wake);
    }

    fn publish(&mut self, tiers: u8) {
        let place = FIRST_OPERATOR + self.operators.len();
        let nonce = place as u64;
        let draft = Draft::builder()
            .set(set(tiers))
            .author(format!("operator {place}"))
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
        self.operators.insert(place, operator);
        self.feed_operator(place, PublisherInput::Start);
    }

    fn feed_operator(&mut self, place: Place, input: PublisherInput) {
        let Some(operator) = self.operators.get_mut(&place) else {
            return;
        };
        let mut out = Vec::new();
        operator.publisher.handle(self.net.now, input, &mut out);
        self.carry_operator(place, out);
    }

    fn carry_operator(&mut self, place: Place, out: Vec<PublisherOutput>) {
        for output in out {
            match output {
                PublisherOutput::Request { id, request } => self.net.request(place, id, request),
                PublisherOutput::Finished(outcome) => {
                    if let Some(operator) = self.operators.get_mut(&place) {
                        operator.outcome = Some(outcome);
                    }
                }
            }
        }
        let wake = self.operators[&place].publisher.next_wake();
        self.net.wake(place, wake);
    }

    fn run(&mut self, time: Duration) -> Result<(), String> {
        let until = self.net.now + time;
        while let Some(event) = self.net.next(until) {
            self.happen(event);
            self.record();
            self.check()?;
        }
        Ok(())
    }

    fn happen(&mut self, event: Event<PublishMessage>) {
        match event {
            Event::Deliver { from, to, message } => {
                let from = incarnation(from);
                self.feed(to, Input::Message { from, message });
            }
            Event::Reply { place, id, reply } => self.reply(place, id, reply),
            Event::Wake(place) if place >= FIRST_OPERATOR => {
                let mut out = Vec::new();
                if let Some(operator) = self.operators.get_mut(&place) {
                    operator.publisher.tick(self.net.now, &mut out);
                }
                self.carry_operator(place, out);
            }
            Event::Wake(place) => {
                let mut out = Vec::new();
                self.vms[place].tick(self.net.now, &mut out);
                self.carry(place, out);
            }
            Event::Effect { .. } | Event::Custom { .. } => {}
        }
    }

    fn reply(&mut self, place: Place, id: RequestId, reply: Reply) {
        if place >= FIRST_OPERATOR {
            self.feed_operator(place, PublisherInput::Reply { id, reply });
        } else {
            self.feed(place, Input::Reply { id, reply });
        }
    }

    fn replace(&mut self, place: Place) {
        self.net.forget(place);
        self.vms[place] = self.follower();
        self.highest[place] = Generation(0);
        self.link(place);
        self.net.wake(place, Some(self.net.now));
    }

    /// Reads the head as it is, behind everybody's back.
    fn record(&mut self) {
        let Some(object) = self.net.store.peek(&head_key()) else {
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
            return Err(format!("two winners, or back: {:?}", self.accepted));
        }
        let nonces = self.accepted.iter().map(|(_, nonce)| *nonce as u32);
        let nonces: BTreeSet<u32> = nonces.collect();
        if nonces.len() != self.accepted.len() {
            return Err(format!(
                "one publication applied twice: {:?}",
                self.accepted
            ));
        }
        self.check_vms()?;
        self.operators
            .values()
            .try_for_each(|operator| self.check_operator(operator))
    }

    fn check_vms(&mut self) -> Result<(), String> {
        for (place, vm) in self.vms.iter().enumerate() {
            let Some(active) = vm.active() else { continue };
            let entry = (active.release.generation, active.release.nonce);
            if !self.accepted.contains(&entry) {
                return Err(format!(
                    "VM {place} has {entry:?}, which was never accepted"
                ));
            }
            if entry.0 < self.highest[place] {
                return Err(format!("VM {place} went back to {entry:?}"));
            }
            self.highest[place] = entry.0;
        }
        Ok(())
    }

    fn check_operator(&self, operator: &Operator) -> Result<(), String> {
        let won = self
            .accepted
            .iter()
            .any(|(_, nonce)| *nonce == operator.nonce);
        match &operator.outcome {
            Some(Outcome::Accepted(release)) if !won => {
                Err(format!("told accepted, but never was: {release:?}"))
            }
            Some(Outcome::Conflict { .. } | Outcome::Unavailable) if won => {
                Err(format!("told not accepted, but was: {operator:?}"))
            }
            _ => Ok(()),
        }
    }
}

impl World<Step> for PublishWorld {
    fn step(&mut self, step: &Step) -> Result<(), String> {
        match step {
            Step::Publish { tiers } => self.publish(*tiers),
            Step::Run { millis } => self.run(Duration::from_millis(*millis))?,
            Step::Platform(health) => self.net.set_health(match health {
                0 => Health::Up,
                1 => Health::Slow,
                2 => Health::Down,
                _ => Health::Lossy,
            }),
            Step::Replace(place) => self.replace(*place),
            Step::Pause(place) => {
                let until = self.net.now + Duration::from_secs(8);
                self.net.pause(*place, until);
            }
            Step::Cut(a, b) => {
                self.net.cut.insert((*a, *b));
            }
            Step::Isolate(place) => self.net.isolated = (*place).into_iter().collect(),
            Step::Mend => self.net.cut.clear(),
            Step::Faults(on) => {
                self.net.faults.lost = if *on { 20 } else { 0 };
                self.net.faults.doubled = if *on { 20 } else { 0 };
                self.net.faults.delay = Duration::from_millis(if *on { 800 } else { 0 });
            }
        }
        Ok(())
    }

    /// Ends all faults but one VM's way to the platform, and looks for the last set everywhere.
    fn settle(&mut self) -> Result<(), String> {
        self.net.cut.clear();
        self.net.faults = crate::cluster_net::LinkFaults::default();
        self.net.set_health(Health::Up);
        self.net.isolated = [VMS - 1].into();
        self.run(Duration::from_secs(70))?;
        self.publish(41);
        self.run(SPREAD)?;
        let last = self.accepted.last().map(|(generation, _)| *generation);
        for (place, vm) in self.vms.iter().enumerate() {
            let active = vm.active().map(|active| active.release.generation);
            if active != last {
                return Err(format!("VM {place} has {active:?}, accepted is {last:?}"));
            }
        }
        Ok(())
    }
}

const fn incarnation(place: Place) -> Incarnation {
    Incarnation(place as u64)
}

/// A small set that differs by its number of tiers.
fn set(tiers: u8) -> ObjectSet {
    let tiers = (0..=tiers).map(|rank| {
        let name = format!("tier-{rank}");
        Tier::builder().name(name.as_str()).rank(rank).build()
    });
    ObjectSet {
        tiers: tiers.collect(),
        ..ObjectSet::default()
    }
}
