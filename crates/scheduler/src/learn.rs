//! Learns from output how long calls take, and which endpoints are slow.
//!
//! Endpoints are compared by their pace: the time per token of a stream, or the whole time
//! of an answer that comes at once, over the median of its class on its route. The time to
//! first output is no measure of an endpoint, because it depends on what other prompts it
//! reads at the moment and on which prefixes it holds.

use crate::Scheduler;
use crate::call::{Flight, State};
use core::time::Duration;
use poplarswitch_balance::Outcome;
use poplarswitch_entity::Time;
use poplarswitch_estimate::Profile;
use poplarswitch_queue::CallKey;

/// Tokens over which a stream's pace is taken.
pub(crate) const PACE_TOKENS: u32 = 16;
/// Samples of a class on a route before single calls are compared with the median.
const MIN_SAMPLES: u64 = 16;

impl Scheduler {
    /// Learns from the first output of a dispatch.
    pub(crate) fn learn_first(&mut self, now: Time, key: CallKey) {
        let call = self.table.get(key);
        let State::Dispatched(flight) = &call.state else {
            return;
        };
        if is_measured(flight) {
            let profile = &mut self.book.profiles[call.profile];
            profile.record_first_output(now.since(flight.started));
        }
        if let Some(site) = flight.site {
            self.balancer
                .record_outcome(now, site, flight.started, Outcome::Good);
        }
    }

    /// Learns the pace of a stream each time that it has brought some more tokens.
    pub(crate) fn learn_pace(&mut self, now: Time, key: CallKey, least: u32) {
        let call = self.table.get_mut(key);
        let State::Dispatched(flight) = &mut call.state else {
            return;
        };
        let Some((since, seen)) = flight.seen else {
            return;
        };
        let tokens = flight.tokens.saturating_sub(seen);
        if tokens < least.max(1) {
            return;
        }
        flight.seen = Some((now, flight.tokens));
        flight.paced = true;
        let (site, started) = (flight.site, flight.started);
        let pace = now.since(since) / tokens;
        let profile = &mut self.book.profiles[call.profile];
        let median = profile.time_per_token_median();
        let known = profile.time_per_token_count() >= MIN_SAMPLES;
        profile.record_time_per_token(pace);
        if let (Some(site), Some(median), true) = (site, median, known) {
            self.balancer
                .record_slowness(now, site, started, ratio(pace, median));
        }
    }

    /// Learns from a whole answer.
    pub(crate) fn learn_answer(&mut self, now: Time, key: CallKey, tokens: u32) {
        let State::Dispatched(flight) = &mut self.table.get_mut(key).state else {
            return;
        };
        flight.tokens = flight.tokens.max(tokens);
        let streamed = flight.seen.is_some();
        if streamed {
            let least = if flight.paced { PACE_TOKENS } else { 1 };
            self.learn_pace(now, key, least);
        } else {
            self.learn_first(now, key);
        }
        let call = self.table.get(key);
        let State::Dispatched(flight) = &call.state else {
            return;
        };
        if !is_measured(flight) {
            return;
        }
        let elapsed = now.since(flight.started);
        let profile = &mut self.book.profiles[call.profile];
        let median = usual_duration(profile).filter(|_| !streamed);
        profile.record_answer(elapsed, tokens);
        if let (Some(site), Some(median)) = (flight.site, median) {
            self.balancer
                .record_slowness(now, site, flight.started, ratio(elapsed, median));
        }
    }
}

fn usual_duration(profile: &Profile) -> Option<Duration> {
    let known = profile.count() >= MIN_SAMPLES;
    profile.duration_median().filter(|_| known)
}

/// Whether a dispatch's times say what a whole call takes.
const fn is_measured(flight: &Flight) -> bool {
    flight.measured && flight.resumed_at == 0
}

fn ratio(value: Duration, median: Duration) -> f64 {
    value.as_secs_f64() / median.as_secs_f64().max(1e-6)
}
