//! The oracle of keyed calls: the runs at the service and the outcomes that callers get.
//!
//! It records every run with its key and call, and checks that no key runs twice and that each
//! outcome agrees with the runs.

use poplarswitch_entity::{CallId, Incarnation, Time};
use poplarswitch_keys::CallOutcome;
use std::collections::BTreeMap;

#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) key: usize,
    pub(crate) incarnation: Incarnation,
    pub(crate) submitted_at: Time,
    pub(crate) outcomes: Vec<CallOutcome>,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Run {
    pub(crate) call: CallId,
    pub(crate) at: Time,
}

/// Calls, runs by key, and the latest contradiction between an outcome and the runs.
#[derive(Debug, Default)]
pub(crate) struct KeysOracle {
    pub(crate) calls: BTreeMap<CallId, Call>,
    pub(crate) runs: BTreeMap<usize, Vec<Run>>,
    violation: Option<String>,
}

impl KeysOracle {
    pub(crate) fn record_outcome(&mut self, call: CallId, outcome: &CallOutcome) {
        let Some(record) = self.calls.get_mut(&call) else {
            return;
        };
        record.outcomes.push(outcome.clone());
        let record = record.clone();
        let earlier = self.runs.get(&record.key).into_iter().flatten();
        let ran_before = earlier.clone().any(|run| run.at < record.submitted_at);
        let violation = match outcome {
            CallOutcome::NotRun(_) if ran_before => {
                Some("reported as not run, but the key had run")
            }
            CallOutcome::Answer(answer) if **answer != [record.key as u8] => {
                Some("answer of another key")
            }
            CallOutcome::Answer(_) | CallOutcome::Ran if earlier.clone().next().is_none() => {
                Some("answered without a run")
            }
            _ if record.outcomes.len() > 1 => Some("two outcomes for one call"),
            _ => None,
        };
        if let Some(violation) = violation {
            self.violation = Some(format!("{violation}: {call} {record:?}"));
        }
    }

    pub(crate) fn check(&self) -> Result<(), String> {
        if let Some(violation) = &self.violation {
            return Err(violation.clone());
        }
        for (key, runs) in &self.runs {
            if runs.len() > 1 {
                return Err(format!("key {key} ran {} times: {runs:?}", runs.len()));
            }
        }
        let misreported = self.runs.values().flatten().find(|run| {
            let outcomes = self
                .calls
                .get(&run.call)
                .map(|call| call.outcomes.as_slice());
            let mut outcomes = outcomes.unwrap_or_default().iter();
            outcomes
                .any(|outcome| matches!(outcome, CallOutcome::NotRun(_) | CallOutcome::NotRunHere))
        });
        misreported.map_or(Ok(()), |run| {
            Err(format!("reported as not run, but ran: {run:?}"))
        })
    }
}
