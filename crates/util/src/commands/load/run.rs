//! Sends scheduled calls from a fixed number of caller threads.

use super::{
    Args,
    arrivals::Arrivals,
    stats::{CallStats, LoadReport},
};
use crate::{
    error::{FileSnafu, ToolError},
    fleet::progress,
};
use core::time::Duration;
use crossbeam::channel::{Receiver, Sender, bounded};
use poplarswitch_client::{CallReport, ChatCall, Client, Directory, ServiceCall};
use rand::RngExt as _;
use snafu::ResultExt;
use std::{fs, thread, time::Instant};

/// Section that the prompts of some calls have in common.
const SHARED_TEXT: &str = "You answer questions about the snow on the roads of the region.";
/// Step between the hundredths of successive calls; has no factor in common with 100.
const PERCENT_STRIDE: u64 = 37;

/// A call and its scheduled start.
#[derive(Clone, Copy, Debug)]
struct ScheduledCall {
    start: Instant,
    number: u64,
}

/// Sends all calls and waits until each has ended.
pub(super) fn run(args: &Args) -> Result<LoadReport, ToolError> {
    let key = fs::read_to_string(&args.key_file).context(FileSnafu {
        step: "read the bearer key",
        path: args.key_file.display().to_string(),
    })?;
    let client = Client::new(Directory::new(args.at.clone(), args.seed), key.trim());
    // Keeps the idempotency keys of two runs with the same seed distinct.
    let nonce = rand::rng().random();
    let (sender, calls) = bounded(args.callers.into());
    let start = Instant::now();
    let (stats, not_started) = thread::scope(|scope| {
        let caller = || run_caller(args, &client, &calls, nonce);
        let callers: Vec<_> = (0..args.callers).map(|_| scope.spawn(caller)).collect();
        let not_started = schedule(args, start, sender);
        let mut stats = CallStats::default();
        for caller in callers {
            stats.merge(&caller.join().unwrap_or_default());
        }
        (stats, not_started)
    });
    Ok(stats.report(start.elapsed(), not_started))
}

/// Queues calls for the callers at their scheduled times; returns how many found the queue full.
fn schedule(args: &Args, run_start: Instant, calls: Sender<ScheduledCall>) -> u64 {
    let end = Duration::from_secs(args.seconds);
    let expected = (args.rate * end.as_secs_f64()).min(args.max_calls as f64);
    let bar = progress(expected as usize, "calls");
    let mut not_started = 0;
    let arrivals = Arrivals::new(args.rate, end, args.seed);
    for (number, offset) in (0..args.max_calls).zip(arrivals) {
        let start = run_start + offset;
        thread::sleep(start.saturating_duration_since(Instant::now()));
        if calls.try_send(ScheduledCall { start, number }).is_err() {
            not_started += 1;
        }
        bar.inc(1);
    }
    drop(calls);
    bar.finish_and_clear();
    not_started
}

/// Sends one call after another until the schedule ends.
fn run_caller(
    args: &Args,
    client: &Client,
    calls: &Receiver<ScheduledCall>,
    nonce: u64,
) -> CallStats {
    let mut stats = CallStats::default();
    for call in calls {
        let delay = call.start.elapsed();
        stats.add(&send(args, client, call.number, nonce), delay);
    }
    stats
}

fn send(args: &Args, client: &Client, number: u64, nonce: u64) -> CallReport {
    let text = "snow ".repeat(args.input_bytes.div_ceil(5) as usize);
    let is_equal = args.equal.map(|percent| is_among(number, percent));
    if let Some(path) = &args.route.service {
        let Some(key) = client.new_key(&format!("load-{nonce:016x}-{number}")) else {
            return CallReport::unreached();
        };
        let body = if is_equal == Some(false) {
            format!("call {number}: {text}")
        } else {
            text
        };
        return client.invoke(&ServiceCall {
            class: args.class.clone(),
            path: path.clone(),
            body,
            key: Some(key),
        });
    }
    let is_equal = is_equal == Some(true);
    let is_shared = is_among(number, args.shared);
    client.chat(&ChatCall {
        class: args.class.clone(),
        model: args.route.model.clone().unwrap_or_default(),
        shared: (is_shared && !is_equal).then(|| SHARED_TEXT.to_owned()),
        prompt: if is_equal {
            text
        } else {
            format!("call {number}: {text}")
        },
        max_tokens: args.max_tokens,
    })
}

/// Whether a call is among a share of all calls, which is spread evenly over them.
pub(super) const fn is_among(number: u64, percent: u8) -> bool {
    number.wrapping_mul(PERCENT_STRIDE) % 100 < percent as u64
}
