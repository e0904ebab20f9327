//! Checks of the guarantees on requests that crash endpoints.
//!
//! The records hold what happened at the endpoints and which VMs were disturbed, and nothing of how
//! VMs decide.

use crate::cluster_env::NodeIndex;
use core::time::Duration;
use poplarswitch_entity::Time;

/// Time within which VMs in touch learn what one of them knows; from the operators' rules.
pub const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Endpoints that a request may crash before its sends count; from the operators' rules.
const KNOWN_CRASHES: usize = 3;
/// Sends that may come later than [`CONTACT_TIME`] after that; from the operators' rules.
const MAX_LATE_SENDS: usize = 3;
/// Time by which messages make a cut seem later than it was.
const CUT_DRIFT: Duration = Duration::from_secs(1);
/// Trials cut by crashes of another cause after which a sound request may stay held for long.
const MAX_CUT_TRIALS: usize = 2;

/// Events of one request.
#[derive(Clone, Debug, Default)]
struct Record {
    is_bad: bool,
    /// Crashes that it caused.
    crashes: usize,
    /// When it caused the last one of [`KNOWN_CRASHES`].
    known: Option<Time>,
    late_sends: usize,
    /// When a VM last learned that a call was cut.
    cut: Option<Time>,
    /// First answer in calm since then, and its VM; no VM has been disturbed since.
    answered: Option<(Time, NodeIndex)>,
    /// Last answer, and its VM, which has been in touch since.
    last_answer: Option<(Time, NodeIndex)>,
    cut_trials: usize,
}

/// A trial that runs.
#[derive(Clone, Copy, Debug)]
struct Trial {
    call: u64,
    request: usize,
    home: NodeIndex,
    since: Time,
}

/// The records of all requests, VMs and trials.
#[derive(Clone, Debug)]
pub struct QuarantineOracle {
    requests: Vec<Record>,
    /// End of the last disturbance of each VM; `Time::MAX` while it lasts.
    disturbed: Vec<Option<Time>>,
    trials: Vec<Trial>,
    /// The first violation.
    pub violation: Option<String>,
}

impl QuarantineOracle {
    /// Starts with sound requests and undisturbed VMs.
    pub fn new(requests: usize, vms: usize) -> Self {
        Self {
            requests: vec![Record::default(); requests],
            disturbed: vec![None; vms],
            trials: Vec::new(),
            violation: None,
        }
    }

    fn fail(&mut self, message: String) {
        self.violation.get_or_insert(message);
    }

    /// Whether a request crashes endpoints.
    pub fn is_bad(&self, request: usize) -> bool {
        self.requests[request].is_bad
    }

    /// Records that a request crashes endpoints from now on.
    pub fn turn_bad(&mut self, request: usize) {
        self.requests[request].is_bad = true;
    }

    /// Records a disturbance of a VM that lasts until a time.
    pub fn disturb(&mut self, vm: NodeIndex, until: Time) {
        let disturbed = &mut self.disturbed[vm];
        *disturbed = Some(
            disturbed
                .filter(|end| *end != Time::MAX)
                .map_or(until, |end| end.max(until)),
        );
        for record in &mut self.requests {
            record.answered = None;
            record.last_answer = record.last_answer.filter(|(_, by)| *by != vm);
        }
    }

    /// Whether a VM has been undisturbed for [`CONTACT_TIME`].
    pub fn is_in_touch(&self, now: Time, vm: NodeIndex) -> bool {
        self.disturbed[vm].is_none_or(|end| end < Time::MAX && now > end + CONTACT_TIME)
    }

    /// Records that a VM sends a request to an endpoint.
    pub fn send(&mut self, now: Time, request: usize, vm: NodeIndex) {
        let is_in_touch = self.is_in_touch(now, vm);
        let record = &mut self.requests[request];
        let is_late = record.known.is_some_and(|known| now > known + CONTACT_TIME);
        if !(record.is_bad && is_late && is_in_touch) {
            return;
        }
        record.late_sends += 1;
        if record.late_sends > MAX_LATE_SENDS {
            let late = record.late_sends;
            self.fail(format!(
                "request {request} was sent late {late} times, at last by {vm} at {now:?}"
            ));
        }
    }

    /// Records that a request has crashed an endpoint.
    pub fn crash(&mut self, now: Time, request: usize) {
        let record = &mut self.requests[request];
        record.crashes += 1;
        if record.crashes == KNOWN_CRASHES {
            record.known = Some(now);
        }
    }

    /// Records that a VM learned that a call was cut by a crash.
    pub fn cut(&mut self, now: Time, request: usize) {
        self.requests[request].answered = None;
        self.requests[request].cut = Some(now);
    }

    /// Whether no VM is disturbed, or was within [`CONTACT_TIME`] before `since`.
    fn is_calm(&self, since: Time) -> bool {
        (0..self.disturbed.len()).all(|vm| self.is_in_touch(since, vm))
    }

    /// Records a whole answer at a VM.
    pub fn answer(&mut self, now: Time, request: usize, vm: NodeIndex) {
        let is_calm = self.is_calm(now);
        let is_in_touch = self.is_in_touch(now, vm);
        let record = &mut self.requests[request];
        if is_calm && record.cut.is_none_or(|cut| now > cut + CUT_DRIFT) {
            record.answered.get_or_insert((now, vm));
        }
        if is_in_touch {
            record.last_answer = Some((now, vm));
        }
    }

    /// Records that a trial is sent which `home` has granted.
    pub fn begin_trial(&mut self, now: Time, call: u64, request: usize, home: NodeIndex) {
        let trial = Trial {
            call,
            request,
            home,
            since: now,
        };
        let mut others = self.trials.iter();
        let other = others.find(|other| other.request == request && self.is_calm(other.since));
        if let Some(other) = other {
            let homes = (other.home, home);
            let message =
                format!("homes {homes:?} let two trials run at {now:?}: {other:?}, {trial:?}");
            self.fail(message);
        }
        self.trials.push(trial);
    }

    /// Records the end of a call that may be a trial.
    pub fn end_trial(&mut self, call: u64, is_cut: bool) {
        let ended = self.trials.iter().position(|trial| trial.call == call);
        if let Some(index) = ended {
            let trial = self.trials.swap_remove(index);
            self.requests[trial.request].cut_trials += usize::from(is_cut);
        }
    }

    /// Checks which requests a VM holds.
    pub fn check_held(&mut self, now: Time, vm: NodeIndex, held: impl Iterator<Item = usize>) {
        if !self.is_in_touch(now, vm) {
            return;
        }
        for request in held {
            let answered = self.requests[request].answered;
            if let Some((at, by)) = answered.filter(|(at, _)| now > *at + CONTACT_TIME) {
                self.fail(format!("VM {vm} holds request {request} at {now:?}, which was answered at {by} at {at:?}"));
            }
        }
    }

    /// Requests that must not be held after a long calm: sound ones that were answered since `since` by
    /// a VM that has been in touch since then.
    pub fn sound(&self, since: Time) -> impl Iterator<Item = usize> {
        let requests = self.requests.iter().enumerate();
        let sound = requests.filter(move |(_, record)| {
            let is_answered = record.last_answer.is_some_and(|(at, _)| at >= since);
            !record.is_bad && is_answered && record.cut_trials < MAX_CUT_TRIALS
        });
        sound.map(|(request, _)| request)
    }
}
