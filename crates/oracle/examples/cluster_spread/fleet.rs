//! Simulated VMs that run membership and followers of sets on one network.

use core::{net::SocketAddr, time::Duration};
use poplarswitch_entity::{Generation, Incarnation, Time};
use poplarswitch_members as members;
use poplarswitch_objects::{Endpoint, ObjectSet, Serves, Workspace};
use poplarswitch_oracle::cluster_env::{Environment, Event, NodeIndex};
use poplarswitch_publish as publish;

/// Number of VMs of a cell.
const CELL_SIZE: usize = 12;
/// Node index of the first operator.
const FIRST_OPERATOR: NodeIndex = 10_000;
/// Maximum delay of a message.
const MAX_MESSAGE_DELAY: Duration = Duration::from_millis(80);

#[derive(Clone, Debug, serde::Serialize)]
pub(crate) enum Message {
    Members(members::MembersMessage),
    Publish(publish::PublishMessage),
}

pub(crate) struct Vm {
    pub(crate) members: members::Core,
    follower: publish::Follower,
    /// The generations that came into force, each with the time.
    activations: Vec<(Generation, Time)>,
}

pub(crate) struct Fleet {
    pub(crate) env: Environment<Message>,
    pub(crate) vms: Vec<Vm>,
    operators: Vec<publish::Publisher>,
    accepted: Vec<(Generation, Time)>,
    set: ObjectSet,
    pub(crate) total_bytes: u64,
    pub(crate) members_bytes: u64,
}

impl Fleet {
    pub(crate) fn new(size: usize, set: ObjectSet) -> Self {
        let mut env = Environment::new(1);
        env.delay_range = (Duration::from_micros(300), MAX_MESSAGE_DELAY);
        let vms = (0..size).map(vm).collect();
        let mut fleet = Self {
            env,
            vms,
            operators: Vec::new(),
            accepted: Vec::new(),
            set,
            total_bytes: 0,
            members_bytes: 0,
        };
        for node in 0..size {
            fleet
                .env
                .schedule_wake(node, Some(Time::from_millis(node as u64)));
        }
        fleet
    }

    fn send(&mut self, from: NodeIndex, to: Incarnation, message: Message) {
        let mut encoded = Vec::new();
        if ciborium::into_writer(&message, &mut encoded).is_ok() {
            self.total_bytes += encoded.len() as u64;
            if matches!(message, Message::Members(_)) {
                self.members_bytes += encoded.len() as u64;
            }
        }
        self.env.send(from, to.0 as usize, message);
    }

    fn feed_members(&mut self, node: NodeIndex, input: members::Input) {
        let mut out = Vec::new();
        let now = self.env.now;
        self.vms[node].members.handle(now, input, &mut out);
        self.apply_members_outputs(node, out);
    }

    fn apply_members_outputs(&mut self, node: NodeIndex, out: Vec<members::Output>) {
        for output in out {
            match output {
                members::Output::Send { to, message } => {
                    self.send(node, to, Message::Members(message));
                }
                members::Output::Dial(address) => {
                    let code = u64::from(address.port()) - 1_000;
                    let at = self.env.now + Duration::from_millis(2);
                    self.env.push(at, Event::Custom { node, code });
                }
                _ => {}
            }
        }
    }

    fn feed_follower(&mut self, node: NodeIndex, input: publish::Input) {
        let mut out = Vec::new();
        let now = self.env.now;
        self.vms[node].follower.handle(now, input, &mut out);
        self.apply_follower_outputs(node, out);
    }

    fn apply_follower_outputs(&mut self, node: NodeIndex, out: Vec<publish::Output>) {
        let now = self.env.now;
        for output in out {
            match output {
                publish::Output::Send { to, message } => {
                    self.send(node, to, Message::Publish(message));
                }
                publish::Output::Request { id, request } => self.env.request(node, id, request),
                publish::Output::Activate(active) => {
                    let generation = active.release.generation;
                    self.vms[node].activations.push((generation, now));
                }
                publish::Output::Refuse(_) => {}
            }
        }
    }

    fn schedule_wake(&mut self, node: NodeIndex) {
        let vm = &self.vms[node];
        let wakes = [vm.members.next_wake(), vm.follower.next_wake()];
        self.env
            .schedule_wake(node, wakes.into_iter().flatten().min());
    }

    fn link(&mut self, a: NodeIndex, b: NodeIndex) {
        let (first, second) = (
            self.vms[a].members.me().clone(),
            self.vms[b].members.me().clone(),
        );
        self.feed_follower(a, publish::Input::Linked(second.incarnation));
        self.feed_follower(b, publish::Input::Linked(first.incarnation));
        self.feed_members(a, members::Input::Linked(second));
        self.feed_members(b, members::Input::Linked(first));
    }

    fn tick(&mut self, node: NodeIndex) {
        let now = self.env.now;
        let mut out = Vec::new();
        self.vms[node].members.tick(now, &mut out);
        self.apply_members_outputs(node, out);
        let mut out = Vec::new();
        self.vms[node].follower.tick(now, &mut out);
        self.apply_follower_outputs(node, out);
        self.schedule_wake(node);
    }

    pub(crate) fn publish(&mut self) {
        if let Some(workspace) = self.set.workspaces.first_mut() {
            workspace.weight += 1;
        }
        let draft = publish::Draft::builder()
            .set(self.set.clone())
            .author("bench")
            .nonce(self.operators.len() as u64 + 1)
            .build();
        let publisher = publish::Publisher::new(draft, Box::new(|_, _| Vec::new()));
        self.operators.push(publisher);
        let node = FIRST_OPERATOR + self.operators.len() - 1;
        self.feed_operator(node, publish::PublisherInput::Start);
    }

    fn feed_operator(&mut self, node: NodeIndex, input: publish::PublisherInput) {
        let mut out = Vec::new();
        let now = self.env.now;
        let operator = &mut self.operators[node - FIRST_OPERATOR];
        operator.handle(now, input, &mut out);
        for output in out {
            match output {
                publish::PublisherOutput::Request { id, request } => {
                    self.env.request(node, id, request);
                }
                publish::PublisherOutput::Finished(publish::Outcome::Accepted(release)) => {
                    self.accepted.push((release.generation, now));
                }
                publish::PublisherOutput::Finished(_) => {}
            }
        }
    }

    pub(crate) fn run(&mut self, time: Duration) {
        let until = self.env.now + time;
        while let Some(event) = self.env.next_event(until) {
            match event {
                Event::Deliver { from, to, message } => {
                    let from = self.vms[from].members.me().incarnation;
                    match message {
                        Message::Members(message) => {
                            self.feed_members(to, members::Input::Message { from, message });
                        }
                        Message::Publish(message) => {
                            self.feed_follower(to, publish::Input::Message { from, message });
                            self.schedule_wake(to);
                        }
                    }
                }
                Event::Reply { node, id, reply } if node >= FIRST_OPERATOR => {
                    self.feed_operator(node, publish::PublisherInput::Reply { id, reply });
                }
                Event::Reply { node, id, reply } => {
                    self.feed_follower(node, publish::Input::Reply { id, reply });
                    self.schedule_wake(node);
                }
                Event::Wake(node) if node < FIRST_OPERATOR => self.tick(node),
                Event::Custom { node, code } => self.link(node, code as usize),
                Event::Wake(_) | Event::Request { .. } => {}
            }
        }
    }

    /// Seconds from the acceptance of the last set to its activation on each VM, sorted; none if it
    /// isn't active on all VMs.
    pub(crate) fn activation_delays(&self) -> Option<Vec<f64>> {
        let (generation, accepted) = *self.accepted.last()?;
        let times = self.vms.iter().map(|vm| {
            let activation = vm
                .activations
                .iter()
                .find(|(other, _)| *other >= generation)?;
            Some(activation.1.since(accepted).as_secs_f64())
        });
        let mut times: Vec<f64> = times.collect::<Option<_>>()?;
        times.sort_by(f64::total_cmp);
        Some(times)
    }
}

fn vm(node: NodeIndex) -> Vm {
    let cell = format!("cell-{}", node / CELL_SIZE);
    let me = members::Identity::builder()
        .vm(format!("vm-{node}").as_str())
        .incarnation(Incarnation(node as u64))
        .started(0)
        .data_centre(cell.as_str())
        .cell(cell.as_str())
        .address(address(node))
        .caller_address(address(node))
        .build();
    let seeds = [0, 1, 2].map(address).to_vec();
    let settings = members::Settings::builder().seeds(seeds).build();
    let follower_settings = publish::Settings::builder().build();
    Vm {
        members: members::Core::new(me, settings, node as u64),
        follower: publish::Follower::new(follower_settings, |_| Ok(()), node as u64),
        activations: Vec::new(),
    }
}

fn address(node: NodeIndex) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1_000 + node as u16))
}

/// A set with the given numbers of endpoints and workspaces.
pub(crate) fn set(endpoints: usize, workspaces: usize) -> ObjectSet {
    let endpoint = |index| {
        Endpoint::builder()
            .name(format!("engine-{index}").as_str())
            .address(SocketAddr::from(([10, 0, 0, 1], 8_000)))
            .data_centre(format!("cell-{}", index % 28).as_str())
            .serves(Serves::Model {
                model: format!("model-{}", index % 33).as_str().into(),
                version: "2026-11-03".into(),
                adapters: Vec::new(),
            })
            .slots(16)
            .build()
    };
    let workspace = |index| {
        Workspace::builder()
            .name(format!("w-{index}").as_str())
            .build()
    };
    ObjectSet {
        endpoints: (0..endpoints).map(endpoint).collect(),
        workspaces: (0..workspaces).map(workspace).collect(),
        ..ObjectSet::default()
    }
}
