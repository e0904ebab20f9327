//! A world of VMs that run calls which must not be repeated.
//!
//! What ran and what was told goes to the record, which is the oracle.

use crate::{
    cluster_keys_record::{Call, Record, Run},
    cluster_keys_steps::Step,
    cluster_net::{Event, Health, LinkFaults, Net, Place},
    cluster_run::World,
};
use core::time::Duration;
use poplarswitch_entity::{CallId, Incarnation, Time};
use poplarswitch_keys::{
    CallKey, Core, Input, KeyText, KeyedCall, KeysMessage, Mutation, Output, RunEnd, Settings,
};
use rand::RngExt as _;
use std::collections::BTreeMap;

/// VMs of the world.
pub const VMS: usize = 4;
/// The place of the service that runs the calls.
const SERVICE: Place = 100;
/// Incarnations are numbered by their place in the lowest bits.
const PLACES: u64 = 16;

#[derive(Debug)]
struct Vm {
    core: Core,
    incarnation: Incarnation,
    leaving: bool,
    handing: bool,
}

#[derive(Clone, Debug)]
struct Dispatch {
    place: Place,
    life: Incarnation,
    call: KeyedCall,
}

/// The world and its record.
#[derive(Debug)]
pub struct KeysWorld {
    net: Net<KeysMessage>,
    vms: Vec<Vm>,
    keys: Vec<CallKey>,
    record: Record,
    dispatches: Vec<Dispatch>,
    ends: BTreeMap<u64, (Incarnation, CallId, RunEnd)>,
    broken: Vec<(Place, Place)>,
    mutation: Option<Mutation>,
    lives: u64,
    seq: u64,
}

impl KeysWorld {
    /// Starts with all VMs linked to one another.
    pub fn new(seed: u64, mutation: Option<Mutation>) -> Self {
        let mut world = Self {
            net: Net::new(seed),
            vms: Vec::new(),
            keys: Vec::new(),
            record: Record::default(),
            dispatches: Vec::new(),
            ends: BTreeMap::new(),
            broken: Vec::new(),
            mutation,
            lives: 0,
            seq: 0,
        };
        for place in 0..VMS {
            let vm = world.fresh(place);
            world.vms.push(vm);
        }
        for a in 0..VMS {
            for b in 0..a {
                world.link(a, b);
            }
        }
        world
    }

    fn fresh(&mut self, place: Place) -> Vm {
        self.lives += 1;
        let incarnation = Incarnation(self.lives * PLACES + place as u64);
        let settings = Settings::builder()
            .retention_min(2)
            .forward_timeout(Duration::from_secs(20))
            .build();
        let now = self.net.now;
        let minute = now.since(Time::ZERO).as_secs() / 60;
        let mut core = Core::new(now, incarnation, minute, settings, incarnation.0);
        if let Some(mutation) = self.mutation {
            core.mutate(mutation);
        }
        Vm {
            core,
            incarnation,
            leaving: false,
            handing: false,
        }
    }

    fn link(&mut self, a: Place, b: Place) {
        let (first, second) = (self.vms[a].incarnation, self.vms[b].incarnation);
        self.feed(a, Input::Linked(second));
        self.feed(b, Input::Linked(first));
    }

    fn unlink(&mut self, a: Place, b: Place) {
        let (first, second) = (self.vms[a].incarnation, self.vms[b].incarnation);
        self.net.break_link(a, b);
        self.feed(a, Input::Unlinked(second));
        self.feed(b, Input::Unlinked(first));
    }

    fn feed(&mut self, place: Place, input: Input) {
        let mut out = Vec::new();
        self.vms[place].core.handle(self.net.now, input, &mut out);
        self.carry(place, out);
    }

    fn carry(&mut self, place: Place, out: Vec<Output>) {
        let life = self.vms[place].incarnation;
        for output in out {
            match output {
                Output::Run(call) => self.dispatch(Dispatch { place, life, call }),
                Output::Respond { call, outcome } => self.record.tell(call, &outcome),
                Output::Send { to, message } => {
                    let target = (to.0 % PLACES) as usize;
                    if self.vms.get(target).is_some_and(|vm| vm.incarnation == to) {
                        self.net.send(place, target, message);
                    }
                }
                Output::Request { id, request } => self.net.request(place, id, request),
                Output::HandedOver(_) => {
                    let code = life.0;
                    self.net.push(self.net.now, Event::Custom { place, code });
                }
            }
        }
        let wake = self.vms[place].core.next_wake();
        self.net.wake(place, wake);
        let vm = &self.vms[place];
        if vm.leaving && !vm.handing && vm.core.counts().running == 0 {
            self.vms[place].handing = true;
            let others = self.vms.iter().map(|vm| vm.incarnation);
            let others = others.filter(|other| *other != life).collect();
            self.feed(place, Input::HandOver(others));
        }
    }

    /// Sends a call to the service some time later, whatever becomes of the VM.
    fn dispatch(&mut self, dispatch: Dispatch) {
        let wait = self
            .net
            .between(Duration::from_millis(1), Duration::from_secs(2));
        let code = self.dispatches.len() as u64;
        self.dispatches.push(dispatch);
        let at = self.net.now + wait;
        self.net.push(
            at,
            Event::Custom {
                place: SERVICE,
                code,
            },
        );
    }

    /// The service runs a call, or refuses it, or its answer is lost.
    fn serve(&mut self, code: u64) {
        let Dispatch { place, life, call } = self.dispatches[code as usize].clone();
        let key = self.key_of(&call);
        let luck = self.net.rng.random_range(0..10);
        if luck >= 2 {
            let run = Run {
                call: call.call,
                at: self.net.now,
            };
            self.record.runs.entry(key).or_default().push(run);
        }
        let end = match luck {
            0 | 1 => RunEnd::NotRun,
            2 => RunEnd::InDoubt,
            _ => RunEnd::Answered(vec![key as u8].into()),
        };
        self.seq += 1;
        let code = self.seq << 32;
        self.ends.insert(code, (life, call.call, end));
        let at = self.net.now + Duration::from_millis(1);
        self.net.push(at, Event::Custom { place, code });
    }

    fn key_of(&self, call: &KeyedCall) -> usize {
        let found = self.keys.iter().position(|key| *key == call.key);
        found.unwrap_or(usize::MAX)
    }

    fn custom(&mut self, place: Place, code: u64) {
        if place == SERVICE {
            return self.serve(code);
        }
        if code == self.vms[place].incarnation.0 {
            return self.replace(place);
        }
        let Some((life, call, end)) = self.ends.remove(&code) else {
            return;
        };
        if self.vms[place].incarnation == life {
            self.feed(place, Input::Ended { call, end });
        }
    }

    fn replace(&mut self, place: Place) {
        for other in (0..VMS).filter(|other| *other != place) {
            self.unlink(place, other);
        }
        self.net.forget(place);
        self.vms[place] = self.fresh(place);
        for other in (0..VMS).filter(|other| *other != place) {
            if !self.is_broken(place, other) {
                self.link(place, other);
            }
        }
    }

    fn is_broken(&self, a: Place, b: Place) -> bool {
        self.broken.contains(&(a, b)) || self.broken.contains(&(b, a))
    }

    fn new_key(&mut self, home: Option<Place>) {
        let unique = self.keys.len();
        let text = match home {
            Some(place) => {
                let token = self.vms[place].core.token(self.net.now);
                format!("{token}.{unique}")
            }
            None => format!("free-{unique}"),
        };
        self.keys.push(CallKey {
            workspace: "w".into(),
            text: KeyText::new(text),
        });
    }

    fn call(&mut self, place: Place, key: usize) {
        if self.vms[place].leaving || self.keys.is_empty() {
            return;
        }
        let index = key % self.keys.len();
        let life = self.vms[place].incarnation;
        self.seq += 1;
        let call = CallId {
            origin: life,
            seq: self.seq,
        };
        let record = Call {
            key: index,
            life,
            at: self.net.now,
            told: Vec::new(),
        };
        self.record.calls.insert(call, record);
        let keyed = KeyedCall {
            call,
            key: self.keys[index].clone(),
            digest: 1,
            payload: [].into(),
        };
        self.feed(place, Input::Submit(keyed));
    }

    fn run(&mut self, time: Duration) -> Result<(), String> {
        let until = self.net.now + time;
        while let Some(event) = self.net.next(until) {
            match event {
                Event::Deliver { from, to, message } => {
                    let from = self.vms[from].incarnation;
                    self.feed(to, Input::Message { from, message });
                }
                Event::Reply { place, id, reply } => self.feed(place, Input::Reply { id, reply }),
                Event::Wake(place) => {
                    let mut out = Vec::new();
                    self.vms[place].core.tick(self.net.now, &mut out);
                    self.carry(place, out);
                }
                Event::Custom { place, code } => self.custom(place, code),
                Event::Effect { .. } => {}
            }
            self.record.check()?;
        }
        Ok(())
    }

    fn set_faults(&mut self, on: bool) {
        self.net.faults = if on {
            LinkFaults {
                lost: 10,
                doubled: 30,
                delay: Duration::from_secs(4),
            }
        } else {
            LinkFaults::default()
        };
    }

    fn mend(&mut self) {
        for (a, b) in core::mem::take(&mut self.broken) {
            self.link(a, b);
        }
        self.net.cut.clear();
    }
}

impl World<Step> for KeysWorld {
    fn step(&mut self, step: &Step) -> Result<(), String> {
        match *step {
            Step::Key { home, tokened } => self.new_key(tokened.then_some(home)),
            Step::Call { place, key } => self.call(place, key),
            Step::Run { millis } => self.run(Duration::from_millis(millis))?,
            Step::Crash(place) => self.replace(place),
            Step::Drain(place) => {
                self.vms[place].leaving = true;
                self.feed(place, Input::Leave);
            }
            Step::Pause { place, seconds } => {
                let until = self.net.now + Duration::from_secs(seconds);
                self.net.pause(place, until);
            }
            Step::Break(a, b) if a != b && !self.is_broken(a, b) => {
                self.broken.push((a, b));
                self.unlink(a, b);
            }
            Step::Break(..) => {}
            Step::Swallow(a, b) => {
                self.net.cut.insert((a, b));
            }
            Step::Mend => self.mend(),
            Step::Faults(on) => self.set_faults(on),
            Step::Platform(health) => self.net.set_health(match health {
                0 => Health::Up,
                1 => Health::Slow,
                2 => Health::Down,
                _ => Health::Lossy,
            }),
        }
        self.record.check()
    }

    /// Ends all faults; then every call whose VM still lives has been told, once.
    fn settle(&mut self) -> Result<(), String> {
        self.mend();
        self.set_faults(false);
        self.net.set_health(Health::Up);
        self.run(Duration::from_mins(1))?;
        let lives: Vec<Incarnation> = self.vms.iter().map(|vm| vm.incarnation).collect();
        let silent = self
            .record
            .calls
            .iter()
            .find(|(_, call)| lives.contains(&call.life) && call.told.is_empty());
        silent.map_or(Ok(()), |silent| Err(format!("never told: {silent:?}")))
    }
}
