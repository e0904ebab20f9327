//! The long poll of the head.

use crate::{Settings, head_key};
use core::time::Duration;
use poplarswitch_entity::Time;
use poplarswitch_store::{Reply, Request, RequestId, Version};
use rand::RngExt as _;
use rand_pcg::Pcg64Mcg;

/// Time after the end of a watch's wait at which the request times out.
const REPLY_MARGIN: Duration = Duration::from_secs(5);
/// Delay before the next poll if the last one ended sooner than this without a change of the head.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// The state of the long poll.
#[derive(Debug, Default)]
pub(crate) struct Watch {
    /// The outstanding poll and when it times out.
    pending: Option<(RequestId, Time)>,
    sent_at: Time,
    next_at: Time,
    /// The last version of the head that was read.
    version: Version,
    /// Failed polls since the last answer.
    failures: u32,
    answered: bool,
}

impl Watch {
    /// Whether the platform has ever answered a poll.
    pub(crate) const fn has_answered(&self) -> bool {
        self.answered
    }

    pub(crate) fn is_pending(&self, id: RequestId) -> bool {
        self.pending.is_some_and(|(pending, _)| pending == id)
    }

    pub(crate) fn is_due(&self, now: Time) -> bool {
        match self.pending {
            Some((_, deadline)) => now >= deadline,
            None => now >= self.next_at,
        }
    }

    pub(crate) fn next_wake(&self) -> Time {
        self.pending.map_or(self.next_at, |(_, deadline)| deadline)
    }

    pub(crate) fn poll(
        &mut self,
        now: Time,
        id: RequestId,
        settings: &Settings,
        rng: &mut Pcg64Mcg,
    ) -> Request {
        let wait = settings.watch_timeout * rng.random_range(750..=1_000) / 1_000;
        self.pending = Some((id, now + wait + REPLY_MARGIN));
        self.sent_at = now;
        Request::Watch {
            key: head_key(),
            after: self.version,
            wait,
        }
    }

    /// Processes the reply to the poll; returns whether the platform answered.
    pub(crate) fn handle_reply(
        &mut self,
        now: Time,
        reply: &Reply,
        settings: &Settings,
        rng: &mut Pcg64Mcg,
    ) -> bool {
        self.pending = None;
        match reply {
            Reply::Object(Some(object)) => {
                self.version = object.version;
                self.record_success(now);
            }
            Reply::Object(None) | Reply::Unchanged => {
                self.record_success(now);
                if now.since(self.sent_at) < MIN_POLL_INTERVAL {
                    self.next_at = now + MIN_POLL_INTERVAL;
                }
            }
            _ => {
                self.next_at = now + backoff(self.failures, reply, settings, rng);
                self.failures += 1;
                return false;
            }
        }
        true
    }

    fn record_success(&mut self, now: Time) {
        self.failures = 0;
        self.answered = true;
        self.next_at = now;
    }
}

/// The delay after a number of consecutive failures, with jitter.
pub(crate) fn backoff(
    failures: u32,
    reply: &Reply,
    settings: &Settings,
    rng: &mut Pcg64Mcg,
) -> Duration {
    let wait = settings.min_backoff * (1 << failures.min(8));
    let requested = match reply {
        Reply::Unavailable { retry_after } => *retry_after,
        _ => Duration::ZERO,
    };
    wait.max(requested).min(settings.max_backoff) * rng.random_range(500..=1_000) / 1_000
}
