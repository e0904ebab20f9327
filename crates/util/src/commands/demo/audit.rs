//! Comparison of the outcomes reported to callers with the runs of the services.

use super::report::Violation;
use poplarswitch_client::Outcome;
use std::collections::BTreeMap;

/// Last outcome that the caller of a keyed operation received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct KeyedOutcome {
    /// Idempotency key of the operation.
    pub(super) key: String,
    /// Outcome.
    pub(super) outcome: Outcome,
}

/// Compares the number of runs of each key, over all services, with the outcomes that the callers
/// received.
pub(super) fn audit(outcomes: &[KeyedOutcome], runs: &BTreeMap<String, u32>) -> Vec<Violation> {
    let repeated = runs
        .iter()
        .filter(|(_, runs)| **runs > 1)
        .map(|(key, runs)| Violation::RanTwice {
            key: key.clone(),
            runs: *runs,
        });
    let wrong = outcomes
        .iter()
        .filter_map(|outcome| contradiction(outcome, runs));
    repeated.chain(wrong).collect()
}

fn contradiction(keyed: &KeyedOutcome, runs: &BTreeMap<String, u32>) -> Option<Violation> {
    let ran = runs.contains_key(&keyed.key);
    match keyed.outcome {
        Outcome::Answered if !ran => Some(Violation::AnsweredWithoutRun {
            key: keyed.key.clone(),
        }),
        Outcome::NotRun(_) | Outcome::Unreached if ran => Some(Violation::RanAfterNotRun {
            key: keyed.key.clone(),
        }),
        _ => None,
    }
}
