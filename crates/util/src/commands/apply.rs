//! `poplarctl apply`: publishes the set in a directory.
//!
//! A publication replaces only the generation with which the set was compared. If another operator
//! publishes in the meantime, it ends with a conflict instead of silently reverting that change.

use crate::{
    commands::{check::inspect, diff::Plan},
    error::ToolError,
    exit::Exit,
    output::Output,
    publication::{PlatformArgs, PlatformIo, publish, read_set},
};
use indicatif::ProgressBar;
use poplarswitch_entity::Generation;
use poplarswitch_objects::ObjectSet;
use poplarswitch_publish::{Change, Draft, Outcome, Release};
use poplarswitch_verifier::VerifiedSet;
use rand::RngExt as _;
use serde::Serialize;
use std::{path::PathBuf, time::Duration};

/// Time between two frames of the progress indicator.
const FRAME_INTERVAL: Duration = Duration::from_millis(100);

#[derive(Debug, clap::Args)]
pub(crate) struct Args {
    /// Directory of the set
    dir: PathBuf,
    #[command(flatten)]
    platform: PlatformArgs,
    #[command(flatten)]
    intent: Intent,
    /// Show the changes without publishing them
    #[arg(long)]
    dry_run: bool,
}

/// Options of a publication besides the set.
#[derive(Debug, clap::Args)]
pub(crate) struct Intent {
    /// Author of the publication
    #[arg(long, env = "USER", default_value = "unknown")]
    pub(crate) author: String,
    /// Reason for the change, recorded with the set
    #[arg(long, default_value = "")]
    pub(crate) note: String,
    /// Generation on which the directory is based, if not the current one; a newer current generation is a conflict
    #[arg(long)]
    pub(crate) base: Option<u64>,
    /// Nonce of an undecided publication of the same directory, to determine its outcome or repeat it
    #[arg(long)]
    pub(crate) nonce: Option<u64>,
}

/// Outcome of a publication, as text or JSON.
#[derive(Debug, PartialEq, Eq, Serialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub(crate) enum ApplyOutcome {
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

impl From<Outcome> for ApplyOutcome {
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

impl ApplyOutcome {
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
            Self::Unchanged { .. } => output.line("the sets do not differ; nothing was published"),
            Self::Conflict { theirs, changed } => print_conflict(theirs, changed, output),
            Self::Invalid { errors } => errors.iter().try_for_each(|error| output.line(error)),
            Self::TooLarge { bytes, limit } => output.line(format_args!(
                "a part of the set has {bytes} bytes, expected at most {limit} bytes"
            )),
            Self::BadHead { message } => {
                output.line(format_args!("the current set can't be read: {message}"))
            }
            Self::Unavailable => output.line("the platform did not reply; nothing was published"),
            Self::Undecided { nonce } => output.line(format_args!(
                "it is unknown whether the set was published; run the same command with \
                `--nonce {nonce}` to find out"
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
        "conflict: generation {generation} by {author} was published first ({}); nothing was published",
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
        let mut io = self.platform.client();
        let bar = ProgressBar::new_spinner().with_message("read the current set");
        bar.enable_steady_tick(FRAME_INTERVAL);
        let plan = self.plan(&mut io, &located.set)?;
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
        let outcome = self.publish(&mut io, located.set, &plan);
        bar.finish_and_clear();
        if output.is_json() {
            output.value(&outcome)?;
        } else {
            outcome.print(output)?;
        }
        Ok(outcome.exit())
    }

    fn plan(&self, io: &mut impl PlatformIo, set: &ObjectSet) -> Result<Plan, ToolError> {
        let read = read_set(io, self.platform.timeout())?;
        Ok(Plan::new(read.snapshot.as_ref(), set))
    }

    fn publish(&self, io: &mut impl PlatformIo, set: ObjectSet, plan: &Plan) -> ApplyOutcome {
        let draft = self.intent.draft(set, plan.base, self.platform.timeout());
        publish(io, draft, Box::new(|_, set| errors(set))).into()
    }
}

impl Intent {
    /// Returns the draft of a publication of `set`, which was compared with a generation.
    pub(crate) fn draft(
        &self,
        set: ObjectSet,
        compared: Option<Generation>,
        timeout: Duration,
    ) -> Draft {
        let base = self.base.map(Generation).or(compared).unwrap_or_default();
        Draft::builder()
            .set(set)
            .author(self.author.as_str())
            .note(self.note.as_str())
            .nonce(self.nonce.unwrap_or_else(|| rand::rng().random()))
            .base(base)
            .timeout(timeout)
            .build()
    }
}

/// Returns all errors of a set; warnings are left out.
pub(crate) fn errors(set: &ObjectSet) -> Vec<String> {
    match VerifiedSet::new(set) {
        Ok(_) => Vec::new(),
        Err(findings) => findings.errors().map(ToString::to_string).collect(),
    }
}
