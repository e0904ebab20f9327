//! Holds what callers were told against what the services ran.

use super::report::Broken;
use poplarswitch_client::Outcome;
use std::collections::BTreeMap;

/// What the caller of a keyed operation was told last.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Told {
    /// The operation.
    pub(super) key: String,
    /// The outcome.
    pub(super) outcome: Outcome,
}

/// Compares the runs of each key, over all services, with what its caller was told.
pub(super) fn audit(told: &[Told], runs: &BTreeMap<String, u32>) -> Vec<Broken> {
    let doubled = runs
        .iter()
        .filter(|(_, runs)| **runs > 1)
        .map(|(key, runs)| Broken::RanTwice {
            key: key.clone(),
            runs: *runs,
        });
    let lied = told.iter().filter_map(|told| contradiction(told, runs));
    doubled.chain(lied).collect()
}

fn contradiction(told: &Told, runs: &BTreeMap<String, u32>) -> Option<Broken> {
    let ran = runs.contains_key(&told.key);
    match told.outcome {
        Outcome::Answered if !ran => Some(Broken::AnsweredWithoutRun {
            key: told.key.clone(),
        }),
        Outcome::NotRun(_) | Outcome::Unreached if ran => Some(Broken::RanAfterNotRun {
            key: told.key.clone(),
        }),
        _ => None,
    }
}
