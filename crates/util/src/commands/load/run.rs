//! Callers on threads, fed by a schedule.

use super::{
    Args,
    pace::Pace,
    tally::{Figures, Tally},
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

/// A call that is due.
#[derive(Clone, Copy, Debug)]
struct Due {
    at: Instant,
    number: u64,
}

/// Sends the calls and waits for the end of each.
pub(super) fn run(args: &Args) -> Result<Figures, ToolError> {
    let key = fs::read_to_string(&args.key_file).context(FileSnafu {
        step: "read the bearer key",
        path: args.key_file.display().to_string(),
    })?;
    let client = Client::new(Directory::new(args.at.clone(), args.seed), key.trim());
    // Keys of an earlier run with the same seed must not come again.
    let nonce = rand::rng().random();
    let (due, calls) = bounded(args.callers.into());
    let began = Instant::now();
    let (tally, not_started) = thread::scope(|scope| {
        let caller = || serve(args, &client, &calls, nonce);
        let callers: Vec<_> = (0..args.callers).map(|_| scope.spawn(caller)).collect();
        let not_started = schedule(args, began, due);
        let mut tally = Tally::default();
        for caller in callers {
            tally.merge(&caller.join().unwrap_or_default());
        }
        (tally, not_started)
    });
    Ok(tally.figures(began.elapsed(), not_started))
}

/// Hands out calls when they are due; returns how many found no free caller.
fn schedule(args: &Args, began: Instant, due: Sender<Due>) -> u64 {
    let end = Duration::from_secs(args.seconds);
    let expected = (args.rate * end.as_secs_f64()).min(args.max_calls as f64);
    let bar = progress(expected as usize, "calls");
    let mut not_started = 0;
    let pace = Pace::new(args.rate, end, args.seed);
    for (number, offset) in (0..args.max_calls).zip(pace) {
        let at = began + offset;
        thread::sleep(at.saturating_duration_since(Instant::now()));
        if due.try_send(Due { at, number }).is_err() {
            not_started += 1;
        }
        bar.inc(1);
    }
    drop(due);
    bar.finish_and_clear();
    not_started
}

/// Makes one call after another until the schedule ends.
fn serve(args: &Args, client: &Client, calls: &Receiver<Due>, nonce: u64) -> Tally {
    let mut tally = Tally::default();
    for due in calls {
        let late = due.at.elapsed();
        tally.add(&call(args, client, due.number, nonce), late);
    }
    tally
}

fn call(args: &Args, client: &Client, number: u64, nonce: u64) -> CallReport {
    let text = "snow ".repeat(args.input_bytes.div_ceil(5) as usize);
    if let Some(path) = &args.route.service {
        let Some(key) = client.new_key(&format!("load-{nonce:016x}-{number}")) else {
            return CallReport::unreached();
        };
        return client.invoke(&ServiceCall {
            class: args.class.clone(),
            path: path.clone(),
            body: text,
            key: Some(key),
        });
    }
    client.chat(&ChatCall {
        class: args.class.clone(),
        model: args.route.model.clone().unwrap_or_default(),
        prompt: format!("call {number}: {text}"),
        max_tokens: args.max_tokens,
    })
}
