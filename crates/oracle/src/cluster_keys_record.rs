//! The oracle of keyed calls: the service's runs, and what the callers were told.
//!
//! It counts the runs of each key, with the call that each run was for, and holds against them
//! every word to a caller.

use poplarswitch_entity::{CallId, Incarnation, Time};
use poplarswitch_keys::CallOutcome;
use std::collections::BTreeMap;

#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) key: usize,
    pub(crate) life: Incarnation,
    pub(crate) at: Time,
    pub(crate) told: Vec<CallOutcome>,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Run {
    pub(crate) call: CallId,
    pub(crate) at: Time,
}

/// Calls, runs, and the first word that was wrong.
#[derive(Debug, Default)]
pub(crate) struct Record {
    pub(crate) calls: BTreeMap<CallId, Call>,
    pub(crate) runs: BTreeMap<usize, Vec<Run>>,
    fault: Option<String>,
}

impl Record {
    pub(crate) fn tell(&mut self, call: CallId, told: &CallOutcome) {
        let Some(record) = self.calls.get_mut(&call) else {
            return;
        };
        record.told.push(told.clone());
        let record = record.clone();
        let earlier = self.runs.get(&record.key).into_iter().flatten();
        let ran_before = earlier.clone().any(|run| run.at < record.at);
        let fault = match told {
            CallOutcome::NotRun(_) if ran_before => Some("told not run, but the key had run"),
            CallOutcome::Answer(answer) if **answer != [record.key as u8] => {
                Some("another's answer")
            }
            CallOutcome::Answer(_) | CallOutcome::Ran if earlier.clone().next().is_none() => {
                Some("answered without a run")
            }
            _ if record.told.len() > 1 => Some("told twice"),
            _ => None,
        };
        if let Some(fault) = fault {
            self.fault = Some(format!("{fault}: {call} {record:?}"));
        }
    }

    pub(crate) fn check(&self) -> Result<(), String> {
        if let Some(fault) = &self.fault {
            return Err(fault.clone());
        }
        for (key, runs) in &self.runs {
            if runs.len() > 1 {
                return Err(format!("key {key} ran {} times: {runs:?}", runs.len()));
            }
        }
        let lies = self.runs.values().flatten().find(|run| {
            let told = self.calls.get(&run.call).map(|call| call.told.as_slice());
            let mut told = told.unwrap_or_default().iter();
            told.any(|told| matches!(told, CallOutcome::NotRun(_) | CallOutcome::NotRunHere))
        });
        lies.map_or(Ok(()), |run| Err(format!("told not run, but ran: {run:?}")))
    }
}
