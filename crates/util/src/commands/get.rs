//! `poplarctl get`: shows the current set.

use crate::{
    error::{FileSnafu, JsonSnafu, ToolError},
    exit::Exit,
    output::{Output, table},
    publication::{PlatformArgs, read_set},
};
use clap::ValueEnum;
use poplarswitch_objects::{Kind, Object};
use poplarswitch_publish::{Release, Snapshot};
use serde::Serialize;
use snafu::ResultExt;
use std::{
    fs::{self, File},
    path::{Path, PathBuf},
};

#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
enum KindArg {
    Class,
    Tier,
    Workspace,
    Model,
    Service,
    Endpoint,
}

impl From<KindArg> for Kind {
    fn from(kind: KindArg) -> Self {
        match kind {
            KindArg::Class => Self::Class,
            KindArg::Tier => Self::Tier,
            KindArg::Workspace => Self::Workspace,
            KindArg::Model => Self::Model,
            KindArg::Service => Self::Service,
            KindArg::Endpoint => Self::Endpoint,
        }
    }
}

#[derive(Debug, clap::Args)]
pub(crate) struct Args {
    #[command(flatten)]
    platform: PlatformArgs,
    /// Show only objects of this kind
    kind: Option<KindArg>,
    /// Show only objects with this name
    name: Option<String>,
    /// Write the objects to one file per kind in this directory; existing files are an error
    #[arg(long)]
    write: Option<PathBuf>,
}

#[derive(Debug, Serialize)]
struct Selection<'a> {
    release: &'a Release,
    objects: &'a [Object],
}

impl Args {
    pub(crate) fn run(&self, output: &mut Output<'_>) -> Result<Exit, ToolError> {
        let read = read_set(&mut self.platform.client(), self.platform.timeout())?;
        let Some(snapshot) = read.snapshot else {
            output.note("no set has been published")?;
            return Ok(Exit::Failure);
        };
        let objects = self.selected(&snapshot);
        let release = &snapshot.head.current;
        if let Some(dir) = &self.write {
            write_files(dir, &objects)?;
        } else if output.is_json() {
            let objects = &objects;
            output.value(&Selection { release, objects })?;
        } else {
            print(release, &objects, output)?;
        }
        if objects.is_empty() {
            return Ok(Exit::Failure);
        }
        Ok(Exit::Success)
    }

    fn selected(&self, snapshot: &Snapshot) -> Vec<Object> {
        let kind = self.kind.map(Kind::from);
        let name = self.name.as_deref();
        snapshot
            .set
            .objects()
            .filter(|object| kind.is_none_or(|kind| object.kind() == kind))
            .filter(|object| name.is_none_or(|name| object.name() == name))
            .collect()
    }
}

fn print(release: &Release, objects: &[Object], output: &mut Output<'_>) -> Result<(), ToolError> {
    let (generation, author) = (release.generation, &release.author);
    output.line(format_args!(
        "generation {generation} by {author}: {}",
        release.note
    ))?;
    let mut rows = table(&["KIND", "NAME"]);
    for object in objects {
        rows.add_row([object.kind().as_str(), object.name()]);
    }
    output.line(rows)
}

fn write_files(dir: &Path, objects: &[Object]) -> Result<(), ToolError> {
    let failed = |step: &'static str, path: &Path| FileSnafu {
        step,
        path: path.display().to_string(),
    };
    fs::create_dir_all(dir).context(failed("create the directory", dir))?;
    for kind in Kind::ALL {
        let of_kind: Vec<&Object> = objects.iter().filter(|one| one.kind() == kind).collect();
        if of_kind.is_empty() {
            continue;
        }
        let path = dir.join(format!("{kind}.json"));
        let file = File::create_new(&path).context(failed("write", &path))?;
        serde_json::to_writer_pretty(file, &of_kind).context(JsonSnafu)?;
    }
    Ok(())
}
