//! Crashes of a subject as they bear on its trials: the operators' rules count the sends of a subject from
//! the time that it has crashed a number of endpoints.

use super::{Quarantine, Subject};
use core::time::Duration;
use poplarswitch_entity::Time;

/// Time after the third crash in which trials are not counted; shorter than the time within which all
/// VMs in touch have to know of a subject.
pub(super) const EARLY_TIME: Duration = Duration::from_millis(2_500);
/// Time after the third crash from which further crashes count as trials.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Crashes of a subject as they bear on its trials.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct History {
    /// When it was the third endpoint that crashed, or the fifth one of a section.
    pub(super) known: Option<Time>,
    /// Crashes later than [`CONTACT_TIME`] after that.
    pub(super) late: u8,
}

impl History {
    fn new(subject: Subject, crashes: &[Time]) -> Self {
        let known = crashes.get(subject.known_crashes() - 1).copied();
        let late = known.map_or(0, |known| {
            let late = crashes.iter().filter(|at| **at > known + CONTACT_TIME);
            late.count()
        });
        Self {
            known,
            late: late.min(usize::from(u8::MAX)) as u8,
        }
    }

    pub(super) fn is_early(&self, now: Time) -> bool {
        self.known.is_none_or(|known| now < known + EARLY_TIME)
    }
}

impl Quarantine {
    /// The crashes of a subject, and those of a request that answers have cleared lately.
    pub(super) fn history(&self, subject: Subject) -> History {
        let suspect = self.suspects.get(&subject);
        let crashes = suspect.into_iter().flat_map(|suspect| &suspect.crashes);
        let crashes = crashes.map(|crash| crash.at);
        let cleared = self.cleared.get(&subject).into_iter().flatten().copied();
        let mut crashes: Vec<Time> = cleared.chain(crashes).collect();
        crashes.sort_unstable();
        History::new(subject, &crashes)
    }
}
