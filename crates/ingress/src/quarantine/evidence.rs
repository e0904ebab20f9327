//! Evidence on subjects: crashes of endpoints against them, and answers that clear them. Decides whether
//! the evidence suffices to hold a subject.

use super::{HoldChange, Quarantine, Subject};
use core::time::Duration;
use poplarswitch_entity::Time;

/// Crashes within this time have one cause and count once for each section.
const CLUSTER_TIME: Duration = Duration::from_millis(60);
/// Reports of a crash of the same endpoint within this time are of the same crash.
const SAME_CRASH_TIME: Duration = Duration::from_secs(1);
/// Weight of a crash while an answer had begun.
const BEGUN_WEIGHT: u32 = 2;
/// Weight of a crash before an answer had begun, since the call may have waited for others, and of
/// one that a held section explains, unless the section was answered recently.
const WEAK_WEIGHT: u32 = 1;
/// Weight of crashes from which a section is held that has not been answered recently.
const UNKNOWN_LIMIT: u32 = 8;
/// Weight of crashes from which a section is held that has been answered recently.
const ANSWERED_LIMIT: u32 = 14;
/// Weight of crashes from which a section is held that has been answered recently, but not within
/// [`ANSWERED_SECTION_DELAY`] after them; calls with it may be rare.
const UNANSWERED_LIMIT: u32 = 10;
/// Time after these crashes in which an answer may clear the section.
const ANSWERED_SECTION_DELAY: Duration = Duration::from_millis(2_500);
/// Time over which the crashes of a section with recent answers must be spread.
const ANSWERED_SPAN: Duration = Duration::from_secs(3);
/// Time over which the crashes of a section without recent answers must be spread, so that an answer
/// that began between them can clear it.
const UNKNOWN_SPAN: Duration = Duration::from_secs(1);
/// Crashes from which a request is held that has not been answered recently; most services have few
/// endpoints.
pub(super) const REQUEST_LIMIT: u32 = 2;
/// Crashes from which a request is held that has a prompt or was answered recently; engines are many,
/// and their calls run long enough to be cut more than once.
const SAFE_REQUEST_LIMIT: u32 = 3;
/// Time after the crashes of a request with recent answers in which another one may clear it before it
/// is held; VMs still have time to learn of the hold then.
const ANSWERED_DELAY: Duration = Duration::from_millis(1_500);
/// Time for which a crash that an answer cleared bears on trials: the answer may have begun before the
/// request turned bad.
const CLEARED_TTL: Duration = Duration::from_secs(10);
/// Depth of a request that has a prompt.
pub(super) const PROMPT_DEPTH: u8 = 1;
/// Maximum number of crashes that are kept for each subject.
const MAX_CRASHES: usize = 32;
/// Maximum number of subjects with crashes that are kept.
const MAX_SUSPECTS: usize = 512;
/// Maximum number of subjects whose answers are kept.
const MAX_ANSWERED: usize = 4_096;
/// Share of the answers that make room for new ones: one in this many.
const EVICTED_SHARE: usize = 4;
/// Minimum progress between two answers on a subject that are both news.
pub(super) const ANSWER_NEWS_STEP: Duration = Duration::from_millis(500);
/// The same for an answer that clears a crash; longer than it takes a record to come back.
pub(super) const CLEARING_NEWS_STEP: Duration = Duration::from_millis(100);
/// Time for which an answer counts as recent.
pub(super) const ANSWER_TTL: Duration = Duration::from_mins(1);

/// Circumstances that determine the weight of crashes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Section,
    /// A section that was answered recently.
    AnsweredSection,
    Request,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct Crash {
    pub(super) endpoint: u32,
    pub(super) at: Time,
    pub(super) begun: bool,
    /// Whether a section that is held was on the endpoint too.
    pub(super) explained: bool,
    pub(super) learned: Time,
}

impl Crash {
    const fn weight(&self, kind: Kind) -> u32 {
        match (kind, self.begun, self.explained) {
            (Kind::Request | Kind::AnsweredSection, _, true) | (Kind::Section, false, true) => 0,
            (Kind::Request, _, false) => 1,
            (Kind::Section | Kind::AnsweredSection, true, false) => BEGUN_WEIGHT,
            (Kind::Section, true, true) | (Kind::Section | Kind::AnsweredSection, false, false) => {
                WEAK_WEIGHT
            }
        }
    }

    pub(super) fn is_same(&self, endpoint: u32, at: Time) -> bool {
        let distance = self.at.since(at).max(at.since(self.at));
        self.endpoint == endpoint && distance < SAME_CRASH_TIME
    }
}

/// Weight of crashes from which a subject is held, the time over which they must be spread, and the
/// time after them.
#[derive(Clone, Copy, Debug)]
struct Threshold {
    weight: u32,
    span: Duration,
    delay: Duration,
}

impl Threshold {
    const fn new(weight: u32, span: Duration, delay: Duration) -> Self {
        Self {
            weight,
            span,
            delay,
        }
    }
}

#[derive(Clone, Debug, Default)]
pub(super) struct Suspect {
    /// In the order of their times.
    pub(super) crashes: Vec<Crash>,
    /// Position of a section in its prompt; of a request, whether it has a prompt.
    pub(super) depth: u8,
}

impl Suspect {
    /// Weight of the crashes. Against a section, those within [`CLUSTER_TIME`] count once; a sound
    /// request is released by its first trial if they had another cause.
    fn weight(&self, kind: Kind) -> u32 {
        if kind == Kind::Request {
            return self.crashes.iter().map(|crash| crash.weight(kind)).sum();
        }
        let mut weight = 0;
        let mut cluster: Option<(Time, u32)> = None;
        for crash in &self.crashes {
            let own = crash.weight(kind);
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

    fn has(&self, crash: &Crash) -> bool {
        let mut crashes = self.crashes.iter();
        crashes.any(|known| known.is_same(crash.endpoint, crash.at))
    }

    pub(super) fn has_crash_before(&self, at: Time) -> bool {
        self.crashes.first().is_some_and(|crash| crash.at < at)
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
pub(super) struct Answered {
    /// When the latest good answer began.
    pub(super) began: Time,
    /// When that answer became news; none if the subject has no crashes.
    pub(super) news: Option<Time>,
}

impl Quarantine {
    /// Adds a crash of a subject; returns whether it is new.
    pub(super) fn add_crash(&mut self, subject: Subject, depth: u8, mut crash: Crash) -> bool {
        if let Some(answered) = self.answered.get_mut(&subject) {
            // The VM that told of the crash doesn't know of the answer.
            let is_news = answered
                .news
                .is_none_or(|news| crash.learned > news + ANSWER_NEWS_STEP);
            if is_news {
                answered.news = Some(crash.learned);
            }
            if answered.began > crash.at {
                return false;
            }
        }
        let is_held = self.held.contains_key(&subject);
        crash.explained = !is_held && self.is_explained(subject, crash);
        if !self.suspects.contains_key(&subject) && self.suspects.len() >= MAX_SUSPECTS {
            self.remove_weakest();
        }
        let suspect = self.suspects.entry(subject).or_default();
        suspect.depth = suspect.depth.max(depth);
        let added = suspect.add(crash);
        self.last_crash = self.last_crash.max(crash.at);
        if added && is_held {
            self.mark_explained(subject);
        }
        added
    }

    /// Removes the subject with the least evidence, the oldest one first.
    fn remove_weakest(&mut self) {
        let strength = |subject: Subject, suspect: &Suspect| {
            let last = suspect.crashes.last().map(|crash| crash.at);
            (self.strength(subject, suspect), last)
        };
        let weakest = self
            .suspects
            .iter()
            .filter(|(subject, _)| !self.held.contains_key(subject))
            .min_by_key(|(subject, suspect)| (strength(**subject, suspect), **subject))
            .map(|(subject, _)| *subject);
        if let Some(subject) = weakest {
            self.suspects.remove(&subject);
        }
    }

    /// Whether a held subject was on the endpoint that crashed.
    fn is_explained(&self, subject: Subject, crash: Crash) -> bool {
        let held = self.held.keys().filter(|held| held.explains(subject));
        let mut held = held.filter_map(|held| self.suspects.get(held));
        held.any(|suspect| {
            let mut crashes = suspect.crashes.iter();
            crashes.any(|known| known.is_same(crash.endpoint, crash.at))
        })
    }

    /// Marks the crashes that a held subject explains at all subjects that aren't held.
    pub(super) fn mark_explained(&mut self, held: Subject) {
        let Some(known) = self.suspects.get(&held).map(|held| held.crashes.clone()) else {
            return;
        };
        let is_explained =
            |crash: &Crash| known.iter().any(|k| k.is_same(crash.endpoint, crash.at));
        for (subject, suspect) in &mut self.suspects {
            if !self.held.contains_key(subject) && held.explains(*subject) {
                let crashes = suspect.crashes.iter_mut();
                crashes
                    .filter(|crash| is_explained(crash))
                    .for_each(|crash| crash.explained = true);
            }
        }
    }

    /// Adds an answer on a subject, which clears the crashes before it began.
    pub(super) fn add_answer(
        &mut self,
        now: Time,
        subject: Subject,
        began: Time,
    ) -> Option<HoldChange> {
        let suspected = self.suspects.contains_key(&subject) || self.held.contains_key(&subject);
        if now.since(began) >= ANSWER_TTL {
            return None;
        }
        if self.answered.len() >= MAX_ANSWERED && !self.answered.contains_key(&subject) {
            self.evict_answers();
        }
        let answered = self
            .answered
            .entry(subject)
            .or_insert(Answered { began, news: None });
        // Others may hold the subject for crashes that this answer clears.
        let clears = self
            .suspects
            .get(&subject)
            .is_some_and(|suspect| suspect.has_crash_before(began));
        let advanced = clears || began.since(answered.began) >= ANSWER_NEWS_STEP;
        if suspected && (answered.news.is_none() || advanced) {
            answered.news = Some(now);
        }
        answered.began = answered.began.max(began);
        let began = answered.began;
        if let Some(suspect) = self.suspects.get_mut(&subject) {
            let cleared = suspect.crashes.extract_if(.., |crash| crash.at < began);
            let cleared: Vec<Time> = cleared.map(|crash| crash.at).collect();
            self.keep_cleared(subject, &cleared);
        }
        // An answer from before a trial was cut comes again with each message of a VM that knows it.
        let last_crash = self.last_crash_of(subject);
        let released = self
            .held
            .get(&subject)
            .is_some_and(|hold| began > hold.since.max(last_crash));
        released.then(|| {
            self.held.remove(&subject);
            HoldChange::Released { subject }
        })
    }

    /// Time of the last known crash of a subject; zero without any.
    pub(super) fn last_crash_of(&self, subject: Subject) -> Time {
        let suspect = self.suspects.get(&subject);
        let last = suspect.and_then(|suspect| suspect.crashes.last());
        last.map_or(Time::ZERO, |crash| crash.at)
    }

    fn keep_cleared(&mut self, subject: Subject, crashes: &[Time]) {
        let has_room = self.cleared.len() < MAX_SUSPECTS;
        if !matches!(subject, Subject::Request(_)) || crashes.is_empty() || !has_room {
            return;
        }
        let known = self.cleared.entry(subject).or_default();
        known.extend(crashes);
        known.sort_unstable();
        known.truncate(MAX_CRASHES);
    }

    /// Forgets cleared crashes that don't bear on trials any more.
    pub(super) fn expire_cleared(&mut self, now: Time) {
        self.cleared.retain(|_, crashes| {
            crashes.retain(|at| now.since(*at) < CLEARED_TTL);
            !crashes.is_empty()
        });
    }

    /// Removes the oldest answers.
    fn evict_answers(&mut self) {
        let mut times: Vec<Time> = self.answered.values().map(|a| a.began).collect();
        let index = times.len() / EVICTED_SHARE;
        let (_, limit, _) = times.select_nth_unstable(index);
        let limit = *limit;
        self.answered.retain(|_, answered| answered.began > limit);
    }

    fn kind(&self, subject: Subject) -> Kind {
        match subject {
            Subject::Request(_) => Kind::Request,
            Subject::Section(_) if self.answered.contains_key(&subject) => Kind::AnsweredSection,
            Subject::Section(_) => Kind::Section,
        }
    }

    /// Any of the thresholds suffices.
    fn thresholds(&self, subject: Subject, suspect: &Suspect) -> [Option<Threshold>; 2] {
        let is_answered = self.answered.contains_key(&subject);
        let request_limit = if is_answered || suspect.depth >= PROMPT_DEPTH {
            SAFE_REQUEST_LIMIT
        } else {
            REQUEST_LIMIT
        };
        match (subject, is_answered) {
            (Subject::Section(_), false) => [
                Some(Threshold::new(UNKNOWN_LIMIT, UNKNOWN_SPAN, Duration::ZERO)),
                None,
            ],
            (Subject::Section(_), true) => [
                Some(Threshold::new(
                    ANSWERED_LIMIT,
                    ANSWERED_SPAN,
                    Duration::ZERO,
                )),
                Some(Threshold::new(
                    UNANSWERED_LIMIT,
                    ANSWERED_SPAN,
                    ANSWERED_SECTION_DELAY,
                )),
            ],
            (Subject::Request(_), false) => [
                Some(Threshold::new(
                    request_limit,
                    Duration::ZERO,
                    Duration::ZERO,
                )),
                None,
            ],
            (Subject::Request(_), true) => [
                Some(Threshold::new(
                    request_limit,
                    Duration::ZERO,
                    ANSWERED_DELAY,
                )),
                None,
            ],
        }
    }

    /// Weight of the crashes of a subject, in per cent of the weight from which it is held.
    pub(super) fn strength(&self, subject: Subject, suspect: &Suspect) -> u32 {
        let [threshold, _] = self.thresholds(subject, suspect);
        threshold.map_or(0, |threshold| {
            suspect.weight(self.kind(subject)) * 100 / threshold.weight
        })
    }

    pub(super) fn is_convicted(&self, now: Time, subject: Subject, suspect: &Suspect) -> bool {
        let unexplained = self.unexplained(subject, suspect);
        let suspect = unexplained.as_ref().unwrap_or(suspect);
        let thresholds = self.thresholds(subject, suspect).into_iter().flatten();
        let weight = suspect.weight(self.kind(subject));
        let known = suspect.crashes.get(subject.known_crashes() - 1);
        let known = known.map(|crash| crash.at);
        thresholds.into_iter().any(|threshold| {
            let Threshold {
                weight: limit,
                span,
                delay,
            } = threshold;
            // A section is on few engines if its sessions are, and these may crash by themselves.
            let is_spread = match subject {
                Subject::Section(_) => suspect.has_two_endpoints() || weight >= 2 * limit,
                Subject::Request(_) => true,
            };
            let is_due = delay.is_zero() || known.is_some_and(|known| now >= known + delay);
            weight >= limit && suspect.span() >= span && is_spread && is_due
        })
    }

    /// The crashes of a request with recent answers that no other request explains; none if all count.
    ///
    /// A held request without answers that has had a trial explains the crashes that it has in common
    /// with others, if it has one that they don't have: a bystander has none of its own, and is
    /// released by its trial.
    fn unexplained(&self, subject: Subject, suspect: &Suspect) -> Option<Suspect> {
        let is_answered = |subject: &Subject| self.answered.contains_key(subject);
        if !matches!(subject, Subject::Request(_)) || !is_answered(&subject) {
            return None;
        }
        let held = self.held.iter().filter(|(held, hold)| {
            held.is_same_kind(subject) && hold.trials > 0 && !is_answered(held)
        });
        let explaining: Vec<&Suspect> = held
            .filter_map(|(held, _)| self.suspects.get(held))
            .filter(|held| !held.crashes.iter().all(|crash| suspect.has(crash)))
            .collect();
        if explaining.is_empty() {
            return None;
        }
        let crashes = suspect.crashes.iter();
        let crashes = crashes.filter(|crash| !explaining.iter().any(|held| held.has(crash)));
        Some(Suspect {
            crashes: crashes.copied().collect(),
            depth: suspect.depth,
        })
    }

    pub(super) fn is_suspect_convicted(&self, now: Time, subject: Subject) -> bool {
        let suspect = self.suspects.get(&subject);
        suspect.is_some_and(|suspect| self.is_convicted(now, subject, suspect))
    }
}
