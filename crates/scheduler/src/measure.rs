//! Learns from output how long calls take, and which endpoints are slow.
//!
//! Endpoints are compared by their pace: the time per token of a stream, or the whole time
//! of an answer that comes at once, over the median of its class on its route. The time to
//! first output is no measure of an endpoint, because it depends on what other prompts it
//! reads at the moment and on which prefixes it holds.

use crate::Scheduler;
use crate::call::{ActiveDispatch, State};
use core::time::Duration;
use poplarswitch_balance::Outcome;
use poplarswitch_entity::Time;
use poplarswitch_estimate::Profile;
use poplarswitch_queue::CallKey;

/// Tokens over which a stream's pace is taken.
pub(crate) const MIN_SAMPLE_TOKENS: u32 = 16;
/// Samples of a class on a route before single calls are compared with the median.
const MIN_SAMPLES: u64 = 16;

impl Scheduler {
    /// Learns from the first output of a dispatch.
    pub(crate) fn measure_first_output(&mut self, now: Time, key: CallKey) {
        let call = self.table.get(key);
        let State::Dispatched(active) = &call.state else {
            return;
        };
        if covers_whole_call(active) {
            let profile = &mut self.registry.profiles[call.profile];
            profile.record_first(now.since(active.started));
        }
        if let Some(endpoint) = active.endpoint {
            self.balancer
                .judge(now, endpoint, active.started, Outcome::Good);
        }
    }

    /// Learns the pace of a stream each time that it has brought some more tokens.
    pub(crate) fn measure_time_per_token(&mut self, now: Time, key: CallKey, least: u32) {
        let call = self.table.get_mut(key);
        let State::Dispatched(active) = &mut call.state else {
            return;
        };
        let Some((since, seen)) = active.last_sample else {
            return;
        };
        let tokens = active.tokens.saturating_sub(seen);
        if tokens < least.max(1) {
            return;
        }
        active.last_sample = Some((now, active.tokens));
        active.sampled = true;
        let (endpoint, started) = (active.endpoint, active.started);
        let time_per_token = now.since(since) / tokens;
        let profile = &mut self.registry.profiles[call.profile];
        let median = profile.pace_median();
        let known = profile.pace_count() >= MIN_SAMPLES;
        profile.record_pace(time_per_token);
        if let (Some(endpoint), Some(median), true) = (endpoint, median, known) {
            self.balancer
                .measure(now, endpoint, started, ratio(time_per_token, median));
        }
    }

    /// Learns from a whole answer.
    pub(crate) fn measure_answer(&mut self, now: Time, key: CallKey, tokens: u32) {
        let State::Dispatched(active) = &mut self.table.get_mut(key).state else {
            return;
        };
        active.tokens = active.tokens.max(tokens);
        let streamed = active.last_sample.is_some();
        if streamed {
            let least = if active.sampled { MIN_SAMPLE_TOKENS } else { 1 };
            self.measure_time_per_token(now, key, least);
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
        let median = usual_duration(profile).filter(|_| !streamed);
        profile.record_answer(elapsed, tokens);
        if let (Some(endpoint), Some(median)) = (active.endpoint, median) {
            self.balancer
                .measure(now, endpoint, active.started, ratio(elapsed, median));
        }
    }
}

fn usual_duration(profile: &Profile) -> Option<Duration> {
    let known = profile.count() >= MIN_SAMPLES;
    profile.duration_median().filter(|_| known)
}

/// Whether a dispatch's times say what a whole call takes.
const fn covers_whole_call(active: &ActiveDispatch) -> bool {
    active.start_known && active.resume_offset == 0
}

fn ratio(value: Duration, median: Duration) -> f64 {
    value.as_secs_f64() / median.as_secs_f64().max(1e-6)
}
