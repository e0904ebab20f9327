//! Trials of held subjects: one call is sent to find out whether a subject still crashes endpoints.
//!
//! The home, one of the VMs that are alive, grants trials to itself and to other VMs: one at a time for
//! each subject, and few at a time for each service, since one that is cut beside another shows nothing.
//! The first one is granted at once: most subjects that are held were beside a crash that another one
//! caused. Each further trial of a subject that crashes endpoints costs one, so they are rare and their
//! number is limited; crashes soon after the third one are not avoidable anyway.

use super::{
    HoldChange, Passage, Quarantine, Subject,
    history::{EARLY_TIME, History},
    holds::{Granted, Hold, Pause, RunningTrial},
    messages::{
        HeldAge, TrialAsk, TrialEnded, TrialHome, TrialId, TrialOutcome, TrialReply, TrialTarget,
        TrialVerdict,
    },
};
use core::time::Duration;
use poplarswitch_entity::Time;

/// Time limit for the home's reply; a call that waits for it may have a latency objective of 100 ms.
pub const TRIAL_REPLY_TIMEOUT: Duration = Duration::from_millis(80);
/// Times from the last crash before a subject was held to its trials after the first one.
const TRIAL_DELAYS: [Duration; 5] = [
    Duration::from_secs(30),
    Duration::from_secs(150),
    Duration::from_hours(1),
    Duration::from_hours(4),
    Duration::from_hours(16),
];
/// Maximum number of counted trials with which a new software version brings the next one forward.
const MAX_VERSION_TRIALS: u8 = 2;
/// Time between trials within [`EARLY_TIME`].
const EARLY_DELAY: Duration = Duration::from_millis(600);
/// Maximum number of trials that are not counted, of a subject that was answered recently.
const MAX_EARLY: u8 = 3;
/// Maximum number of subjects that one trial tries.
const MAX_TRIED: usize = 2;
/// Time without a call that has only one of two held subjects after which a trial may try both; VMs ask
/// more often.
const ALONE_TIME: Duration = Duration::from_secs(2);
/// Calls kept back since a trial, or since a hold was read from the platform, from which the next one
/// comes soon.
const URGENT_ASKS: u32 = 5;
/// Time without a crash after which a subject that was answered recently has its next trials, which a
/// crash of another cause is not likely to cut.
const CALM_TIME: Duration = Duration::from_secs(1);
/// Longest time for which such a trial waits for calm.
const MAX_CALM_WAIT: Duration = Duration::from_secs(3);
/// Time since a call asked for a subject in which its first trial goes before those of others.
const FIRST_ASK_TIME: Duration = Duration::from_secs(1);
/// Time for which the grant of a trial is not told to others.
const GRANT_NEWS_DELAY: Duration = Duration::from_millis(300);
/// Time after which a trial without an outcome is lost.
const TRIAL_TTL: Duration = Duration::from_secs(10);
/// Number of endpoints of a service for each trial that may run there beside another one.
const ENDPOINTS_PER_TRIAL: u16 = 6;
/// Time for which a call may wait for the outcome of trials, counted from its first wait; longer than
/// [`super::SURVIVAL_TIME`] and the messages before and after it.
pub const TRIAL_WAIT: Duration = Duration::from_millis(1_500);
/// Time after which a VM asks again while a trial is running, or without a reply.
const RUNNING_DELAY: Duration = Duration::from_millis(100);
/// Shortest time after which a VM asks again; a home tells the time left in whole milliseconds.
const MIN_ASK_DELAY: Duration = Duration::from_millis(1);
/// Longest time after which a VM asks again.
const MAX_ASK_DELAY: Duration = Duration::from_secs(1);
/// Time after which a caller may come back if there is no home, or another one.
const UNANSWERED_DELAY: Duration = Duration::from_millis(300);

/// Circumstances of the trials of a subject beside its own crashes.
#[derive(Clone, Copy, Debug)]
struct TrialState {
    is_answered: bool,
    /// Whether it would not be held any more, for what is known of others.
    is_explained: bool,
    /// End of the time after the last crash of any endpoint.
    calm_from: Time,
    version: u64,
}

impl Hold {
    /// Number of trials that other VMs are told of. They don't learn of a trial that may be given back,
    /// since no number that they know can be taken back, nor of a first one that runs, since they hold a
    /// subject for it in spite of answers.
    pub(super) fn told_trials(&self, now: Time) -> u8 {
        let running = self.running.filter(|running| {
            let age = now.since(running.granted);
            age < GRANT_NEWS_DELAY || running.before.trials == 0 && age < TRIAL_TTL
        });
        running.map_or(self.trials, |running| running.before.trials)
    }

    const fn granted(&self) -> Granted {
        Granted {
            trials: self.trials,
            early: self.early,
            last_trial: self.last_trial,
            version: self.version,
            asks: self.asks,
        }
    }

    /// Gives a trial back.
    const fn restore(&mut self, trial: &RunningTrial) {
        let Granted {
            trials,
            early,
            last_trial,
            version,
            asks,
        } = trial.before;
        self.trials = trials;
        self.early = early;
        self.last_trial = last_trial;
        self.version = version;
        self.asks = asks;
    }

    /// Whether the next trial comes soon: many calls wait for it, and it has had none since it was read from
    /// the platform, or one.
    const fn is_urgent(&self) -> bool {
        let is_untried = self.restored && self.last_trial.0 <= self.learned.0;
        (is_untried || self.trials == 1) && self.asks >= URGENT_ASKS
    }

    fn repeats_early(&self, now: Time, history: &History, is_answered: bool) -> bool {
        let is_early = history.known.is_some() && history.is_early(now);
        self.trials == 1 && is_early && is_answered && self.early < MAX_EARLY
    }

    /// When the next trial is due.
    fn next_trial(&self, now: Time, history: &History, state: TrialState) -> Time {
        let TrialState {
            is_answered,
            is_explained,
            calm_from,
            version,
        } = state;
        let is_new = version != 0 && self.version != 0 && version != self.version;
        let last = self.last_trial;
        let delay = |index: u8| {
            let index = usize::from(index).min(TRIAL_DELAYS.len() - 1);
            self.since + TRIAL_DELAYS[index]
        };
        match self.trials {
            0 => now,
            1..=MAX_VERSION_TRIALS if is_new => now,
            1 if self.repeats_early(now, history, is_answered) => last + EARLY_DELAY,
            1 | 2 if is_explained => last + EARLY_DELAY,
            1 | 2 if is_answered || self.is_urgent() => {
                calm_from.max(last + CALM_TIME).min(last + MAX_CALM_WAIT)
            }
            trials @ 1..=2 => delay(trials.saturating_sub(1 + self.undecided)),
            trials => delay(trials - 1),
        }
    }
}

impl Quarantine {
    /// Decides whether a call with the given subjects may be sent. `home` is the VM that grants trials,
    /// one for all subjects.
    pub fn check(
        &mut self,
        now: Time,
        subjects: impl Iterator<Item = Subject>,
        home: TrialHome,
        target: TrialTarget,
    ) -> Passage {
        if self.held.is_empty() {
            return Passage::Free;
        }
        let mut found: [Option<Subject>; MAX_TRIED] = [None; MAX_TRIED];
        for subject in subjects {
            let Some(hold) = self.held.get_mut(&subject) else {
                continue;
            };
            hold.asked = now;
            hold.asks = hold.asks.saturating_add(1);
            let Some(free) = found.iter_mut().find(|found| found.is_none()) else {
                return Passage::Held {
                    subject,
                    retry_after: MAX_ASK_DELAY,
                };
            };
            *free = Some(subject);
        }
        let [first, also] = found;
        first.map_or(Passage::Free, |subject| {
            self.check_held(now, subject, also, home, target)
        })
    }

    fn check_held(
        &mut self,
        now: Time,
        subject: Subject,
        also: Option<Subject>,
        home: TrialHome,
        target: TrialTarget,
    ) -> Passage {
        let mut are_untried = true;
        for tried in [Some(subject), also].into_iter().flatten() {
            let Some(hold) = self.held.get(&tried) else {
                continue;
            };
            if let Some((until, pause)) = hold.pause
                && now < until
            {
                return hold_back(now, tried, until, pause);
            }
            are_untried &= hold.trials == 0;
        }
        let held_age = |hold: &Hold, subject| HeldAge {
            subject,
            since_ms: millis(now.since(hold.since)),
            trials: hold.trials,
        };
        let also_held = also.and_then(|also| Some(held_age(self.held.get(&also)?, also)));
        let Some(hold) = self.held.get_mut(&subject) else {
            return Passage::Free;
        };
        self.serial = self.serial.wrapping_add(1);
        let serial = self.serial;
        match home {
            TrialHome::Alone if are_untried => self.grant(now, subject, also, serial, target),
            // A VM that has just started soon finds a home.
            TrialHome::Nobody | TrialHome::Alone => Passage::Wait {
                subject,
                until: now + RUNNING_DELAY,
            },
            TrialHome::Other => {
                hold.pause = Some((now + TRIAL_REPLY_TIMEOUT, Pause::Outcome));
                Passage::Ask(TrialAsk {
                    serial,
                    subject,
                    since_ms: millis(now.since(hold.since)),
                    trials: hold.trials,
                    target,
                    also: also_held,
                })
            }
            TrialHome::Local => self.grant(now, subject, also, serial, target),
        }
    }

    /// Decides on a trial of this VM.
    fn grant(
        &mut self,
        now: Time,
        subject: Subject,
        also: Option<Subject>,
        serial: u32,
        target: TrialTarget,
    ) -> Passage {
        let verdict = self.decide_all(now, subject, also, (None, serial), target);
        let id = TrialId { subject, serial };
        self.apply(now, id, Some(verdict)).0
    }

    /// Takes in the home's reply to a request for a trial, or that there was none in time; then the
    /// home is to be told that the trial was not sent.
    pub fn finish_ask(
        &mut self,
        now: Time,
        id: TrialId,
        reply: Option<TrialVerdict>,
    ) -> (Passage, Option<HoldChange>) {
        self.apply(now, id, reply)
    }

    fn apply(
        &mut self,
        now: Time,
        id: TrialId,
        verdict: Option<TrialVerdict>,
    ) -> (Passage, Option<HoldChange>) {
        let subject = id.subject;
        let mut change = None;
        if let Some(TrialVerdict::Answered(age)) = verdict {
            let age = Duration::from_millis(u64::from(age));
            change = self.add_answer(now, subject, now - age);
        }
        let Some(hold) = self.held.get_mut(&subject) else {
            return (Passage::Free, change);
        };
        let (delay, pause) = match verdict {
            // Without a reply, the call may ask again.
            None | Some(TrialVerdict::Granted | TrialVerdict::Running) => {
                (RUNNING_DELAY, Pause::Outcome)
            }
            Some(TrialVerdict::Later(wait)) => {
                let wait = Duration::from_millis(u64::from(wait)).max(MIN_ASK_DELAY);
                (wait.min(MAX_ASK_DELAY), Pause::Due(now + wait))
            }
            Some(TrialVerdict::Answered(_)) => {
                (UNANSWERED_DELAY, Pause::Due(now + UNANSWERED_DELAY))
            }
        };
        hold.pause = Some((now + delay, pause));
        let passage = match verdict {
            Some(TrialVerdict::Granted) => Passage::Trial(id),
            _ => hold_back(now, subject, now + delay, pause),
        };
        (passage, change)
    }

    /// Answers the request of another VM, with address `from`, for a trial. `home` is this VM's view.
    pub fn answer_ask(
        &mut self,
        now: Time,
        from: u32,
        ask: &TrialAsk,
        home: TrialHome,
    ) -> (TrialReply, Option<HoldChange>) {
        let TrialAsk {
            serial,
            subject,
            since_ms,
            trials,
            target,
            also,
        } = *ask;
        let since = now - Duration::from_millis(u64::from(since_ms));
        let reply = |verdict| TrialReply {
            serial,
            subject,
            verdict,
        };
        let answered = self.answered.get(&subject).map(|answered| answered.began);
        let since_crash = since.max(self.last_crash_of(subject));
        if let Some(began) = answered.filter(|began| *began > since_crash) {
            let age = millis(now.since(began));
            return (reply(TrialVerdict::Answered(age)), None);
        }
        let hold = Hold::new(now, since, trials);
        let change = self.insert_hold(subject, hold);
        if home != TrialHome::Local {
            let wait = millis(UNANSWERED_DELAY);
            return (reply(TrialVerdict::Later(wait)), change);
        }
        let also = also.and_then(|also| self.add_asked(now, also));
        let verdict = self.decide_all(now, subject, also, (Some(from), serial), target);
        (reply(verdict), change)
    }

    /// Takes in another held subject of a call that asks for a trial; returns it if it is held here too.
    fn add_asked(&mut self, now: Time, also: HeldAge) -> Option<Subject> {
        let HeldAge {
            subject,
            since_ms,
            trials,
        } = also;
        let since = now - Duration::from_millis(u64::from(since_ms));
        let answered = self.answered.get(&subject);
        if answered.is_none_or(|answered| answered.began <= since) {
            self.insert_hold(subject, Hold::new(now, since, trials));
        }
        self.held.contains_key(&subject).then_some(subject)
    }

    /// Decides on a trial of one subject, or of two that a call has.
    ///
    /// One of two shows nothing of either if it is cut, so it is granted only while no call comes that has
    /// just one of them.
    fn decide_all(
        &mut self,
        now: Time,
        subject: Subject,
        also: Option<Subject>,
        key: (Option<u32>, u32),
        target: TrialTarget,
    ) -> TrialVerdict {
        let Some(also) = also else {
            if let Some(hold) = self.held.get_mut(&subject) {
                hold.alone = now;
            }
            return self.decide(now, subject, None, key, target);
        };
        let both = [subject, also];
        let alone = both.iter().filter_map(|subject| self.held.get(subject));
        let alone = alone.map(|hold| hold.alone).max().unwrap_or_default();
        if alone != Time::ZERO && now.since(alone) < ALONE_TIME {
            return TrialVerdict::Later(millis((alone + ALONE_TIME).since(now)));
        }
        let verdict = self.decide(now, subject, Some(also), key, target);
        if verdict != TrialVerdict::Granted {
            return verdict;
        }
        let verdict = self.decide(now, also, Some(subject), key, target);
        if verdict != TrialVerdict::Granted
            && let Some(hold) = self.held.get_mut(&subject)
            && let Some(running) = hold.running.take()
        {
            hold.restore(&running);
        }
        verdict
    }

    /// Whether a trial of a subject has to wait: for another one of it or at the same service, or,
    /// unless it was answered recently, for the first trials of those that were.
    fn is_busy(
        &self,
        now: Time,
        subject: Subject,
        also: Option<Subject>,
        target: TrialTarget,
    ) -> bool {
        let is_answered = |subject: Subject| self.answered.contains_key(&subject);
        let gives_way = !is_answered(subject);
        let mut running = 0;
        for (other, hold) in self.held.iter().filter(|(other, _)| Some(**other) != also) {
            let trial = hold.running.filter(|r| now.since(r.granted) < TRIAL_TTL);
            let goes_first = hold.trials == 0
                && now.since(hold.asked) < FIRST_ASK_TIME
                && now.since(hold.learned) < EARLY_TIME;
            if trial.is_some() && *other == subject
                || gives_way && goes_first && is_answered(*other)
            {
                return true;
            }
            running += u16::from(trial.is_some_and(|trial| trial.service == target.service));
        }
        running > target.endpoints / ENDPOINTS_PER_TRIAL
    }

    /// Decides on a trial as the subject's home.
    fn decide(
        &mut self,
        now: Time,
        subject: Subject,
        also: Option<Subject>,
        key: (Option<u32>, u32),
        target: TrialTarget,
    ) -> TrialVerdict {
        let TrialTarget {
            service, version, ..
        } = target;
        if self.is_busy(now, subject, also, target) {
            return TrialVerdict::Running;
        }
        let is_answered = self.answered.contains_key(&subject);
        let state = TrialState {
            is_answered,
            is_explained: is_answered
                && self.suspects.contains_key(&subject)
                && !self.is_suspect_convicted(now, subject),
            calm_from: self.last_crash + CALM_TIME,
            version,
        };
        let history = self.history(subject);
        let Some(hold) = self.held.get_mut(&subject) else {
            return TrialVerdict::Later(millis(UNANSWERED_DELAY));
        };
        hold.asked = now;
        hold.asks = hold.asks.saturating_add(u32::from(key.0.is_some()));
        let due = hold.next_trial(now, &history, state);
        if now < due {
            return TrialVerdict::Later(millis(due.since(now)));
        }
        let before = hold.granted();
        if hold.trials == 0 {
            let late = u8::from(!history.is_early(now));
            hold.trials = history.late.saturating_add(1 + late);
            hold.early = 1;
        } else if hold.repeats_early(now, &history, is_answered) {
            hold.early += 1;
        } else {
            hold.trials = hold.trials.saturating_add(1);
        }
        hold.last_trial = now;
        hold.running = Some(RunningTrial {
            key,
            also,
            service,
            granted: now,
            before,
        });
        hold.asks = 0;
        if version != 0 {
            hold.version = version;
        }
        TrialVerdict::Granted
    }

    /// Takes in how a trial ended that this VM granted to the VM with address `from`, or to itself.
    pub fn end_trial(
        &mut self,
        now: Time,
        from: Option<u32>,
        ended: &TrialEnded,
    ) -> Vec<HoldChange> {
        let TrialEnded {
            serial,
            subject,
            outcome,
        } = *ended;
        if from.is_none()
            && let Some(hold) = self.held.get_mut(&subject)
        {
            hold.pause = None;
        }
        let key = (from, serial);
        let hold = self.held.get(&subject);
        let running = hold.and_then(|hold| hold.running);
        let also = running.filter(|running| running.key == key);
        let also = also.and_then(|running| running.also);
        let tried = [Some(subject), also].into_iter().flatten();
        tried
            .filter_map(|subject| self.end_one(now, subject, key, outcome))
            .collect()
    }

    fn end_one(
        &mut self,
        now: Time,
        subject: Subject,
        key: (Option<u32>, u32),
        outcome: TrialOutcome,
    ) -> Option<HoldChange> {
        let history = self.history(subject);
        let hold = self.held.get_mut(&subject)?;
        let running = hold.running.filter(|running| running.key == key)?;
        hold.running = None;
        match outcome {
            TrialOutcome::Answered => return self.add_answer(now, subject, running.granted),
            TrialOutcome::Unsent => hold.restore(&running),
            // It has reached an endpoint, which is limited after the third crash.
            TrialOutcome::Undecided if history.is_early(running.granted) && !hold.restored => {
                hold.restore(&running);
            }
            TrialOutcome::Undecided => hold.undecided = hold.undecided.saturating_add(1),
            TrialOutcome::Cut => {}
        }
        None
    }
}

/// Keeps back a call with a held subject.
fn hold_back(now: Time, subject: Subject, until: Time, pause: Pause) -> Passage {
    match pause {
        Pause::Outcome => Passage::Wait { subject, until },
        // As after the reply of a VM that isn't the home, which another one soon is.
        Pause::Due(due) if due.since(now) <= UNANSWERED_DELAY => Passage::Wait { subject, until },
        Pause::Due(due) => Passage::Held {
            subject,
            retry_after: due.since(now),
        },
    }
}

fn millis(duration: Duration) -> u32 {
    duration.as_millis().min(u128::from(u32::MAX)) as u32
}
