//! Evidence on sections of prompts: crashes of engines against them, and answers that clear them. Decides
//! whether the evidence suffices to hold a section.

use super::{HoldChange, Quarantine};
use core::time::Duration;
use poplarswitch_entity::Time;

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
/// Time over which the crashes of a section with recent answers must be spread.
const ANSWERED_SPAN: Duration = Duration::from_secs(3);
/// Maximum number of crashes that are kept for each section.
const MAX_CRASHES: usize = 16;
/// Maximum number of sections with crashes that are kept.
const MAX_SUSPECTS: usize = 512;
/// Maximum number of sections whose answers are kept.
const MAX_ANSWERED: usize = 4_096;
/// Minimum progress between two answers on a section that are both news.
pub(super) const ANSWER_NEWS_STEP: Duration = Duration::from_millis(500);
/// Time over which the crashes of a section without recent answers must be spread, so that an answer
/// that began between them can clear it.
pub(super) const UNKNOWN_SPAN: Duration = Duration::from_secs(1);
/// Time for which an answer counts as recent.
pub(super) const ANSWER_TTL: Duration = Duration::from_mins(1);

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
    pub(super) const fn weight(&self) -> u32 {
        match (self.begun, self.explained) {
            (true, false) => BEGUN_WEIGHT,
            (true, true) | (false, false) => WEAK_WEIGHT,
            (false, true) => 0,
        }
    }

    pub(super) fn is_same(&self, endpoint: u32, at: Time) -> bool {
        let distance = self.at.since(at).max(at.since(self.at));
        self.endpoint == endpoint && distance < SAME_CRASH_TIME
    }
}

#[derive(Clone, Debug, Default)]
pub(super) struct Suspect {
    /// In the order of their times.
    pub(super) crashes: Vec<Crash>,
    pub(super) depth: u8,
}

impl Suspect {
    /// Weight of the crashes, of which those within [`CLUSTER_TIME`] count once.
    pub(super) fn weight(&self) -> u32 {
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

    pub(super) fn span(&self) -> Duration {
        match (self.crashes.first(), self.crashes.last()) {
            (Some(first), Some(last)) => last.at.since(first.at),
            _ => Duration::ZERO,
        }
    }

    pub(super) fn has_two_endpoints(&self) -> bool {
        let first = self.crashes.first().map(|crash| crash.endpoint);
        self.crashes
            .iter()
            .any(|crash| Some(crash.endpoint) != first)
    }

    /// Removes the crash that follows another one most closely, so that the span remains.
    pub(super) fn remove_closest(&mut self) {
        let gap = |index: &usize| self.crashes[*index].at.since(self.crashes[*index - 1].at);
        if let Some(index) = (1..self.crashes.len()).min_by_key(gap) {
            self.crashes.remove(index);
        }
    }

    /// Adds a crash, unless it is known; returns whether it was added.
    pub(super) fn add(&mut self, crash: Crash) -> bool {
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
    /// When that answer became news; none if the section has no crashes.
    pub(super) news: Option<Time>,
}

impl Quarantine {
    /// Adds a crash of a section; returns whether it is new.
    pub(super) fn add_crash(&mut self, section: u64, depth: u8, mut crash: Crash) -> bool {
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
    pub(super) fn remove_weakest(&mut self) {
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
    pub(super) fn is_explained(&self, crash: Crash) -> bool {
        let mut held = self.held.keys().filter_map(|held| self.suspects.get(held));
        held.any(|suspect| {
            let mut crashes = suspect.crashes.iter();
            crashes.any(|known| known.is_same(crash.endpoint, crash.at))
        })
    }

    /// Marks the crashes that a held section explains at all sections that aren't held.
    pub(super) fn mark_explained(&mut self, held: u64) {
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
    pub(super) fn add_answer(
        &mut self,
        now: Time,
        section: u64,
        began: Time,
    ) -> Option<HoldChange> {
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

    pub(super) fn is_convicted(&self, section: u64, suspect: &Suspect) -> bool {
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
