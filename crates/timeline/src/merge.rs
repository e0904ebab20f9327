//! One ordered view of many recordings.

use crate::{Event, Recording};
use poplarswitch_entity::{Incarnation, VmName};
use serde::{Deserialize, Serialize};

/// Events that a process had dropped before it was asked.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gap {
    /// The VM.
    pub vm: VmName,
    /// The life of its process.
    pub incarnation: Incarnation,
    /// How many events.
    pub lost: u64,
}

/// Events of many processes in one order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Timeline {
    /// The events.
    pub events: Vec<Event>,
    /// What is missing.
    pub gaps: Vec<Gap>,
}

/// Merges recordings; a recording that was fetched twice, or in pages, counts once.
pub fn merge(recordings: impl IntoIterator<Item = Recording>) -> Timeline {
    let mut view = Timeline::default();
    for recording in recordings {
        view.add_gap(&recording);
        view.events.extend(recording.events);
    }
    view.events.sort_by(|a, b| order(a).cmp(&order(b)));
    view.events.dedup_by(|a, b| order(a) == order(b));
    view.gaps
        .sort_by(|a, b| (&a.vm, a.incarnation).cmp(&(&b.vm, b.incarnation)));
    view
}

/// Stamps are unique within one life of a process.
const fn order(event: &Event) -> (crate::Stamp, &VmName, Incarnation) {
    (event.at, &event.vm, event.incarnation)
}

impl Timeline {
    fn add_gap(&mut self, recording: &Recording) {
        if recording.lost == 0 {
            return;
        }
        let same = self
            .gaps
            .iter_mut()
            .find(|gap| gap.vm == recording.vm && gap.incarnation == recording.incarnation);
        if let Some(gap) = same {
            gap.lost = gap.lost.max(recording.lost);
            return;
        }
        self.gaps.push(Gap {
            vm: recording.vm.clone(),
            incarnation: recording.incarnation,
            lost: recording.lost,
        });
    }
}
