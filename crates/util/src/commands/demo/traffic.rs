//! Callers that send the calls of each class at a constant rate.

use super::{
    audit::KeyedOutcome,
    profile::{CallKind, Profile},
    standins::bearer_key,
    stats::ClassStats,
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

/// Maximum number of retries of a service call.
const MAX_RETRIES: u32 = 4;
/// Delay before a retry if the response gives none.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Number of different prompt prefixes in each workspace.
const PREFIX_COUNT: u32 = 5;

/// Outcomes that the callers of one deployment observed.
#[derive(Debug, Default)]
pub(super) struct Observations {
    /// Statistics of each class.
    pub(super) classes: Vec<ClassStats>,
    /// Final outcomes of keyed operations.
    pub(super) keyed: Vec<KeyedOutcome>,
    /// Number of tokens in complete answers of chat calls.
    pub(super) delivered_tokens: u64,
}

/// The caller of one workspace.
#[derive(Debug)]
struct Caller {
    workspace: String,
    client: Client,
}

/// A call that is to be sent.
#[derive(Debug)]
struct PlannedCall {
    caller: usize,
    seq: u32,
    prefix: u32,
}

/// Sends the calls of all classes for `duration` and collects their outcomes.
pub(super) fn run(
    set: &ObjectSet,
    profiles: &[Profile],
    seeds: &[SocketAddr],
    duration: Duration,
    seed: u64,
) -> Observations {
    let callers = callers(set, seeds, seed);
    let classes: Vec<_> = profiles
        .iter()
        .map(|profile| Mutex::new(ClassStats::new(&profile.class)))
        .collect();
    let keyed = Mutex::new(Vec::new());
    let delivered_tokens = Mutex::new(0);
    thread::scope(|scope| {
        for (index, (profile, stats)) in profiles.iter().zip(&classes).enumerate() {
            let (callers, keyed, delivered_tokens) = (&callers, &keyed, &delivered_tokens);
            let calls = plan_calls(profile, callers.len(), duration, seed + index as u64);
            scope.spawn(move || {
                let start = Instant::now();
                let interval = Duration::from_secs(1) / profile.rate.max(1);
                for call in calls {
                    thread::sleep((interval * call.seq).saturating_sub(start.elapsed()));
                    scope.spawn(move || {
                        let result = send(profile, &callers[call.caller], &call);
                        lock(stats).add(&result.report, result.correct);
                        lock(keyed).extend(result.keyed);
                        *lock(delivered_tokens) += result.delivered_tokens;
                    });
                }
            });
        }
    });
    Observations {
        classes: classes.into_iter().map(into_inner).collect(),
        keyed: into_inner(keyed),
        delivered_tokens: into_inner(delivered_tokens),
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

fn plan_calls(
    profile: &Profile,
    callers: usize,
    duration: Duration,
    seed: u64,
) -> Vec<PlannedCall> {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let count = profile.rate * duration.as_secs() as u32;
    (0..count)
        .map(|seq| PlannedCall {
            caller: random.random_range(0..callers),
            seq,
            prefix: random.random_range(0..PREFIX_COUNT),
        })
        .collect()
}

struct CallResult {
    report: CallReport,
    correct: bool,
    keyed: Option<KeyedOutcome>,
    delivered_tokens: u64,
}

fn send(profile: &Profile, caller: &Caller, planned: &PlannedCall) -> CallResult {
    match &profile.kind {
        CallKind::Chat {
            model,
            words,
            max_tokens,
        } => {
            let call = ChatCall {
                class: Some(profile.class.name.to_string()),
                model: model.clone(),
                shared: None,
                prompt: prompt(profile, caller, planned, *words),
                max_tokens: *max_tokens,
            };
            send_chat(&caller.client, &call)
        }
        CallKind::Service { service } => send_service(profile, service, caller, planned),
    }
}

fn send_chat(client: &Client, call: &ChatCall) -> CallResult {
    let report = client.chat(call);
    let is_answered = report.outcome == Outcome::Answered;
    let correct = !is_answered || report.text == answer_text(&call.prompt, call.max_tokens);
    let delivered_tokens = if is_answered {
        u64::from(report.text_events)
    } else {
        0
    };
    CallResult {
        report,
        correct,
        keyed: None,
        delivered_tokens,
    }
}

fn send_service(
    profile: &Profile,
    service: &str,
    caller: &Caller,
    planned: &PlannedCall,
) -> CallResult {
    let suffix = format!(
        "{}-{}-{}",
        caller.workspace, profile.class.name, planned.seq
    );
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
    let report = send_with_retries(&caller.client, &call);
    let correct = report.outcome != Outcome::Answered || report.text.contains(&suffix);
    let keyed = key.map(|key| KeyedOutcome {
        key,
        outcome: report.outcome,
    });
    CallResult {
        report,
        correct,
        keyed,
        delivered_tokens: 0,
    }
}

/// Sends a service call, with the same key at each retry, until it is answered or the retries are
/// used up.
///
/// A call whose outcome was in doubt at one attempt stays in doubt unless a later attempt is
/// answered: a later "not run" describes only that later attempt.
fn send_with_retries(client: &Client, call: &ServiceCall) -> CallReport {
    let mut report = client.invoke(call);
    let mut doubt = None;
    for _ in 0..MAX_RETRIES {
        match report.outcome {
            Outcome::Answered => return report,
            Outcome::InDoubt(_) | Outcome::Lost => doubt = Some(report.outcome),
            Outcome::NotRun(_) | Outcome::Unreached | Outcome::Failed(_) => {}
        }
        thread::sleep(report.retry_after.unwrap_or(RETRY_DELAY));
        report = client.invoke(call);
    }
    if report.outcome != Outcome::Answered {
        report.outcome = doubt.unwrap_or(report.outcome);
    }
    report
}

fn prompt(profile: &Profile, caller: &Caller, planned: &PlannedCall, words: u32) -> String {
    let start = format!("{} {} ", caller.workspace, planned.prefix);
    let filler = "snow ".repeat(words as usize);
    format!("{start}{filler}{} {}", profile.class.name, planned.seq)
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn into_inner<T>(mutex: Mutex<T>) -> T {
    mutex.into_inner().unwrap_or_else(PoisonError::into_inner)
}
