//! Sections of prompts that crash every engine that begins an answer on them.
//!
//! When an engine crashes, each VM reports the shared sections of the calls that it had on that
//! engine and that had not run for long. Sound sections are answered elsewhere, which clears the
//! crashes before; a section that crashes engines collects crashes and no answers, and is held: calls
//! with it are refused before they reach an engine. Evidence in both directions and held sections are
//! exchanged between all VMs.
//!
//! A popular section is on many engines when these crash of a common cause. Therefore crashes at
//! about the same time count once, a section that was answered not long before needs more evidence,
//! and crashes that a held section explains count less against others.
//!
//! From time to time, one VM sends a call with a held section as a trial; if it is answered, the
//! section is released on all VMs.

use core::{cmp::Reverse, time::Duration};
use poplarswitch_entity::Time;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// Time after the beginning of an answer from which its sections count as sound, also if the answer
/// is not complete; a section that crashes engines does so when its answer begins.
pub const SURVIVAL_TIME: Duration = Duration::from_secs(1);
/// Crashes within this time have one cause and count once for each section.
const CLUSTER_TIME: Duration = Duration::from_millis(60);
/// Reports of a crash of the same endpoint within this time are of the same crash.
const SAME_CRASH_TIME: Duration = Duration::from_secs(1);
/// Weight of a crash while an answer had begun.
const BEGUN_WEIGHT: u32 = 2;
/// Weight of a crash before an answer had begun, since the call may have waited for others, and of
/// one that a held section explains.
const WEAK_WEIGHT: u32 = 1;
/// Weight of crashes from which a section is held that has not been answered recently.
const UNKNOWN_LIMIT: u32 = 8;
/// Weight of crashes from which a section is held that has been answered recently.
const ANSWERED_LIMIT: u32 = 14;
/// Time over which the crashes of a section without recent answers must be spread, so that an answer
/// that began between them can clear it.
const UNKNOWN_SPAN: Duration = Duration::from_secs(1);
/// Time over which the crashes of a section with recent answers must be spread.
const ANSWERED_SPAN: Duration = Duration::from_secs(3);
/// Time for which a crash counts.
const CRASH_TTL: Duration = Duration::from_mins(2);
/// Time for which an answer counts as recent.
const ANSWER_TTL: Duration = Duration::from_mins(1);
/// Time after which a held section that no call has asked for is forgotten.
const HOLD_IDLE_TTL: Duration = Duration::from_mins(30);
/// Time after which the first call with a held section is sent as a trial.
const FIRST_TRIAL: Duration = Duration::from_secs(30);
/// Factor between the times of successive trials.
const TRIAL_FACTOR: u32 = 4;
/// Maximum number of trials that increase the time until the next one.
const MAX_TRIAL_EXPONENT: u8 = 6;
/// Maximum number of sections with crashes that are kept.
const MAX_SUSPECTS: usize = 512;
/// Maximum number of crashes that are kept for each section.
const MAX_CRASHES: usize = 16;
/// Maximum number of sections whose answers are kept.
const MAX_ANSWERED: usize = 4_096;
/// Maximum number of sections that are held.
const MAX_HELD: usize = 256;
/// Interval at which expired evidence is removed.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which news is repeated to other VMs, which may lose datagrams.
const NEWS_TIME: Duration = Duration::from_secs(2);
/// Minimum progress between two answers on a section that are both news.
const ANSWER_NEWS_STEP: Duration = Duration::from_millis(500);
/// Maximum number of records of each kind in one digest, which fits into one datagram.
const MAX_RECORDS: usize = 20;

/// A crash of an endpoint while a call with a section was on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashRecord(
    /// Section.
    pub u64,
    /// Hash of the endpoint's name.
    pub u32,
    /// Age in milliseconds.
    pub u32,
    /// Whether an answer had begun.
    pub bool,
    /// Position of the section in its prompt.
    pub u8,
);

/// An answer on a section that was written well.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerRecord(
    /// Section.
    pub u64,
    /// Time since the answer began, in milliseconds.
    pub u32,
);

/// A held section.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HoldRecord(
    /// Section.
    pub u64,
    /// Time since the last crash before it was held, in milliseconds.
    pub u32,
    /// Time since a call last asked for it, in milliseconds.
    pub u32,
    /// Number of trials.
    pub u8,
);

/// A held section in the platform, with times that outlive a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldSection {
    /// Section.
    pub section: u64,
    /// Last crash before it was held, in Unix milliseconds.
    pub since_ms: u64,
    /// When a call last asked for it, in Unix milliseconds.
    pub asked_ms: u64,
    /// Number of trials.
    pub trials: u8,
}

/// What a VM tells others about sections.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineDigest {
    /// Crashes that this VM has learned of recently.
    pub crashes: Vec<CrashRecord>,
    /// Answers that clear crashes.
    pub answers: Vec<AnswerRecord>,
    /// Held sections.
    pub holds: Vec<HoldRecord>,
}

impl QuarantineDigest {
    /// Whether there is nothing to tell.
    pub const fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.answers.is_empty() && self.holds.is_empty()
    }
}

/// A call's connection that was cut by a crash of its endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CutCall {
    /// Hash of the endpoint's name.
    pub endpoint: u32,
    /// When it was cut.
    pub at: Time,
    /// Whether its answer had begun.
    pub begun: bool,
    /// Its sections that other calls may share, in order.
    pub sections: Vec<u64>,
}

/// A change of the set of held sections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HoldChange {
    /// The section is held from now on.
    Held {
        /// Section.
        section: u64,
        /// Crashes that count.
        crashes: usize,
        /// Whether another VM decided this.
        remote: bool,
    },
    /// The section is not held any more.
    Released {
        /// Section.
        section: u64,
    },
}

/// Whether a call may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Passage {
    /// None of its sections is held.
    Free,
    /// It is the trial of a held section.
    Trial(u64),
    /// A section is held.
    Held {
        /// Section.
        section: u64,
        /// Time until its next trial.
        retry_after: Duration,
    },
}

#[derive(Clone, Copy, Debug)]
struct Crash {
    endpoint: u32,
    at: Time,
    begun: bool,
    /// Whether a section that is held was on the endpoint too.
    explained: bool,
    learned: Time,
}

impl Crash {
    const fn weight(&self) -> u32 {
        match (self.begun, self.explained) {
            (true, false) => BEGUN_WEIGHT,
            (true, true) | (false, false) => WEAK_WEIGHT,
            (false, true) => 0,
        }
    }

    fn is_same(&self, endpoint: u32, at: Time) -> bool {
        let distance = self.at.since(at).max(at.since(self.at));
        self.endpoint == endpoint && distance < SAME_CRASH_TIME
    }
}

#[derive(Clone, Debug, Default)]
struct Suspect {
    /// In the order of their times.
    crashes: Vec<Crash>,
    depth: u8,
}

impl Suspect {
    /// Weight of the crashes, of which those within [`CLUSTER_TIME`] count once.
    fn weight(&self) -> u32 {
        let mut weight = 0;
        let mut cluster: Option<(Time, u32)> = None;
        for crash in &self.crashes {
            let own = crash.weight();
            match &mut cluster {
                Some((start, counted)) if crash.at.since(*start) < CLUSTER_TIME => {
                    weight += own.saturating_sub(*counted);
                    *counted = own.max(*counted);
                }
                _ => {
                    weight += own;
                    cluster = Some((crash.at, own));
                }
            }
        }
        weight
    }

    fn span(&self) -> Duration {
        match (self.crashes.first(), self.crashes.last()) {
            (Some(first), Some(last)) => last.at.since(first.at),
            _ => Duration::ZERO,
        }
    }

    fn has_two_endpoints(&self) -> bool {
        let first = self.crashes.first().map(|crash| crash.endpoint);
        self.crashes
            .iter()
            .any(|crash| Some(crash.endpoint) != first)
    }

    /// Removes the crash that follows another one most closely, so that the span remains.
    fn remove_closest(&mut self) {
        let gap = |index: &usize| self.crashes[*index].at.since(self.crashes[*index - 1].at);
        if let Some(index) = (1..self.crashes.len()).min_by_key(gap) {
            self.crashes.remove(index);
        }
    }

    /// Adds a crash, unless it is known; returns whether it was added.
    fn add(&mut self, crash: Crash) -> bool {
        let known = self
            .crashes
            .iter_mut()
            .find(|known| known.is_same(crash.endpoint, crash.at));
        if let Some(known) = known {
            let stronger = crash.begun && !known.begun;
            if stronger {
                known.begun = true;
                known.learned = crash.learned;
            }
            return stronger;
        }
        if self.crashes.len() == MAX_CRASHES {
            self.remove_closest();
        }
        let index = self.crashes.partition_point(|known| known.at <= crash.at);
        self.crashes.insert(index, crash);
        true
    }
}

#[derive(Clone, Copy, Debug)]
struct Answered {
    /// When the latest good answer began.
    began: Time,
    /// When that answer became news; none if the section has no crashes.
    news: Option<Time>,
}

#[derive(Clone, Copy, Debug)]
struct Hold {
    /// Last crash before it was held; an answer that began later releases it.
    since: Time,
    asked: Time,
    trials: u8,
}

impl Hold {
    fn next_trial(&self) -> Time {
        self.since + FIRST_TRIAL * TRIAL_FACTOR.pow(u32::from(self.trials.min(MAX_TRIAL_EXPONENT)))
    }
}

/// The evidence on all sections, and the sections that are held.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    suspects: HashMap<u64, Suspect>,
    answered: HashMap<u64, Answered>,
    held: HashMap<u64, Hold>,
    /// Rotates the held sections over digests.
    digests: usize,
    expired_at: Time,
}

impl Quarantine {
    /// Decides whether a call with the given shared sections may be sent. `is_home` tells whether
    /// this VM sends the trials of a section.
    pub fn check(
        &mut self,
        now: Time,
        sections: impl Iterator<Item = u64>,
        is_home: impl Fn(u64) -> bool,
    ) -> Passage {
        if self.held.is_empty() {
            return Passage::Free;
        }
        let mut passage = Passage::Free;
        for section in sections {
            let Some(hold) = self.held.get_mut(&section) else {
                continue;
            };
            hold.asked = now;
            let next_trial = hold.next_trial();
            if now < next_trial || !is_home(section) || passage != Passage::Free {
                let retry_after = next_trial.since(now).max(UNKNOWN_SPAN);
                return Passage::Held {
                    section,
                    retry_after,
                };
            }
            passage = Passage::Trial(section);
        }
        if let Passage::Trial(section) = passage
            && let Some(hold) = self.held.get_mut(&section)
        {
            hold.trials = hold.trials.saturating_add(1);
        }
        passage
    }

    /// Whether a section of a call is held, without counting the call.
    pub fn is_held(&self, mut sections: impl Iterator<Item = u64>) -> Option<u64> {
        sections.find(|section| self.held.contains_key(section))
    }

    /// Records a call that was cut by a crash of its endpoint.
    pub fn record_crash(&mut self, now: Time, cut: &CutCall) -> Vec<HoldChange> {
        for (depth, section) in cut.sections.iter().enumerate() {
            let crash = Crash {
                endpoint: cut.endpoint,
                at: cut.at,
                begun: cut.begun,
                explained: false,
                learned: now,
            };
            self.add_crash(*section, depth.min(usize::from(u8::MAX)) as u8, crash);
        }
        self.hold_convicted(now)
    }

    /// Records that an answer that began at `began` was written well on all its sections.
    pub fn record_answer(
        &mut self,
        now: Time,
        began: Time,
        sections: impl Iterator<Item = u64>,
    ) -> Vec<HoldChange> {
        sections
            .filter_map(|section| self.add_answer(now, section, began))
            .collect()
    }

    /// What to tell other VMs.
    pub fn digest(&mut self, now: Time) -> QuarantineDigest {
        let age = |at: Time| now.since(at).as_millis().min(u128::from(u32::MAX)) as u32;
        let is_news = |learned: Time| now.since(learned) < NEWS_TIME;
        let mut crashes: Vec<(u32, Time, CrashRecord)> = Vec::new();
        for (section, suspect) in &self.suspects {
            let weight = suspect.weight();
            let news = suspect
                .crashes
                .iter()
                .filter(|crash| is_news(crash.learned));
            crashes.extend(news.map(|crash| {
                let Crash {
                    endpoint,
                    at,
                    begun,
                    learned,
                    ..
                } = *crash;
                let record = CrashRecord(*section, endpoint, age(at), begun, suspect.depth);
                (weight, learned, record)
            }));
        }
        // The sections with the most evidence first, so that a limit leaves out bystanders.
        crashes.sort_unstable_by_key(|(weight, learned, record)| {
            (Reverse(*weight), Reverse(*learned), record.0)
        });
        crashes.truncate(MAX_RECORDS);
        let mut answers: Vec<(Time, AnswerRecord)> = self
            .answered
            .iter()
            .filter_map(|(section, answered)| {
                let news = answered.news.filter(|news| is_news(*news))?;
                Some((news, AnswerRecord(*section, age(answered.began))))
            })
            .collect();
        answers.sort_unstable_by_key(|(news, record)| (Reverse(*news), record.0));
        answers.truncate(MAX_RECORDS);
        let mut holds: Vec<HoldRecord> = self
            .held
            .iter()
            .map(|(section, hold)| {
                HoldRecord(*section, age(hold.since), age(hold.asked), hold.trials)
            })
            .collect();
        holds.sort_unstable_by_key(|record| record.0);
        if !holds.is_empty() {
            let start = self.digests * MAX_RECORDS % holds.len();
            holds.rotate_left(start);
            holds.truncate(MAX_RECORDS);
        }
        self.digests = self.digests.wrapping_add(1);
        QuarantineDigest {
            crashes: crashes.into_iter().map(|(_, _, record)| record).collect(),
            answers: answers.into_iter().map(|(_, record)| record).collect(),
            holds,
        }
    }

    /// Merges what another VM told; returns whether anything was new, and the changes of held
    /// sections.
    pub fn merge(&mut self, now: Time, digest: &QuarantineDigest) -> (bool, Vec<HoldChange>) {
        let at = |age: u32| Time(now.0.saturating_sub(u64::from(age) * 1_000));
        let mut is_new = false;
        let mut changes = Vec::new();
        for AnswerRecord(section, age) in &digest.answers {
            let began = at(*age);
            let known = self.answered.get(section);
            // The transit adds to the age, so a record that comes back must not count as a later
            // answer.
            if known.is_none_or(|known| began > known.began + ANSWER_NEWS_STEP) {
                is_new = true;
                changes.extend(self.add_answer(now, *section, began));
            }
        }
        for CrashRecord(section, endpoint, age, begun, depth) in &digest.crashes {
            let crash = Crash {
                endpoint: *endpoint,
                at: at(*age),
                begun: *begun,
                explained: false,
                learned: now,
            };
            is_new |= self.add_crash(*section, *depth, crash);
        }
        for HoldRecord(section, age, idle, trials) in &digest.holds {
            let hold = Hold {
                since: at(*age),
                asked: at(*idle),
                trials: *trials,
            };
            let change = self.add_hold(now, *section, hold);
            is_new |= change.is_some();
            changes.extend(change);
        }
        changes.extend(self.hold_convicted(now));
        (is_new, changes)
    }

    /// Removes what has expired; does nothing if called again soon.
    pub fn expire(&mut self, now: Time) {
        if now.since(self.expired_at) < EXPIRY_INTERVAL {
            return;
        }
        self.expired_at = now;
        for suspect in self.suspects.values_mut() {
            suspect
                .crashes
                .retain(|crash| now.since(crash.at) < CRASH_TTL);
        }
        self.suspects
            .retain(|_, suspect| !suspect.crashes.is_empty());
        self.answered
            .retain(|_, answered| now.since(answered.began) < ANSWER_TTL);
        self.held
            .retain(|_, hold| now.since(hold.asked) < HOLD_IDLE_TTL);
    }

    /// Held sections for the platform, in the order of their identifiers; `unix_ms` is the current
    /// Unix time in milliseconds.
    pub fn held_sections(&self, now: Time, unix_ms: u64) -> Vec<HeldSection> {
        let at = |time: Time| unix_ms.saturating_sub(now.since(time).as_millis() as u64);
        let sections = self.held.iter().map(|(section, hold)| HeldSection {
            section: *section,
            since_ms: at(hold.since),
            asked_ms: at(hold.asked),
            trials: hold.trials,
        });
        let mut sections: Vec<HeldSection> = sections.collect();
        sections.sort_unstable_by_key(|held| held.section);
        sections
    }

    /// Takes in held sections that were read from the platform.
    pub fn restore(
        &mut self,
        now: Time,
        unix_ms: u64,
        sections: &[HeldSection],
    ) -> Vec<HoldChange> {
        let at = |millis: u64| now - Duration::from_millis(unix_ms.saturating_sub(millis));
        let holds = sections.iter().filter_map(|held| {
            let hold = Hold {
                since: at(held.since_ms),
                asked: at(held.asked_ms),
                trials: held.trials,
            };
            self.add_hold(now, held.section, hold)
        });
        holds.collect()
    }

    /// Number of held sections.
    pub fn held_count(&self) -> usize {
        self.held.len()
    }

    /// Adds a crash of a section; returns whether it is new.
    fn add_crash(&mut self, section: u64, depth: u8, mut crash: Crash) -> bool {
        let cleared = self
            .answered
            .get(&section)
            .is_some_and(|answered| answered.began > crash.at);
        if cleared {
            return false;
        }
        let is_held = self.held.contains_key(&section);
        crash.explained = !is_held && self.is_explained(crash);
        if !self.suspects.contains_key(&section) && self.suspects.len() >= MAX_SUSPECTS {
            self.remove_weakest();
        }
        let suspect = self.suspects.entry(section).or_default();
        suspect.depth = suspect.depth.max(depth);
        let added = suspect.add(crash);
        if added && is_held {
            self.mark_explained(section);
        }
        added
    }

    /// Removes the section with the least evidence, the oldest one first.
    fn remove_weakest(&mut self) {
        let strength = |suspect: &Suspect| {
            let last = suspect.crashes.last().map(|crash| crash.at);
            (suspect.weight(), last)
        };
        let weakest = self
            .suspects
            .iter()
            .filter(|(section, _)| !self.held.contains_key(section))
            .min_by_key(|(section, suspect)| (strength(suspect), **section))
            .map(|(section, _)| *section);
        if let Some(section) = weakest {
            self.suspects.remove(&section);
        }
    }

    /// Whether a held section was on the endpoint that crashed.
    fn is_explained(&self, crash: Crash) -> bool {
        let mut held = self.held.keys().filter_map(|held| self.suspects.get(held));
        held.any(|suspect| {
            let mut crashes = suspect.crashes.iter();
            crashes.any(|known| known.is_same(crash.endpoint, crash.at))
        })
    }

    /// Marks the crashes that a held section explains at all sections that aren't held.
    fn mark_explained(&mut self, held: u64) {
        let Some(known) = self.suspects.get(&held).map(|held| held.crashes.clone()) else {
            return;
        };
        let is_explained =
            |crash: &Crash| known.iter().any(|k| k.is_same(crash.endpoint, crash.at));
        for (section, suspect) in &mut self.suspects {
            if !self.held.contains_key(section) {
                let crashes = suspect.crashes.iter_mut();
                crashes
                    .filter(|crash| is_explained(crash))
                    .for_each(|crash| crash.explained = true);
            }
        }
    }

    /// Adds an answer on a section, which clears the crashes before it began.
    fn add_answer(&mut self, now: Time, section: u64, began: Time) -> Option<HoldChange> {
        let suspected = self.suspects.contains_key(&section) || self.held.contains_key(&section);
        let has_room = suspected || self.answered.len() < MAX_ANSWERED;
        if now.since(began) >= ANSWER_TTL || !has_room && !self.answered.contains_key(&section) {
            return None;
        }
        let answered = self
            .answered
            .entry(section)
            .or_insert(Answered { began, news: None });
        let advanced = began.since(answered.began) >= ANSWER_NEWS_STEP;
        if suspected && (answered.news.is_none() || advanced) {
            answered.news = Some(now);
        }
        answered.began = answered.began.max(began);
        let began = answered.began;
        if let Some(suspect) = self.suspects.get_mut(&section) {
            suspect.crashes.retain(|crash| crash.at >= began);
        }
        let released = self
            .held
            .get(&section)
            .is_some_and(|hold| began > hold.since);
        released.then(|| {
            self.held.remove(&section);
            HoldChange::Released { section }
        })
    }

    /// Adds a section that another VM holds.
    fn add_hold(&mut self, now: Time, section: u64, hold: Hold) -> Option<HoldChange> {
        let convicted = self
            .suspects
            .get(&section)
            .is_some_and(|suspect| self.is_convicted(section, suspect));
        if let Some(answered) = self.answered.get_mut(&section)
            && (answered.began > hold.since || !convicted)
        {
            // The other VM has not heard of the answer.
            answered.news = Some(now);
            return None;
        }
        if now.since(hold.asked) >= HOLD_IDLE_TTL {
            return None;
        }
        if let Some(known) = self.held.get_mut(&section) {
            known.since = known.since.min(hold.since);
            known.asked = known.asked.max(hold.asked);
            known.trials = known.trials.max(hold.trials);
            return None;
        }
        if self.held.len() >= MAX_HELD {
            return None;
        }
        self.held.insert(section, hold);
        self.mark_explained(section);
        let crashes = self.suspects.get(&section);
        Some(HoldChange::Held {
            section,
            crashes: crashes.map_or(0, |suspect| suspect.crashes.len()),
            remote: true,
        })
    }

    /// Holds the sections whose evidence suffices, one at a time: each one explains crashes.
    fn hold_convicted(&mut self, now: Time) -> Vec<HoldChange> {
        let mut changes = Vec::new();
        while self.held.len() < MAX_HELD {
            let convicted = self
                .suspects
                .iter()
                .filter(|(section, suspect)| {
                    !self.held.contains_key(section) && self.is_convicted(**section, suspect)
                })
                .max_by_key(|(section, suspect)| {
                    let unanswered = !self.answered.contains_key(section);
                    (unanswered, suspect.weight(), suspect.depth, **section)
                });
            let Some((&section, suspect)) = convicted else {
                break;
            };
            let crashes = suspect.crashes.len();
            let hold = Hold {
                since: suspect.crashes.last().map_or(now, |crash| crash.at),
                asked: now,
                trials: 0,
            };
            self.held.insert(section, hold);
            self.mark_explained(section);
            changes.push(HoldChange::Held {
                section,
                crashes,
                remote: false,
            });
        }
        changes
    }

    fn is_convicted(&self, section: u64, suspect: &Suspect) -> bool {
        let (limit, span) = if self.answered.contains_key(&section) {
            (ANSWERED_LIMIT, ANSWERED_SPAN)
        } else {
            (UNKNOWN_LIMIT, UNKNOWN_SPAN)
        };
        let weight = suspect.weight();
        weight >= limit
            && suspect.span() >= span
            && (suspect.has_two_endpoints() || weight >= 2 * limit)
    }
}
