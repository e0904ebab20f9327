//! `poplarctl apply`.
//!
//! A publication replaces exactly the generation whose differences were shown, so that a
//! change that another operator published in between is never undone unseen.

use crate::{
    commands::{check::inspect, diff::Plan},
    error::ToolError,
    exit::Exit,
    output::Output,
    publication::{PlatformArgs, Port, publish, read},
};
use indicatif::ProgressBar;
use poplarswitch_entity::Generation;
use poplarswitch_objects::ObjectSet;
use poplarswitch_publish::{Change, Draft, Outcome, Release};
use poplarswitch_verifier::VerifiedSet;
use rand::RngExt as _;
use serde::Serialize;
use std::{path::PathBuf, time::Duration};

/// Time between two frames of the progress.
const FRAME: Duration = Duration::from_millis(100);

#[derive(Debug, clap::Args)]
pub(crate) struct Args {
    /// Directory of the set
    dir: PathBuf,
    #[command(flatten)]
    platform: PlatformArgs,
    #[command(flatten)]
    intent: Intent,
    /// Show what would change and stop
    #[arg(long)]
    dry_run: bool,
}

/// What the operator wants beside the set itself.
#[derive(Debug, clap::Args)]
pub(crate) struct Intent {
    /// Who publishes
    #[arg(long, env = "USER", default_value = "unknown")]
    pub(crate) author: String,
    /// Why
    #[arg(long, default_value = "")]
    pub(crate) note: String,
    /// Generation that the directory was made from; anything newer is a conflict
    #[arg(long)]
    pub(crate) base: Option<u64>,
    /// Number of an undecided publication of the same directory, to learn what became of it
    #[arg(long)]
    pub(crate) nonce: Option<u64>,
}

/// How a publication ended, in a form for programs.
#[derive(Debug, PartialEq, Eq, Serialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub(crate) enum Ending {
    Accepted {
        release: Release,
    },
    Unchanged {
        release: Option<Release>,
    },
    Conflict {
        theirs: Release,
        changed: Vec<Change>,
    },
    Invalid {
        errors: Vec<String>,
    },
    TooLarge {
        bytes: usize,
        limit: usize,
    },
    BadHead {
        message: String,
    },
    Unavailable,
    Undecided {
        nonce: u64,
    },
}

impl From<Outcome> for Ending {
    fn from(outcome: Outcome) -> Self {
        match outcome {
            Outcome::Accepted(release) => Self::Accepted { release },
            Outcome::Unchanged(release) => Self::Unchanged { release },
            Outcome::Conflict { theirs, changed } => Self::Conflict { theirs, changed },
            Outcome::Invalid(errors) => Self::Invalid { errors },
            Outcome::TooLarge { bytes, limit } => Self::TooLarge { bytes, limit },
            Outcome::BadHead(message) => Self::BadHead { message },
            Outcome::Unavailable => Self::Unavailable,
            Outcome::Undecided { nonce } => Self::Undecided { nonce },
        }
    }
}

impl Ending {
    pub(crate) const fn exit(&self) -> Exit {
        match self {
            Self::Accepted { .. } | Self::Unchanged { .. } => Exit::Success,
            Self::Conflict { .. } => Exit::Conflict,
            Self::Invalid { .. } | Self::TooLarge { .. } => Exit::Invalid,
            Self::BadHead { .. } => Exit::Failure,
            Self::Unavailable => Exit::Unreachable,
            Self::Undecided { .. } => Exit::Undecided,
        }
    }

    fn print(&self, output: &mut Output<'_>) -> Result<(), ToolError> {
        match self {
            Self::Accepted { release } => output.line(format_args!(
                "accepted as generation {}",
                release.generation
            )),
            Self::Unchanged { .. } => output.line("nothing differs; nothing was published"),
            Self::Conflict { theirs, changed } => print_conflict(theirs, changed, output),
            Self::Invalid { errors } => errors.iter().try_for_each(|error| output.line(error)),
            Self::TooLarge { bytes, limit } => output.line(format_args!(
                "a part of the set has {bytes} bytes, expected at most {limit}"
            )),
            Self::BadHead { message } => {
                output.line(format_args!("the current set can't be read: {message}"))
            }
            Self::Unavailable => output.line("the platform does not answer; nothing was published"),
            Self::Undecided { nonce } => output.line(format_args!(
                "it is not known whether the set was published; run the same command with \
                `--nonce {nonce}` to learn it"
            )),
        }
    }
}

fn print_conflict(
    theirs: &Release,
    changed: &[Change],
    output: &mut Output<'_>,
) -> Result<(), ToolError> {
    let (generation, author) = (theirs.generation, &theirs.author);
    output.line(format_args!(
        "conflict: generation {generation} by {author} came first ({}); nothing was published",
        theirs.note
    ))?;
    for change in changed {
        let word = match change.change {
            poplarswitch_publish::ChangeKind::Added => "added",
            poplarswitch_publish::ChangeKind::Removed => "removed",
            poplarswitch_publish::ChangeKind::Altered => "altered",
        };
        output.line(format_args!("    {word} {} {}", change.kind, change.name))?;
    }
    Ok(())
}

impl Args {
    pub(crate) fn run(&self, output: &mut Output<'_>) -> Result<Exit, ToolError> {
        let (located, report) = inspect(&self.dir);
        let Some(located) = located else {
            output.show(&report)?;
            return Ok(Exit::Invalid);
        };
        let mut port = self.platform.port();
        let bar = ProgressBar::new_spinner().with_message("read the current set");
        bar.enable_steady_tick(FRAME);
        let plan = self.plan(&mut port, &located.set)?;
        if !output.is_json() {
            bar.suspend(|| plan.print(output))?;
        }
        if self.dry_run {
            bar.finish_and_clear();
            if output.is_json() {
                output.value(&plan)?;
            }
            return Ok(Exit::Success);
        }
        bar.set_message("publish");
        let ending = self.publish(&mut port, located.set, &plan);
        bar.finish_and_clear();
        if output.is_json() {
            output.value(&ending)?;
        } else {
            ending.print(output)?;
        }
        Ok(ending.exit())
    }

    fn plan(&self, port: &mut impl Port, set: &ObjectSet) -> Result<Plan, ToolError> {
        let read = read(port, self.platform.patience())?;
        Ok(Plan::new(read.snapshot.as_ref(), set))
    }

    fn publish(&self, port: &mut impl Port, set: ObjectSet, plan: &Plan) -> Ending {
        let draft = self.intent.draft(set, plan.base, self.platform.patience());
        publish(port, draft, Box::new(|_, set| errors(set))).into()
    }
}

impl Intent {
    /// The publication of a set that was compared with a generation.
    pub(crate) fn draft(
        &self,
        set: ObjectSet,
        compared: Option<Generation>,
        patience: Duration,
    ) -> Draft {
        let base = self.base.map(Generation).or(compared).unwrap_or_default();
        Draft::builder()
            .set(set)
            .author(self.author.as_str())
            .note(self.note.as_str())
            .nonce(self.nonce.unwrap_or_else(|| rand::rng().random()))
            .base(base)
            .timeout(patience)
            .build()
    }
}

/// Every error of a set.
pub(crate) fn errors(set: &ObjectSet) -> Vec<String> {
    match VerifiedSet::new(set) {
        Ok(_) => Vec::new(),
        Err(findings) => findings.errors().map(ToString::to_string).collect(),
    }
}
