//! Simulation of VMs that run keyed calls, which must run at most once.
//!
//! Every run at the service and every outcome for a caller is recorded in the oracle, which
//! checks them.

use crate::{
    cluster_env::{Environment, Event, LinkFaults, NodeIndex, PlatformHealth},
    cluster_keys_oracle::{Call, KeysOracle, Run},
    cluster_keys_steps::Step,
    cluster_search::Simulation,
};
use core::time::Duration;
use poplarswitch_entity::{CallId, Incarnation, Time};
use poplarswitch_keys::{
    CallKey, Core, Input, KeyText, KeyedCall, KeysMessage, Mutation, Output, RunEnd, Settings,
};
use rand::RngExt as _;
use std::collections::BTreeMap;

/// Number of VMs.
pub const VM_COUNT: usize = 4;
/// Node index of the service that runs the calls.
const SERVICE: NodeIndex = 100;
/// Divisor of an incarnation number; the remainder is the index of the node.
const INCARNATION_MODULUS: u64 = 16;

#[derive(Debug)]
struct Vm {
    core: Core,
    incarnation: Incarnation,
    leaving: bool,
    handing_over: bool,
}

#[derive(Clone, Debug)]
struct Dispatch {
    node: NodeIndex,
    incarnation: Incarnation,
    call: KeyedCall,
}

/// The VMs, the service, the environment and the oracle.
#[derive(Debug)]
pub struct KeysSim {
    env: Environment<KeysMessage>,
    vms: Vec<Vm>,
    keys: Vec<CallKey>,
    oracle: KeysOracle,
    dispatches: Vec<Dispatch>,
    /// Ends of runs that their VMs have not received yet, by event code. The codes are multiples of
    /// 2^32, so that they differ from incarnation numbers, the codes of completed handovers.
    run_ends: BTreeMap<u64, (Incarnation, CallId, RunEnd)>,
    broken_links: Vec<(NodeIndex, NodeIndex)>,
    mutation: Option<Mutation>,
    incarnations: u64,
    last_id: u64,
}

impl KeysSim {
    /// Starts all VMs and links them to one another.
    pub fn new(seed: u64, mutation: Option<Mutation>) -> Self {
        let mut sim = Self {
            env: Environment::new(seed),
            vms: Vec::new(),
            keys: Vec::new(),
            oracle: KeysOracle::default(),
            dispatches: Vec::new(),
            run_ends: BTreeMap::new(),
            broken_links: Vec::new(),
            mutation,
            incarnations: 0,
            last_id: 0,
        };
        for node in 0..VM_COUNT {
            let vm = sim.new_vm(node);
            sim.vms.push(vm);
        }
        for a in 0..VM_COUNT {
            for b in 0..a {
                sim.link(a, b);
            }
        }
        sim
    }

    fn new_vm(&mut self, node: NodeIndex) -> Vm {
        self.incarnations += 1;
        let incarnation = Incarnation(self.incarnations * INCARNATION_MODULUS + node as u64);
        let settings = Settings::builder()
            .retention_minutes(2)
            .forward_timeout(Duration::from_secs(20))
            .build();
        let now = self.env.now;
        let minute = now.since(Time::ZERO).as_secs() / 60;
        let mut core = Core::new(now, incarnation, minute, settings, incarnation.0);
        if let Some(mutation) = self.mutation {
            core.mutate(mutation);
        }
        Vm {
            core,
            incarnation,
            leaving: false,
            handing_over: false,
        }
    }

    fn link(&mut self, a: NodeIndex, b: NodeIndex) {
        let (first, second) = (self.vms[a].incarnation, self.vms[b].incarnation);
        self.feed(a, Input::Linked(second));
        self.feed(b, Input::Linked(first));
    }

    fn unlink(&mut self, a: NodeIndex, b: NodeIndex) {
        let (first, second) = (self.vms[a].incarnation, self.vms[b].incarnation);
        self.env.drop_in_transit(a, b);
        self.feed(a, Input::Unlinked(second));
        self.feed(b, Input::Unlinked(first));
    }

    fn feed(&mut self, node: NodeIndex, input: Input) {
        let mut out = Vec::new();
        self.vms[node].core.handle(self.env.now, input, &mut out);
        self.apply_outputs(node, out);
    }

    fn apply_outputs(&mut self, node: NodeIndex, out: Vec<Output>) {
        let incarnation = self.vms[node].incarnation;
        for output in out {
            match output {
                Output::Run(call) => self.dispatch(Dispatch {
                    node,
                    incarnation,
                    call,
                }),
                Output::Respond { call, outcome } => self.oracle.record_outcome(call, &outcome),
                Output::Send { to, message } => {
                    let target = (to.0 % INCARNATION_MODULUS) as usize;
                    if self.vms.get(target).is_some_and(|vm| vm.incarnation == to) {
                        self.env.send(node, target, message);
                    }
                }
                Output::Request { id, request } => self.env.request(node, id, request),
                Output::HandedOver(_) => {
                    let code = incarnation.0;
                    self.env.push(self.env.now, Event::Custom { node, code });
                }
            }
        }
        let wake = self.vms[node].core.next_wake();
        self.env.schedule_wake(node, wake);
        let vm = &self.vms[node];
        if vm.leaving && !vm.handing_over && vm.core.counts().running == 0 {
            self.vms[node].handing_over = true;
            let others = self.vms.iter().map(|vm| vm.incarnation);
            let others = others.filter(|other| *other != incarnation).collect();
            self.feed(node, Input::HandOver(others));
        }
    }

    /// Sends a call to the service after a random delay, even if the VM crashes meanwhile.
    fn dispatch(&mut self, dispatch: Dispatch) {
        let wait = self
            .env
            .random_duration(Duration::from_millis(1), Duration::from_secs(2));
        let code = self.dispatches.len() as u64;
        self.dispatches.push(dispatch);
        let at = self.env.now + wait;
        self.env.push(
            at,
            Event::Custom {
                node: SERVICE,
                code,
            },
        );
    }

    /// Lets the service run a call and answer, run it without an answer, or decline it.
    fn run_at_service(&mut self, code: u64) {
        let Dispatch {
            node,
            incarnation,
            call,
        } = self.dispatches[code as usize].clone();
        let key = self.key_index(&call);
        let roll = self.env.rng.random_range(0..10);
        if roll >= 2 {
            let run = Run {
                call: call.call,
                at: self.env.now,
            };
            self.oracle.runs.entry(key).or_default().push(run);
        }
        let end = match roll {
            0 | 1 => RunEnd::NotRun,
            2 => RunEnd::InDoubt,
            _ => RunEnd::Answered(vec![key as u8].into()),
        };
        self.last_id += 1;
        let code = self.last_id << 32;
        self.run_ends.insert(code, (incarnation, call.call, end));
        let at = self.env.now + Duration::from_millis(1);
        self.env.push(at, Event::Custom { node, code });
    }

    fn key_index(&self, call: &KeyedCall) -> usize {
        let index = self.keys.iter().position(|key| *key == call.key);
        index.unwrap_or(usize::MAX)
    }

    fn handle_custom(&mut self, node: NodeIndex, code: u64) {
        if node == SERVICE {
            return self.run_at_service(code);
        }
        if code == self.vms[node].incarnation.0 {
            return self.replace(node);
        }
        let Some((incarnation, call, end)) = self.run_ends.remove(&code) else {
            return;
        };
        if self.vms[node].incarnation == incarnation {
            self.feed(node, Input::Ended { call, end });
        }
    }

    fn replace(&mut self, node: NodeIndex) {
        for other in (0..VM_COUNT).filter(|other| *other != node) {
            self.unlink(node, other);
        }
        self.env.reset_node(node);
        self.vms[node] = self.new_vm(node);
        for other in (0..VM_COUNT).filter(|other| *other != node) {
            if !self.is_link_broken(node, other) {
                self.link(node, other);
            }
        }
    }

    fn is_link_broken(&self, a: NodeIndex, b: NodeIndex) -> bool {
        self.broken_links.contains(&(a, b)) || self.broken_links.contains(&(b, a))
    }

    fn new_key(&mut self, home: Option<NodeIndex>) {
        let number = self.keys.len();
        let text = match home {
            Some(node) => {
                let token = self.vms[node].core.token(self.env.now);
                format!("{token}.{number}")
            }
            None => format!("free-{number}"),
        };
        self.keys.push(CallKey {
            workspace: "w".into(),
            text: KeyText::new(text),
        });
    }

    fn call(&mut self, node: NodeIndex, key: usize) {
        if self.vms[node].leaving || self.keys.is_empty() {
            return;
        }
        let index = key % self.keys.len();
        let incarnation = self.vms[node].incarnation;
        self.last_id += 1;
        let call = CallId {
            origin: incarnation,
            seq: self.last_id,
        };
        let record = Call {
            key: index,
            incarnation,
            submitted_at: self.env.now,
            outcomes: Vec::new(),
        };
        self.oracle.calls.insert(call, record);
        let keyed = KeyedCall {
            call,
            key: self.keys[index].clone(),
            digest: 1,
            payload: [].into(),
        };
        self.feed(node, Input::Submit(keyed));
    }

    fn run(&mut self, time: Duration) -> Result<(), String> {
        let until = self.env.now + time;
        while let Some(event) = self.env.next_event(until) {
            match event {
                Event::Deliver { from, to, message } => {
                    let from = self.vms[from].incarnation;
                    self.feed(to, Input::Message { from, message });
                }
                Event::Reply { node, id, reply } => self.feed(node, Input::Reply { id, reply }),
                Event::Wake(node) => {
                    let mut out = Vec::new();
                    self.vms[node].core.tick(self.env.now, &mut out);
                    self.apply_outputs(node, out);
                }
                Event::Custom { node, code } => self.handle_custom(node, code),
                Event::Request { .. } => {}
            }
            self.oracle.check()?;
        }
        Ok(())
    }

    fn set_link_faults(&mut self, on: bool) {
        self.env.faults = if on {
            LinkFaults {
                loss_percent: 10,
                duplicate_percent: 30,
                max_delay: Duration::from_secs(4),
            }
        } else {
            LinkFaults::default()
        };
    }

    fn restore_links(&mut self) {
        for (a, b) in core::mem::take(&mut self.broken_links) {
            self.link(a, b);
        }
        self.env.cut_links.clear();
    }
}

impl Simulation<Step> for KeysSim {
    fn step(&mut self, step: &Step) -> Result<(), String> {
        match *step {
            Step::Key { home, has_token } => self.new_key(has_token.then_some(home)),
            Step::Call { node, key } => self.call(node, key),
            Step::Run { millis } => self.run(Duration::from_millis(millis))?,
            Step::Crash(node) => self.replace(node),
            Step::Drain(node) => {
                self.vms[node].leaving = true;
                self.feed(node, Input::Leave);
            }
            Step::Pause { node, seconds } => {
                let until = self.env.now + Duration::from_secs(seconds);
                self.env.pause(node, until);
            }
            Step::BreakLink(a, b) if a != b && !self.is_link_broken(a, b) => {
                self.broken_links.push((a, b));
                self.unlink(a, b);
            }
            Step::BreakLink(..) => {}
            Step::CutDirection(a, b) => {
                self.env.cut_links.insert((a, b));
            }
            Step::RestoreLinks => self.restore_links(),
            Step::SetLinkFaults(on) => self.set_link_faults(on),
            Step::SetHealth(health) => self.env.set_health(match health {
                0 => PlatformHealth::Up,
                1 => PlatformHealth::Slow,
                2 => PlatformHealth::Down,
                _ => PlatformHealth::Lossy,
            }),
        }
        self.oracle.check()
    }

    /// Ends all faults and checks that every call of a running incarnation gets an outcome.
    fn settle(&mut self) -> Result<(), String> {
        self.restore_links();
        self.set_link_faults(false);
        self.env.set_health(PlatformHealth::Up);
        self.run(Duration::from_mins(1))?;
        let incarnations: Vec<Incarnation> = self.vms.iter().map(|vm| vm.incarnation).collect();
        let unanswered =
            self.oracle.calls.iter().find(|(_, call)| {
                incarnations.contains(&call.incarnation) && call.outcomes.is_empty()
            });
        unanswered.map_or(Ok(()), |unanswered| {
            Err(format!("call without an outcome: {unanswered:?}"))
        })
    }
}
