//! One deployment from its start to its report.

use super::{
    audit::audit,
    fleet::{self, Fleet},
    profile::{Aim, Profile, profiles},
    report::{Broken, Report},
    sets::User,
    tally::Line,
    traffic::{self, Seen},
    world::World,
};
use crate::{
    commands::apply::errors,
    error::{DemoSetSnafu, DemoStartSnafu, DemoVmSnafu, ToolError},
    publication::{LivePort, publish},
};
use core::time::Duration;
use poplarswitch_deployment::StoreFault;
use poplarswitch_entity::DataCentre;
use poplarswitch_objects::ObjectSet;
use poplarswitch_publish::{Draft, Outcome};
use snafu::ResultExt;
use std::{collections::BTreeSet, thread};

/// Longest wait for the publication.
const PATIENCE: Duration = Duration::from_secs(10);

/// How a deployment is run.
#[derive(Clone, Copy, Debug)]
pub(super) struct Plan {
    /// How long calls are sent.
    pub(super) time: Duration,
    /// Seed of the calls.
    pub(super) seed: u64,
    /// Whether nothing fails.
    pub(super) calm: bool,
}

/// Runs one deployment.
pub(super) fn run(user: User, plan: &Plan) -> Result<Report, ToolError> {
    let mut world = World::start(user.set()).context(DemoStartSnafu)?;
    publish_set(user, &world, plan.seed)?;
    let fleet = fleet::Plan {
        user: user.name().to_owned(),
        platform: world.platform.url(),
        data_centres: data_centres(&world.set),
    };
    let mut fleet = Fleet::start(fleet).context(DemoVmSnafu)?;
    if !fleet.wait_ready() {
        return DemoSetSnafu {
            text: "not every VM has it in force",
        }
        .fail();
    }
    let profiles = profiles(&world.set);
    let set = world.set.clone();
    let seeds = fleet.callers();
    let seen = thread::scope(|scope| {
        let calls = scope.spawn(|| traffic::run(&set, &profiles, &seeds, plan.time, plan.seed));
        let faults = if plan.calm {
            Ok(())
        } else {
            provoke(&mut world, &mut fleet, plan.time)
        };
        let seen = calls.join().unwrap_or_default();
        faults.map(|()| seen)
    })?;
    Ok(report(user, &world, &profiles, &seen))
}

/// An outage of the platform, the crash of an engine, and the replacement of a VM.
fn provoke(world: &mut World, fleet: &mut Fleet, time: Duration) -> Result<(), ToolError> {
    let step = time / 5;
    thread::sleep(step);
    world.platform.set_fault(StoreFault::Refuses(503));
    thread::sleep(step);
    world.crash(0);
    thread::sleep(step);
    fleet.replace().context(DemoVmSnafu)?;
    world.platform.set_fault(StoreFault::None);
    Ok(())
}

fn publish_set(user: User, world: &World, seed: u64) -> Result<(), ToolError> {
    let mut port = LivePort::new(&world.platform.url());
    let draft = Draft::builder()
        .set(world.set.clone())
        .author(user.name())
        .note("first set")
        .nonce(seed)
        .timeout(PATIENCE)
        .build();
    match publish(&mut port, draft, Box::new(|_, set| errors(set))) {
        Outcome::Accepted(_) => Ok(()),
        other => DemoSetSnafu {
            text: format!("{other:?}"),
        }
        .fail(),
    }
}

fn data_centres(set: &ObjectSet) -> Vec<DataCentre> {
    let places: BTreeSet<_> = set
        .endpoints
        .iter()
        .map(|endpoint| &endpoint.data_centre)
        .collect();
    places.into_iter().cloned().collect()
}

fn report(user: User, world: &World, profiles: &[Profile], seen: &Seen) -> Report {
    let lines: Vec<Line> = seen.tallies.iter().map(super::tally::Tally::line).collect();
    let mut broken = audit(&seen.told, &world.runs());
    for (line, profile) in lines.iter().zip(profiles) {
        broken.extend(breaches(line, profile));
    }
    let tokens = world.tokens();
    Report {
        user: user.name().to_owned(),
        lines,
        tokens,
        wasted: tokens.saturating_sub(seen.delivered),
        broken,
    }
}

fn breaches(line: &Line, profile: &Profile) -> Vec<Broken> {
    let class = || line.class.clone();
    let mut broken = Vec::new();
    if line.wrong > 0 {
        broken.push(Broken::WrongAnswer {
            class: class(),
            calls: line.wrong,
        });
    }
    if line.answered == 0 {
        broken.push(Broken::Starved { class: class() });
    }
    // A keyed call that lost its connection is repeated; only its last outcome counts.
    if line.cut > 0 && matches!(profile.aim, Aim::Chat { .. }) {
        broken.push(Broken::CutOff {
            class: class(),
            calls: line.cut,
        });
    }
    broken
}
