//! Held subjects: which ones are held next, and those that other VMs hold.

use super::{HoldChange, Quarantine, Subject, evidence::REQUEST_LIMIT};
use core::time::Duration;
use poplarswitch_entity::Time;

/// Maximum number of subjects of each kind that are held.
const MAX_HELD: usize = 256;
/// Time after which a held subject that no call has asked for is forgotten.
pub(super) const HOLD_IDLE_TTL: Duration = Duration::from_mins(30);

#[derive(Clone, Copy, Debug)]
pub(super) struct Hold {
    /// Last crash before it was held; an answer that began later releases it.
    pub(super) since: Time,
    pub(super) asked: Time,
    /// When this VM began to hold it.
    pub(super) learned: Time,
    /// Trials that count.
    pub(super) trials: u8,
    /// Trials within a short time after the third crash, at the home.
    pub(super) early: u8,
    pub(super) last_trial: Time,
    /// Trials that count though they showed nothing.
    pub(super) undecided: u8,
    /// Calls that asked for it since its last trial, at the home.
    pub(super) asks: u32,
    /// When a call last asked for it that has no other held subject, at the home.
    pub(super) alone: Time,
    /// Whether it was read from the platform, so that its crashes are not known.
    pub(super) restored: bool,
    /// Software version at the last trial; 0 if unknown.
    pub(super) version: u64,
    pub(super) running: Option<RunningTrial>,
    /// Until when this VM doesn't ask for a trial, and why.
    pub(super) pause: Option<(Time, Pause)>,
}

/// A granted trial, at the subject's home.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct RunningTrial {
    /// Other VM that asked, if any, and the asking VM's number of the trial.
    pub(super) key: (Option<u32>, u32),
    /// Another subject that it tries.
    pub(super) also: Option<Subject>,
    pub(super) service: u64,
    pub(super) granted: Time,
    /// The hold before the grant, which one that is not sent restores.
    pub(super) before: Granted,
}

/// What a grant changes of a hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Granted {
    pub(super) trials: u8,
    pub(super) early: u8,
    pub(super) last_trial: Time,
    pub(super) version: u64,
    pub(super) asks: u32,
}

/// Why a VM doesn't ask again yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Pause {
    /// A reply, or the outcome of a trial, is awaited.
    Outcome,
    /// The next trial is due then.
    Due(Time),
}

impl Hold {
    pub(super) const fn new(now: Time, since: Time, trials: u8) -> Self {
        Self {
            since,
            asked: now,
            learned: now,
            trials,
            early: 0,
            last_trial: since,
            undecided: 0,
            asks: 0,
            alone: Time::ZERO,
            restored: false,
            version: 0,
            running: None,
            pause: None,
        }
    }
}

impl Quarantine {
    /// Whether a subject of a call is held, without counting the call.
    pub fn is_held(&self, mut subjects: impl Iterator<Item = Subject>) -> Option<Subject> {
        subjects.find(|subject| self.held.contains_key(subject))
    }

    /// Adds a subject that another VM holds, unless it was answered here.
    pub(super) fn add_hold(
        &mut self,
        now: Time,
        subject: Subject,
        hold: Hold,
    ) -> Option<HoldChange> {
        let convicted = hold.trials > 0 || self.is_suspect_convicted(now, subject);
        if let Some(answered) = self.answered.get_mut(&subject)
            && (answered.began > hold.since || !convicted)
        {
            // The other VM has not heard of the answer.
            answered.news = Some(now);
            return None;
        }
        if now.since(hold.asked) >= HOLD_IDLE_TTL {
            return None;
        }
        self.insert_hold(subject, hold)
    }

    /// Inserts a hold, or merges it with the one that is known.
    pub(super) fn insert_hold(&mut self, subject: Subject, hold: Hold) -> Option<HoldChange> {
        if let Some(known) = self.held.get_mut(&subject) {
            known.since = known.since.min(hold.since);
            known.asked = known.asked.max(hold.asked);
            known.trials = known.trials.max(hold.trials);
            return None;
        }
        if !self.make_room(subject) {
            return None;
        }
        self.held.insert(subject, hold);
        self.mark_explained(subject);
        let crashes = self.suspects.get(&subject);
        Some(HoldChange::Held {
            subject,
            crashes: crashes.map_or(0, |suspect| suspect.crashes.len()),
            remote: true,
        })
    }

    /// Makes room for a hold of the same kind; returns whether there is any. Requests give way if they
    /// have had no trial, those first that no call has asked for lately.
    fn make_room(&mut self, subject: Subject) -> bool {
        let is_request = matches!(subject, Subject::Request(_));
        let same = self
            .held
            .iter()
            .filter(|(held, _)| held.is_same_kind(subject));
        if same.clone().count() < MAX_HELD {
            return true;
        }
        let idle = same
            .filter(|(_, hold)| is_request && hold.trials == 0)
            .min_by_key(|(held, hold)| (hold.asked, **held))
            .map(|(held, _)| *held);
        idle.is_some_and(|idle| {
            self.suspects.remove(&idle);
            self.held.remove(&idle).is_some()
        })
    }

    /// Holds the subjects whose evidence suffices, one at a time: each one explains crashes.
    pub(super) fn hold_convicted(&mut self, now: Time) -> Vec<HoldChange> {
        let mut changes = Vec::new();
        loop {
            let convicted = self
                .suspects
                .iter()
                .filter(|(subject, suspect)| {
                    // Most suspects have been on one endpoint that crashed.
                    suspect.crashes.len() >= REQUEST_LIMIT as usize
                        && !self.held.contains_key(subject)
                        && self.is_convicted(now, **subject, suspect)
                })
                .max_by_key(|(subject, suspect)| {
                    let unanswered = !self.answered.contains_key(subject);
                    let strength = self.strength(**subject, suspect);
                    (unanswered, strength, suspect.depth, **subject)
                });
            let Some((&subject, suspect)) = convicted else {
                break;
            };
            let crashes = suspect.crashes.len();
            let since = suspect.crashes.last().map_or(now, |crash| crash.at);
            if !self.make_room(subject) {
                break;
            }
            self.held.insert(subject, Hold::new(now, since, 0));
            self.mark_explained(subject);
            changes.push(HoldChange::Held {
                subject,
                crashes,
                remote: false,
            });
        }
        changes
    }

    /// Releases the subjects that this VM would no longer hold now that it knows of their answers,
    /// and that have had no trial.
    pub(super) fn release_cleared(&mut self, now: Time) -> Vec<HoldChange> {
        let cleared = self.held.iter().filter(|(subject, hold)| {
            hold.trials == 0
                && self.answered.contains_key(subject)
                && self.suspects.contains_key(subject)
                && !self.is_suspect_convicted(now, **subject)
        });
        let cleared: Vec<Subject> = cleared.map(|(subject, _)| *subject).collect();
        let release = |subject| {
            self.held.remove(&subject);
            HoldChange::Released { subject }
        };
        cleared.into_iter().map(release).collect()
    }
}
