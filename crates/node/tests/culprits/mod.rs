//! Callers that repeat requests at several VMs, and an account of the results.

use crate::relay::{Fleet, KEYS};
use core::{
    net::SocketAddr,
    sync::atomic::{AtomicBool, AtomicU32, Ordering},
    time::Duration,
};
use http::Method;
use poplarswitch_deployment::{
    CallRequest, Caller, Configuration, Crash, CrashPoint, Endpoint, EndpointKind, RequestKey,
};
use std::{
    collections::HashMap,
    thread::{self, ScopedJoinHandle},
    time::Instant,
};

/// Time within which VMs in touch must know what one of them has learned, and for which a VM must run
/// undisturbed to be in touch; from the operators' specification.
pub const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Number of endpoints that a request must have crashed before that time begins; from the operators'
/// specification.
const KNOWN_CRASHES: usize = 3;
/// Number of sends of such a request that may still reach endpoints after that time; from the
/// operators' specification.
pub const MAX_LATE_SENDS: usize = 3;
/// One in this many sound calls may be refused; from the operators' specification.
const REFUSED_INTERVAL: usize = 1_000;
/// Time for which an endpoint is down after a crash.
pub const DOWN_TIME: Duration = Duration::from_millis(1_200);
/// Time from the start of a run to the crash, or from the head of the answer.
const CRASH_DELAY: Duration = Duration::from_millis(50);
/// Time after a crash from which the service is as it was before: the endpoint is up and registered,
/// the old entry has lapsed, and VMs use the endpoint again.
pub const RECOVERY_TIME: Duration = Duration::from_millis(3_500);
/// Workspace of the callers.
const WORKSPACE: &str = "guides";
/// Time for which callers wait.
const DEADLINE: Duration = Duration::from_secs(3);
/// Number of attempts after which a caller gives a request up that must be served.
const MAX_REPEATS: u32 = 60;
/// Time between the attempts of such a request.
const REPEAT_INTERVAL: Duration = Duration::from_millis(150);

/// Flag of plans that are active at all times.
pub static ALWAYS: AtomicBool = AtomicBool::new(true);

/// A request that callers make.
#[derive(Clone, Debug)]
pub struct Subject {
    pub method: Method,
    pub path: String,
    pub body: &'static [u8],
    pub prompt: String,
    pub key: &'static str,
}

impl Subject {
    /// A request without a body.
    pub fn get(path: impl Into<String>) -> Self {
        Self {
            method: Method::GET,
            path: path.into(),
            body: b"",
            prompt: String::new(),
            key: KEYS[0],
        }
    }

    /// A request with a body.
    pub fn post(path: impl Into<String>, body: &'static [u8]) -> Self {
        Self {
            method: Method::POST,
            body,
            ..Self::get(path)
        }
    }

    /// A request for a stream.
    pub fn stream(path: impl Into<String>, prompt: impl Into<String>) -> Self {
        Self {
            prompt: prompt.into(),
            ..Self::post(path, b"prompt")
        }
    }

    /// A call with the request, whose identifier is yet to be set.
    pub fn call(&self) -> CallRequest<'_> {
        CallRequest {
            method: self.method.clone(),
            body: self.body,
            prompt: &self.prompt,
            deadline: DEADLINE,
            ..CallRequest::new("", &self.path, self.key)
        }
    }

    /// Parts by which endpoints identify the request.
    pub fn request_key(&self) -> RequestKey {
        RequestKey::new(self.method.clone(), &self.path, self.body, Some(WORKSPACE))
    }
}

/// A call and its result.
#[derive(Debug)]
pub struct Made {
    pub id: String,
    /// Number of the request among those of its plan; its repeats have the same.
    pub number: u32,
    pub vm: usize,
    pub ended: Instant,
    /// Status of a complete response.
    pub status: Option<u16>,
    /// Whether the call was refused because of crashes.
    pub held: bool,
}

impl Made {
    pub fn is_served(&self) -> bool {
        self.status == Some(200)
    }
}

/// Calls that one caller makes, one after the other.
pub struct Plan<'a> {
    /// VMs that are called in turn.
    pub vms: &'a [usize],
    /// Time between two calls.
    pub pause: Duration,
    /// The request with a number.
    pub request: &'a (dyn Fn(u32) -> Subject + Sync),
    /// Whether calls are made.
    pub active: &'a AtomicBool,
    /// Whether each request is repeated until it is served.
    pub repeats: bool,
}

/// Makes the calls of all plans, each by a caller of its own, while `during` runs; returns the calls
/// of each plan.
pub fn with_callers(
    fleet: &mut Fleet,
    plans: &[Plan<'_>],
    during: impl FnOnce(&mut Fleet),
) -> Vec<Vec<Made>> {
    let callers = Callers {
        addresses: (0..fleet.processes.len())
            .map(|vm| fleet.address(vm))
            .collect(),
        caller: Caller::new(Configuration::host()),
        next_id: AtomicU32::new(0),
        stop: AtomicBool::new(false),
    };
    thread::scope(|scope| {
        let running: Vec<_> = plans
            .iter()
            .map(|plan| scope.spawn(|| callers.make_all(plan)))
            .collect();
        // The callers must stop even if this thread panics; otherwise the scope would wait for them
        // forever.
        let stop = StopOnDrop(&callers.stop);
        during(fleet);
        drop(stop);
        fleet.register_until(|_| running.iter().all(ScopedJoinHandle::is_finished));
        running
            .into_iter()
            .map(|caller| caller.join().unwrap())
            .collect()
    })
}

struct StopOnDrop<'a>(&'a AtomicBool);

impl Drop for StopOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

struct Callers {
    addresses: Vec<SocketAddr>,
    caller: Caller,
    next_id: AtomicU32,
    stop: AtomicBool,
}

impl Callers {
    fn make_all(&self, plan: &Plan<'_>) -> Vec<Made> {
        let mut made = Vec::new();
        let mut vms = plan.vms.iter().copied().cycle();
        for number in 0.. {
            while !plan.active.load(Ordering::Relaxed) && !self.stop.load(Ordering::Relaxed) {
                thread::sleep(Duration::from_millis(10));
            }
            if self.stop.load(Ordering::Relaxed) {
                break;
            }
            let subject = (plan.request)(number);
            for attempt in 1.. {
                let call = self.make(&subject, number, vms.next().unwrap());
                let is_done = call.is_served() || !plan.repeats || attempt == MAX_REPEATS;
                made.push(call);
                if is_done {
                    break;
                }
                thread::sleep(REPEAT_INTERVAL);
            }
            thread::sleep(plan.pause);
        }
        made
    }

    fn make(&self, subject: &Subject, number: u32, vm: usize) -> Made {
        let id = format!("h{}", self.next_id.fetch_add(1, Ordering::Relaxed));
        let request = CallRequest {
            id: &id,
            ..subject.call()
        };
        let response = self.caller.call(self.addresses[vm], &request).ok();
        Made {
            number,
            vm,
            ended: Instant::now(),
            status: response.as_ref().map(|response| response.status),
            held: response.is_some_and(|r| r.not_run() && r.body.contains("_held\"")),
            id,
        }
    }
}

/// Makes requests crash all endpoints of a kind, which return under new names.
pub fn crash_endpoints_on(
    fleet: &Fleet,
    kind: EndpointKind,
    subjects: &[&Subject],
    point: CrashPoint,
) {
    for endpoint in fleet.endpoints.iter().filter(|e| e.kind() == kind) {
        endpoint.update_crash_plan(|plan| {
            plan.requests = subjects.iter().map(|s| s.request_key()).collect();
            plan.point = point;
            plan.delay = CRASH_DELAY;
            plan.down_time = DOWN_TIME;
            plan.renames = true;
        });
    }
}

/// All crashes of endpoints of a kind, in order.
pub fn crashes(fleet: &Fleet, kind: EndpointKind) -> Vec<Crash> {
    let endpoints = fleet.endpoints.iter().filter(|e| e.kind() == kind);
    let mut crashes: Vec<Crash> = endpoints.flat_map(Endpoint::crashes).collect();
    crashes.sort_unstable_by_key(|crash| crash.at);
    crashes
}

/// When a request crashed its third endpoint.
pub fn third_crash(fleet: &Fleet, subject: &Subject) -> Option<Instant> {
    let key = subject.request_key();
    let mut times: Vec<Instant> = fleet
        .endpoints
        .iter()
        .flat_map(Endpoint::crashes)
        .filter(|crash| crash.request.as_ref() == Some(&key))
        .map(|crash| crash.at)
        .collect();
    times.sort_unstable();
    times.get(KNOWN_CRASHES - 1).copied()
}

/// Waits until VMs in touch must know that a request crashes endpoints, or until it has had the time
/// to become known.
pub fn await_known(fleet: &mut Fleet, subject: &Subject) {
    let start = Instant::now();
    let longest = CONTACT_TIME + CONTACT_TIME;
    fleet.register_until(|fleet| match third_crash(fleet, subject) {
        Some(third) => third.elapsed() > CONTACT_TIME,
        None => start.elapsed() > longest,
    });
}

/// Period in which a VM was down, suspended or cut off from the platform.
#[derive(Clone, Copy, Debug)]
pub struct Absence {
    pub vm: usize,
    pub from: Instant,
    pub to: Instant,
}

/// Effects of a request that crashes endpoints.
#[derive(Clone, Copy, Debug)]
pub struct Account {
    /// Number of endpoints that the request crashed.
    pub crashed: usize,
    /// Sends after the third crash.
    pub after_third: usize,
    /// Sends later than the contact time after the third crash, by VMs in touch.
    pub late: usize,
}

/// The account of a request.
pub fn account(
    fleet: &Fleet,
    subject: &Subject,
    made: &[Vec<Made>],
    absences: &[Absence],
) -> Account {
    let key = subject.request_key();
    let all = fleet.endpoints.iter().flat_map(Endpoint::crashes);
    let crashed = all
        .filter(|crash| crash.request.as_ref() == Some(&key))
        .count();
    let vms: HashMap<&str, usize> = made
        .iter()
        .flatten()
        .map(|call| (&*call.id, call.vm))
        .collect();
    let is_excused = |call_id: &str, at: Instant| {
        let vm = vms.get(call_id);
        let mut absences = absences.iter().filter(|absence| Some(&absence.vm) == vm);
        absences.any(|absence| (absence.from..absence.to + CONTACT_TIME).contains(&at))
    };
    let third = third_crash(fleet, subject);
    let arrivals = fleet.endpoints.iter().flat_map(Endpoint::arrivals);
    let after: Vec<_> = arrivals
        .filter(|arrival| arrival.request == key && third.is_some_and(|third| arrival.at > third))
        .collect();
    let late = after.iter().filter(|arrival| {
        let is_late = third.is_some_and(|third| arrival.at > third + CONTACT_TIME);
        is_late && !is_excused(&arrival.call_id, arrival.at)
    });
    let account = Account {
        crashed,
        after_third: after.len(),
        late: late.count(),
    };
    let Account {
        crashed,
        after_third,
        late,
    } = account;
    eprintln!(
        "{} {}: {crashed} endpoints crashed, {after_third} sends after the third, {late} of them late",
        subject.method, subject.path
    );
    account
}

/// Results of sound calls.
#[derive(Clone, Copy, Debug)]
pub struct SoundAccount {
    pub calls: usize,
    pub served: usize,
    /// Calls that were refused because of crashes.
    pub held: usize,
    /// Calls that were not served though no endpoint of the service had crashed for a while.
    pub unserved_in_calm: usize,
    /// Calls while no endpoint of the service had crashed for a while.
    pub in_calm: usize,
}

impl SoundAccount {
    /// The account of sound calls to the service whose endpoints are of a kind.
    pub fn new<'a>(
        fleet: &Fleet,
        kind: EndpointKind,
        calls: impl IntoIterator<Item = &'a Made>,
        absences: &[Absence],
    ) -> Self {
        let crashes = crashes(fleet, kind);
        let is_calm = |call: &Made| {
            let began = call.ended.checked_sub(DEADLINE).unwrap_or(call.ended);
            let is_crash_over = |at: Instant| at > call.ended || at + RECOVERY_TIME < call.ended;
            let is_present = |absence: &&Absence| {
                absence.vm != call.vm
                    || absence.from > call.ended
                    || absence.to + CONTACT_TIME < began
            };
            crashes.iter().all(|crash| is_crash_over(crash.at))
                && absences.iter().all(|absence| is_present(&absence))
        };
        let mut account = Self {
            calls: 0,
            served: 0,
            held: 0,
            unserved_in_calm: 0,
            in_calm: 0,
        };
        for call in calls {
            account.calls += 1;
            account.served += usize::from(call.is_served());
            account.held += usize::from(call.held);
            if is_calm(call) {
                account.in_calm += 1;
                account.unserved_in_calm += usize::from(!call.is_served());
            }
        }
        eprintln!("sound calls: {account:?}");
        account
    }

    /// Number of calls that may be refused.
    pub const fn max_refused(&self) -> usize {
        self.calls / REFUSED_INTERVAL
    }
}
