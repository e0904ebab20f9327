//! Merge of the recordings of many processes into one timeline.

use crate::{Event, Recording};
use poplarswitch_entity::{Incarnation, VmName};
use serde::{Deserialize, Serialize};

/// Events that a process dropped before its recording was fetched.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gap {
    /// VM of the process.
    pub vm: VmName,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// Number of dropped events.
    pub lost: u64,
}

/// Events of many processes in the order of their stamps.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Timeline {
    /// Events in order.
    pub events: Vec<Event>,
    /// Gaps in the recordings, by VM and incarnation.
    pub gaps: Vec<Gap>,
}

/// Merges recordings; one that was fetched twice or in overlapping pages counts once.
pub fn merge(recordings: impl IntoIterator<Item = Recording>) -> Timeline {
    let mut timeline = Timeline::default();
    for recording in recordings {
        timeline.add_gap(&recording);
        timeline.events.extend(recording.events);
    }
    timeline
        .events
        .sort_by(|a, b| sort_key(a).cmp(&sort_key(b)));
    timeline.events.dedup_by(|a, b| sort_key(a) == sort_key(b));
    timeline
        .gaps
        .sort_by(|a, b| (&a.vm, a.incarnation).cmp(&(&b.vm, b.incarnation)));
    timeline
}

/// Sort key of an event; it is unique, as the stamps of one incarnation are unique.
const fn sort_key(event: &Event) -> (crate::Stamp, &VmName, Incarnation) {
    (event.at, &event.vm, event.incarnation)
}

impl Timeline {
    fn add_gap(&mut self, recording: &Recording) {
        if recording.lost == 0 {
            return;
        }
        let known = self
            .gaps
            .iter_mut()
            .find(|gap| gap.vm == recording.vm && gap.incarnation == recording.incarnation);
        if let Some(gap) = known {
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
