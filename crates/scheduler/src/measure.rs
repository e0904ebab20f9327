//! Measures how long calls take, and which endpoints are slow.
//!
//! Endpoints are compared by the ratio of a measured time to its median for the class on the
//! route. The measured time is the time per token of a stream, or the duration of an answer
//! that arrives as a whole. The time to first output is not compared, because it depends on
//! the other prompts that the endpoint processes at that moment and on the prefixes in its
//! cache.

use crate::Scheduler;
use crate::call::{ActiveDispatch, State};
use core::time::Duration;
use poplarswitch_balance::Outcome;
use poplarswitch_entity::Time;
use poplarswitch_estimate::Profile;
use poplarswitch_queue::CallKey;

/// Tokens over which the time per token of a stream is measured.
pub(crate) const MIN_SAMPLE_TOKENS: u32 = 16;
/// Samples of a class on a route that are needed before calls are compared with the median.
const MIN_SAMPLES: u64 = 16;

impl Scheduler {
    /// Records the time to first output, and that the endpoint responded.
    pub(crate) fn measure_first_output(&mut self, now: Time, key: CallKey) {
        let call = self.table.get(key);
        let State::Dispatched(active) = &call.state else {
            return;
        };
        if covers_whole_call(active) {
            let profile = &mut self.registry.profiles[call.profile];
            profile.record_first_output(now.since(active.started));
        }
        if let Some(endpoint) = active.endpoint {
            self.balancer
                .record_outcome(now, endpoint, active.started, Outcome::Good);
        }
    }

    /// Records the time per token of a stream once `min_tokens` tokens have arrived since the
    /// last sample.
    pub(crate) fn measure_time_per_token(&mut self, now: Time, key: CallKey, min_tokens: u32) {
        let call = self.table.get_mut(key);
        let State::Dispatched(active) = &mut call.state else {
            return;
        };
        let Some((since, counted)) = active.last_sample else {
            return;
        };
        let tokens = active.tokens.saturating_sub(counted);
        if tokens < min_tokens.max(1) {
            return;
        }
        active.last_sample = Some((now, active.tokens));
        active.sampled = true;
        let (endpoint, started) = (active.endpoint, active.started);
        let time_per_token = now.since(since) / tokens;
        let profile = &mut self.registry.profiles[call.profile];
        let median = profile.time_per_token_median();
        let known = profile.time_per_token_count() >= MIN_SAMPLES;
        profile.record_time_per_token(time_per_token);
        if let (Some(endpoint), Some(median), true) = (endpoint, median, known) {
            self.balancer
                .record_slowness(now, endpoint, started, ratio(time_per_token, median));
        }
    }

    /// Records the duration of a complete answer, and the time per token of its last part.
    pub(crate) fn measure_answer(&mut self, now: Time, key: CallKey, tokens: u32) {
        let State::Dispatched(active) = &mut self.table.get_mut(key).state else {
            return;
        };
        active.tokens = active.tokens.max(tokens);
        let streamed = active.last_sample.is_some();
        if streamed {
            let min_tokens = if active.sampled { MIN_SAMPLE_TOKENS } else { 1 };
            self.measure_time_per_token(now, key, min_tokens);
        } else {
            self.measure_first_output(now, key);
        }
        let call = self.table.get(key);
        let State::Dispatched(active) = &call.state else {
            return;
        };
        if !covers_whole_call(active) {
            return;
        }
        let elapsed = now.since(active.started);
        let profile = &mut self.registry.profiles[call.profile];
        let median = reliable_median(profile).filter(|_| !streamed);
        profile.record_answer(elapsed, tokens);
        if let (Some(endpoint), Some(median)) = (active.endpoint, median) {
            self.balancer
                .record_slowness(now, endpoint, active.started, ratio(elapsed, median));
        }
    }
}

/// The median duration, if there are enough samples.
fn reliable_median(profile: &Profile) -> Option<Duration> {
    let known = profile.count() >= MIN_SAMPLES;
    profile.duration_median().filter(|_| known)
}

/// Whether a dispatch's times are those of a whole call, from a known start.
const fn covers_whole_call(active: &ActiveDispatch) -> bool {
    active.start_known && active.resume_offset == 0
}

fn ratio(value: Duration, median: Duration) -> f64 {
    value.as_secs_f64() / median.as_secs_f64().max(1e-6)
}
