//! Measures, in virtual time, how sets spread and what control costs against the fleet's size.
//!
//! Members and followers run together over one virtual network. Bytes are those of the CBOR
//! encoding, without headers of the link. The processor time is that of the whole simulation
//! divided by the VMs, so it is an upper bound. The argument is the largest fleet to measure.

use core::{net::SocketAddr, time::Duration};
use poplarswitch_entity::{Generation, Incarnation, Time};
use poplarswitch_members as members;
use poplarswitch_objects::{Endpoint, ObjectSet, Serves, Workspace};
use poplarswitch_oracle::cluster_net::{Event, Health, Net, Place};
use poplarswitch_publish as publish;
use std::{
    io::{self, Write},
    time::Instant,
};

/// VMs of one cell.
const CELL: usize = 12;
/// Places from here on are operators.
const FIRST_OPERATOR: Place = 10_000;
/// Time between two changes at the target of 11,000 a day.
const CHANGE_EVERY: Duration = Duration::from_millis(7_855);
/// Longest delay of a message.
const FAR: Duration = Duration::from_millis(80);

#[derive(Clone, Debug, serde::Serialize)]
enum Message {
    Members(members::MembersMessage),
    Publish(publish::PublishMessage),
}

struct Vm {
    members: members::Core,
    follower: publish::Follower,
    /// When each generation came into force, with its number.
    active: Vec<(Generation, Time)>,
}

struct Fleet {
    net: Net<Message>,
    vms: Vec<Vm>,
    operators: Vec<publish::Publisher>,
    accepted: Vec<(Generation, Time)>,
    set: ObjectSet,
    bytes: u64,
    members_bytes: u64,
}

impl Fleet {
    fn new(size: usize, set: ObjectSet) -> Self {
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

    fn publish(&mut self) {
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

    fn run(&mut self, time: Duration) {
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
    fn spread(&self) -> Option<Vec<f64>> {
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
fn set(endpoints: usize, workspaces: usize) -> ObjectSet {
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

#[derive(Clone, Copy, Debug)]
enum Scene {
    Up,
    Slow,
    /// All VMs but one have lost the platform.
    OneReaches,
}

fn measure_spread(
    size: usize,
    scene: Scene,
    set: &ObjectSet,
    out: &mut impl Write,
) -> io::Result<()> {
    let mut fleet = Fleet::new(size, set.clone());
    fleet.run(Duration::from_secs(30));
    fleet.publish();
    fleet.run(Duration::from_mins(1));
    match scene {
        Scene::Up => {}
        Scene::Slow => fleet.net.set_health(Health::Slow),
        Scene::OneReaches => {
            fleet.net.set_health(Health::Down);
            fleet.net.isolated = (1..size).collect();
            fleet.run(Duration::from_secs(1));
            fleet.net.set_health(Health::Up);
        }
    }
    fleet.run(Duration::from_secs(10));
    fleet.publish();
    fleet.run(Duration::from_mins(1));
    match fleet.spread() {
        Some(times) => {
            let (half, most) = (times[times.len() / 2], times[times.len() - 1]);
            writeln!(out, "| {size} | {scene:?} | {half:.3} | {most:.3} |")
        }
        None => writeln!(
            out,
            "| {size} | {scene:?} | not everywhere | not everywhere |"
        ),
    }
}

fn measure_cost(
    size: usize,
    changes: bool,
    set: &ObjectSet,
    out: &mut impl Write,
) -> io::Result<()> {
    let mut fleet = Fleet::new(size, set.clone());
    fleet.run(Duration::from_secs(30));
    fleet.publish();
    fleet.run(Duration::from_secs(30));
    let before = (fleet.bytes, fleet.members_bytes, fleet.net.counts);
    let clock = Instant::now();
    let rounds = 8;
    for _ in 0..rounds {
        if changes {
            fleet.publish();
        }
        fleet.run(CHANGE_EVERY);
    }
    let seconds = CHANGE_EVERY.as_secs_f64() * f64::from(rounds);
    let per_node = |count: u64| count as f64 / seconds / size as f64;
    let counts = fleet.net.counts;
    let members = per_node(fleet.members_bytes - before.1);
    let publish = per_node(fleet.bytes - before.0) - members;
    let messages = per_node(counts.messages - before.2.messages);
    let reads = (counts.reads - before.2.reads) as f64 / seconds;
    let writes = (counts.writes - before.2.writes) as f64 / seconds;
    let core = clock.elapsed().as_secs_f64() / seconds / size as f64 * 100.0;
    writeln!(
        out,
        "| {size} | {changes} | {messages:.1} | {members:.0} | {publish:.0} | {reads:.1} | {writes:.2} | {core:.3} |"
    )
}

fn main() -> io::Result<()> {
    let mut out = io::stdout().lock();
    let small = set(27, 10);
    let large = set(6_500, 900);
    writeln!(out, "| VMs | platform | half of them, s | all of them, s |")?;
    writeln!(out, "|---|---|---|---|")?;
    let most: usize = std::env::args()
        .nth(1)
        .and_then(|most| most.parse().ok())
        .unwrap_or(340);
    for size in [3, 9, 30, 340].into_iter().filter(|size| *size <= most) {
        for scene in [Scene::Up, Scene::Slow, Scene::OneReaches] {
            let set = if size == 340 { &large } else { &small };
            measure_spread(size, scene, set, &mut out)?;
        }
    }
    writeln!(out)?;
    writeln!(
        out,
        "| VMs | 11,000 changes a day | messages sent | members, B/s | sets, B/s | fleet's reads/s | fleet's writes/s | core, % |"
    )?;
    writeln!(out, "|---|---|---|---|---|---|---|---|")?;
    for size in [3, 9, 30, 120, 340]
        .into_iter()
        .filter(|size| *size <= most)
    {
        let set = if size >= 120 { &large } else { &small };
        for changes in [false, true] {
            measure_cost(size, changes, set, &mut out)?;
        }
    }
    Ok(())
}
