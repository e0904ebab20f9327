//! The scripted run of one deployment, from its start to its report.

use super::{
    audit::audit,
    fleet::{self, Fleet},
    profile::{CallKind, Profile, profiles},
    report::{Report, Violation},
    sets::Deployment,
    standins::Standins,
    stats::ClassReport,
    traffic::{self, Observations},
};
use crate::{
    commands::apply::errors,
    error::{DemoSetSnafu, DemoStandinSnafu, DemoVmSnafu, ToolError},
    publication::{HttpPlatformIo, publish},
};
use core::time::Duration;
use poplarswitch_deployment::StoreFault;
use poplarswitch_entity::DataCentre;
use poplarswitch_objects::ObjectSet;
use poplarswitch_publish::{Draft, Outcome};
use snafu::ResultExt;
use std::{collections::BTreeSet, thread};

/// Longest wait for the publication of the set.
const PUBLISH_TIMEOUT: Duration = Duration::from_secs(10);

/// Options of a run.
#[derive(Clone, Copy, Debug)]
pub(super) struct Options {
    /// Time during which calls are sent.
    pub(super) duration: Duration,
    /// Seed of the calls.
    pub(super) seed: u64,
    /// Whether no faults are injected.
    pub(super) no_faults: bool,
}

/// Runs one deployment.
pub(super) fn run(deployment: Deployment, options: &Options) -> Result<Report, ToolError> {
    let mut standins = Standins::start(deployment.set()).context(DemoStandinSnafu)?;
    publish_set(deployment, &standins, options.seed)?;
    let fleet = fleet::FleetConfig {
        name: deployment.name().to_owned(),
        platform: standins.platform.url(),
        data_centres: data_centres(&standins.set),
    };
    let mut fleet = Fleet::start(fleet).context(DemoVmSnafu)?;
    if !fleet.wait_ready() {
        return DemoSetSnafu {
            text: "not every VM has the set in force",
        }
        .fail();
    }
    let profiles = profiles(&standins.set);
    let set = standins.set.clone();
    let seeds = fleet.callers();
    let observations = thread::scope(|scope| {
        let calls =
            scope.spawn(|| traffic::run(&set, &profiles, &seeds, options.duration, options.seed));
        let faults = if options.no_faults {
            Ok(())
        } else {
            inject_faults(&mut standins, &mut fleet, options.duration)
        };
        let observations = calls.join().unwrap_or_default();
        faults.map(|()| observations)
    })?;
    Ok(report(deployment, &standins, &profiles, &observations))
}

/// Causes an outage of the platform and, during it, the crash of an engine and the replacement of
/// a VM.
fn inject_faults(
    standins: &mut Standins,
    fleet: &mut Fleet,
    duration: Duration,
) -> Result<(), ToolError> {
    let step = duration / 5;
    thread::sleep(step);
    standins.platform.set_fault(StoreFault::Refuses(503));
    thread::sleep(step);
    standins.crash(0);
    thread::sleep(step);
    fleet.replace().context(DemoVmSnafu)?;
    standins.platform.set_fault(StoreFault::None);
    Ok(())
}

fn publish_set(deployment: Deployment, standins: &Standins, seed: u64) -> Result<(), ToolError> {
    let mut io = HttpPlatformIo::new(&standins.platform.url());
    let draft = Draft::builder()
        .set(standins.set.clone())
        .author(deployment.name())
        .note("first set")
        .nonce(seed)
        .timeout(PUBLISH_TIMEOUT)
        .build();
    match publish(&mut io, draft, Box::new(|_, set| errors(set))) {
        Outcome::Accepted(_) => Ok(()),
        other => DemoSetSnafu {
            text: format!("{other:?}"),
        }
        .fail(),
    }
}

fn data_centres(set: &ObjectSet) -> Vec<DataCentre> {
    let data_centres: BTreeSet<_> = set
        .endpoints
        .iter()
        .map(|endpoint| &endpoint.data_centre)
        .collect();
    data_centres.into_iter().cloned().collect()
}

fn report(
    deployment: Deployment,
    standins: &Standins,
    profiles: &[Profile],
    observations: &Observations,
) -> Report {
    let lines: Vec<ClassReport> = observations
        .classes
        .iter()
        .map(super::stats::ClassStats::report)
        .collect();
    let mut broken = audit(&observations.keyed, &standins.runs());
    for (class, profile) in lines.iter().zip(profiles) {
        broken.extend(class_violations(class, profile));
    }
    let tokens = standins.tokens();
    Report {
        user: deployment.name().to_owned(),
        lines,
        tokens,
        wasted: tokens.saturating_sub(observations.delivered_tokens),
        broken,
    }
}

fn class_violations(report: &ClassReport, profile: &Profile) -> Vec<Violation> {
    let class = || report.class.clone();
    let mut violations = Vec::new();
    if report.wrong > 0 {
        violations.push(Violation::WrongAnswer {
            class: class(),
            calls: report.wrong,
        });
    }
    if report.answered == 0 {
        violations.push(Violation::Starved { class: class() });
    }
    // Only chat calls are checked: service calls are retried after a lost connection, and only
    // their final outcome is recorded.
    if report.cut > 0 && matches!(profile.kind, CallKind::Chat { .. }) {
        violations.push(Violation::CutOff {
            class: class(),
            calls: report.cut,
        });
    }
    violations
}
