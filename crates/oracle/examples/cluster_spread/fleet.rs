//! A fleet of VMs whose members and followers run over one virtual network.

use core::{net::SocketAddr, time::Duration};
use poplarswitch_entity::{Generation, Incarnation, Time};
use poplarswitch_members as members;
use poplarswitch_objects::{Endpoint, ObjectSet, Serves, Workspace};
use poplarswitch_oracle::cluster_net::{Event, Net, Place};
use poplarswitch_publish as publish;

/// VMs of one cell.
const CELL: usize = 12;
/// Places from here on are operators.
const FIRST_OPERATOR: Place = 10_000;
/// Longest delay of a message.
const FAR: Duration = Duration::from_millis(80);

#[derive(Clone, Debug, serde::Serialize)]
pub(crate) enum Message {
    Members(members::MembersMessage),
    Publish(publish::PublishMessage),
}

pub(crate) struct Vm {
    pub(crate) members: members::Core,
    follower: publish::Follower,
    /// When each generation came into force, with its number.
    active: Vec<(Generation, Time)>,
}

pub(crate) struct Fleet {
    pub(crate) net: Net<Message>,
    pub(crate) vms: Vec<Vm>,
    operators: Vec<publish::Publisher>,
    accepted: Vec<(Generation, Time)>,
    set: ObjectSet,
    pub(crate) bytes: u64,
    pub(crate) members_bytes: u64,
}

impl Fleet {
    pub(crate) fn new(size: usize, set: ObjectSet) -> Self {
        let mut net = Net::new(1);
        net.delay = (Duration::from_micros(300), FAR);
        let vms = (0..size).map(vm).collect();
        let mut fleet = Self {
            net,
            vms,
            operators: Vec::new(),
            accepted: Vec::new(),
            set,
            bytes: 0,
            members_bytes: 0,
        };
        for place in 0..size {
            fleet.net.wake(place, Some(Time::from_millis(place as u64)));
        }
        fleet
    }

    fn send(&mut self, from: Place, to: Incarnation, message: Message) {
        let mut encoded = Vec::new();
        if ciborium::into_writer(&message, &mut encoded).is_ok() {
            self.bytes += encoded.len() as u64;
            if matches!(message, Message::Members(_)) {
                self.members_bytes += encoded.len() as u64;
            }
        }
        self.net.send(from, to.0 as usize, message);
    }

    fn feed_members(&mut self, place: Place, input: members::Input) {
        let mut out = Vec::new();
        let now = self.net.now;
        self.vms[place].members.handle(now, input, &mut out);
        self.carry_members(place, out);
    }

    fn carry_members(&mut self, place: Place, out: Vec<members::Output>) {
        for output in out {
            match output {
                members::Output::Send { to, message } => {
                    self.send(place, to, Message::Members(message));
                }
                members::Output::Dial(address) => {
                    let code = u64::from(address.port()) - 1_000;
                    let at = self.net.now + Duration::from_millis(2);
                    self.net.push(at, Event::Custom { place, code });
                }
                _ => {}
            }
        }
    }

    fn feed_follower(&mut self, place: Place, input: publish::Input) {
        let mut out = Vec::new();
        let now = self.net.now;
        self.vms[place].follower.handle(now, input, &mut out);
        self.carry_follower(place, out);
    }

    fn carry_follower(&mut self, place: Place, out: Vec<publish::Output>) {
        let now = self.net.now;
        for output in out {
            match output {
                publish::Output::Send { to, message } => {
                    self.send(place, to, Message::Publish(message));
                }
                publish::Output::Request { id, request } => self.net.request(place, id, request),
                publish::Output::Activate(active) => {
                    let generation = active.release.generation;
                    self.vms[place].active.push((generation, now));
                }
                publish::Output::Refuse(_) => {}
            }
        }
    }

    fn schedule(&mut self, place: Place) {
        let vm = &self.vms[place];
        let wakes = [vm.members.next_wake(), vm.follower.next_wake()];
        self.net.wake(place, wakes.into_iter().flatten().min());
    }

    fn link(&mut self, a: Place, b: Place) {
        let (first, second) = (
            self.vms[a].members.me().clone(),
            self.vms[b].members.me().clone(),
        );
        self.feed_follower(a, publish::Input::Linked(second.incarnation));
        self.feed_follower(b, publish::Input::Linked(first.incarnation));
        self.feed_members(a, members::Input::Linked(second));
        self.feed_members(b, members::Input::Linked(first));
    }

    fn tick(&mut self, place: Place) {
        let now = self.net.now;
        let mut out = Vec::new();
        self.vms[place].members.tick(now, &mut out);
        self.carry_members(place, out);
        let mut out = Vec::new();
        self.vms[place].follower.tick(now, &mut out);
        self.carry_follower(place, out);
        self.schedule(place);
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
        let place = FIRST_OPERATOR + self.operators.len() - 1;
        self.feed_operator(place, publish::PublisherInput::Start);
    }

    fn feed_operator(&mut self, place: Place, input: publish::PublisherInput) {
        let mut out = Vec::new();
        let now = self.net.now;
        let operator = &mut self.operators[place - FIRST_OPERATOR];
        operator.handle(now, input, &mut out);
        for output in out {
            match output {
                publish::PublisherOutput::Request { id, request } => {
                    self.net.request(place, id, request);
                }
                publish::PublisherOutput::Finished(publish::Outcome::Accepted(release)) => {
                    self.accepted.push((release.generation, now));
                }
                publish::PublisherOutput::Finished(_) => {}
            }
        }
    }

    pub(crate) fn run(&mut self, time: Duration) {
        let until = self.net.now + time;
        while let Some(event) = self.net.next(until) {
            match event {
                Event::Deliver { from, to, message } => {
                    let from = self.vms[from].members.me().incarnation;
                    match message {
                        Message::Members(message) => {
                            self.feed_members(to, members::Input::Message { from, message });
                        }
                        Message::Publish(message) => {
                            self.feed_follower(to, publish::Input::Message { from, message });
                            self.schedule(to);
                        }
                    }
                }
                Event::Reply { place, id, reply } if place >= FIRST_OPERATOR => {
                    self.feed_operator(place, publish::PublisherInput::Reply { id, reply });
                }
                Event::Reply { place, id, reply } => {
                    self.feed_follower(place, publish::Input::Reply { id, reply });
                    self.schedule(place);
                }
                Event::Wake(place) if place < FIRST_OPERATOR => self.tick(place),
                Event::Custom { place, code } => self.link(place, code as usize),
                Event::Wake(_) | Event::Effect { .. } => {}
            }
        }
    }

    /// Times from the acceptance of the last set to its force on each VM, sorted.
    pub(crate) fn spread(&self) -> Option<Vec<f64>> {
        let (generation, accepted) = *self.accepted.last()?;
        let times = self.vms.iter().map(|vm| {
            let active = vm.active.iter().find(|(other, _)| *other >= generation)?;
            Some(active.1.since(accepted).as_secs_f64())
        });
        let mut times: Vec<f64> = times.collect::<Option<_>>()?;
        times.sort_by(f64::total_cmp);
        Some(times)
    }
}

fn vm(place: Place) -> Vm {
    let cell = format!("cell-{}", place / CELL);
    let me = members::Identity::builder()
        .vm(format!("vm-{place}").as_str())
        .incarnation(Incarnation(place as u64))
        .started(0)
        .data_centre(cell.as_str())
        .cell(cell.as_str())
        .address(address(place))
        .caller_address(address(place))
        .build();
    let seeds = [0, 1, 2].map(address).to_vec();
    let settings = members::Settings::builder().seeds(seeds).build();
    let follow = publish::Settings::builder().build();
    Vm {
        members: members::Core::new(me, settings, place as u64),
        follower: publish::Follower::new(follow, |_| Ok(()), place as u64),
        active: Vec::new(),
    }
}

fn address(place: Place) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1_000 + place as u16))
}

/// A set with some endpoints and workspaces.
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
