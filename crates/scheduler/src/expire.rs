//! Ends queue waits that have reached the limit of the call's class.

use crate::{Output, RefusalReason, Scheduler};
use poplarswitch_entity::Time;

impl Scheduler {
    pub(crate) fn expire(&mut self, now: Time, out: &mut Vec<Output>) {
        while let Some((time, key)) = self.expiry.first().copied()
            && time <= now
        {
            self.dequeue(key);
            self.end_unanswered(now, key, RefusalReason::WaitExpired, out);
        }
    }
}
