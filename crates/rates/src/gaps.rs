//! Typical pause between the events of one stream.

use core::time::Duration;
use poplarswitch_entity::Time;

/// Number of pauses from which a stream shows the speed of its engine.
const MIN_GAPS: usize = 8;
/// Number of pauses that are kept of a stream.
const MAX_GAPS: usize = 32;

/// Records when the events of a stream arrive.
#[derive(Clone, Debug, Default)]
pub struct GapRecorder {
    last: Option<Time>,
    gaps: Vec<u32>,
}

impl GapRecorder {
    /// Records the arrival of an event.
    pub fn record(&mut self, now: Time) {
        if let Some(last) = self.last.replace(now)
            && self.gaps.len() < MAX_GAPS
        {
            let gap = now.since(last).as_micros();
            self.gaps.push(u32::try_from(gap).unwrap_or(u32::MAX));
        }
    }

    /// The median pause, which single long prompts beside the stream don't move; none of a short
    /// stream.
    pub fn median(&mut self) -> Option<Duration> {
        if self.gaps.len() < MIN_GAPS {
            return None;
        }
        let middle = self.gaps.len() / 2;
        let (_, median, _) = self.gaps.select_nth_unstable(middle);
        Some(Duration::from_micros(u64::from(*median)))
    }
}
