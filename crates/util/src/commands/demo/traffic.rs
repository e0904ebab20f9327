//! Callers of each class, at a steady rate.

use super::{
    audit::Told,
    profile::{Aim, Profile},
    tally::Tally,
    world::bearer_key,
};
use core::{net::SocketAddr, time::Duration};
use poplarswitch_client::{CallReport, ChatCall, Client, Directory, Outcome, ServiceCall};
use poplarswitch_objects::ObjectSet;
use poplarswitch_standins::answer_text;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::{
    sync::{Mutex, PoisonError},
    thread,
    time::Instant,
};

/// Times that a caller repeats an operation without an answer.
const REPEATS: u32 = 4;
/// Wait before a repeat, unless the answer tells another.
const REPEAT_AFTER: Duration = Duration::from_millis(200);
/// Different beginnings of prompts in one workspace.
const PREFIXES: u32 = 5;

/// What the callers of one deployment saw.
#[derive(Debug, Default)]
pub(super) struct Seen {
    /// A tally for each class.
    pub(super) tallies: Vec<Tally>,
    /// What the callers of keyed operations were told.
    pub(super) told: Vec<Told>,
    /// Tokens of whole answers.
    pub(super) delivered: u64,
}

/// Callers of one workspace.
#[derive(Debug)]
struct Caller {
    workspace: String,
    client: Client,
}

/// One call before it is sent.
#[derive(Debug)]
struct Plan {
    caller: usize,
    seq: u32,
    prefix: u32,
}

/// Sends the calls of all classes for a while and collects what became of them.
pub(super) fn run(
    set: &ObjectSet,
    profiles: &[Profile],
    seeds: &[SocketAddr],
    time: Duration,
    seed: u64,
) -> Seen {
    let callers = callers(set, seeds, seed);
    let tallies: Vec<_> = profiles
        .iter()
        .map(|profile| Mutex::new(Tally::new(&profile.class)))
        .collect();
    let told = Mutex::new(Vec::new());
    let delivered = Mutex::new(0);
    thread::scope(|scope| {
        for (index, (profile, tally)) in profiles.iter().zip(&tallies).enumerate() {
            let (callers, told, delivered) = (&callers, &told, &delivered);
            let plans = plans(profile, callers.len(), time, seed + index as u64);
            scope.spawn(move || {
                let began = Instant::now();
                let gap = Duration::from_secs(1) / profile.rate.max(1);
                for plan in plans {
                    thread::sleep((gap * plan.seq).saturating_sub(began.elapsed()));
                    scope.spawn(move || {
                        let result = send(profile, &callers[plan.caller], &plan);
                        lock(tally).count(&result.report, result.right);
                        lock(told).extend(result.told);
                        *lock(delivered) += result.delivered;
                    });
                }
            });
        }
    });
    Seen {
        tallies: tallies.into_iter().map(into_inner).collect(),
        told: into_inner(told),
        delivered: into_inner(delivered),
    }
}

fn callers(set: &ObjectSet, seeds: &[SocketAddr], seed: u64) -> Vec<Caller> {
    let names = set
        .workspaces
        .iter()
        .map(|workspace| workspace.name.to_string());
    names
        .zip(seed..)
        .map(|(workspace, seed)| Caller {
            client: Client::new(
                Directory::new(seeds.to_vec(), seed),
                &bearer_key(&workspace),
            ),
            workspace,
        })
        .collect()
}

fn plans(profile: &Profile, callers: usize, time: Duration, seed: u64) -> Vec<Plan> {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let calls = profile.rate * time.as_secs() as u32;
    (0..calls)
        .map(|seq| Plan {
            caller: random.random_range(0..callers),
            seq,
            prefix: random.random_range(0..PREFIXES),
        })
        .collect()
}

struct Sent {
    report: CallReport,
    right: bool,
    told: Option<Told>,
    delivered: u64,
}

fn send(profile: &Profile, caller: &Caller, plan: &Plan) -> Sent {
    match &profile.aim {
        Aim::Chat {
            model,
            words,
            max_tokens,
        } => {
            let call = ChatCall {
                class: Some(profile.class.name.to_string()),
                model: model.clone(),
                prompt: prompt(profile, caller, plan, *words),
                max_tokens: *max_tokens,
            };
            send_chat(&caller.client, &call)
        }
        Aim::Service { service } => send_service(profile, service, caller, plan),
    }
}

fn send_chat(client: &Client, call: &ChatCall) -> Sent {
    let report = client.chat(call);
    let whole = report.outcome == Outcome::Answered;
    let right = !whole || report.text == answer_text(&call.prompt, call.max_tokens);
    let delivered = if whole {
        u64::from(report.text_events)
    } else {
        0
    };
    Sent {
        report,
        right,
        told: None,
        delivered,
    }
}

fn send_service(profile: &Profile, service: &str, caller: &Caller, plan: &Plan) -> Sent {
    let suffix = format!("{}-{}-{}", caller.workspace, profile.class.name, plan.seq);
    let key = if profile.class.repeatable {
        None
    } else {
        caller.client.new_key(&suffix)
    };
    let call = ServiceCall {
        class: Some(profile.class.name.to_string()),
        path: format!("{service}/run"),
        body: suffix.clone(),
        key: key.clone(),
    };
    let report = repeat(&caller.client, &call);
    let right = report.outcome != Outcome::Answered || report.text.contains(&suffix);
    let told = key.map(|key| Told {
        key,
        outcome: report.outcome,
    });
    Sent {
        report,
        right,
        told,
        delivered: 0,
    }
}

/// Repeats an operation under the same key until it is answered.
///
/// Once one attempt was in doubt, a later "not run" speaks of that later attempt only.
fn repeat(client: &Client, call: &ServiceCall) -> CallReport {
    let mut report = client.invoke(call);
    let mut doubt = None;
    for _ in 0..REPEATS {
        match report.outcome {
            Outcome::Answered => return report,
            Outcome::InDoubt(_) | Outcome::Lost => doubt = Some(report.outcome),
            Outcome::NotRun(_) | Outcome::Unreached | Outcome::Failed(_) => {}
        }
        thread::sleep(report.retry_after.unwrap_or(REPEAT_AFTER));
        report = client.invoke(call);
    }
    if report.outcome != Outcome::Answered {
        report.outcome = doubt.unwrap_or(report.outcome);
    }
    report
}

fn prompt(profile: &Profile, caller: &Caller, plan: &Plan, words: u32) -> String {
    let start = format!("{} {} ", caller.workspace, plan.prefix);
    let filler = "snow ".repeat(words as usize);
    format!("{start}{filler}{} {}", profile.class.name, plan.seq)
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn into_inner<T>(mutex: Mutex<T>) -> T {
    mutex.into_inner().unwrap_or_else(PoisonError::into_inner)
}
