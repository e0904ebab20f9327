//! `poplarctl journal`.
//!
//! Reads the journal of measured runs and prints their scores as a page of Markdown, oldest
//! first, so that the page of results is made anew by one command. Entries that can't be read
//! are named rather than passed over.

use crate::{
    error::{FileSnafu, ToolError},
    exit::Exit,
    output::Output,
};
use serde::{Deserialize, Serialize};
use snafu::ResultExt as _;
use std::{
    collections::BTreeMap,
    fs,
    path::{Path, PathBuf},
};

#[derive(Debug, clap::Args)]
pub(crate) struct Args {
    /// The folder of the journal
    #[arg(default_value = "journal")]
    folder: PathBuf,
}

/// A measured run.
#[derive(Debug, Serialize, Deserialize)]
struct Entry {
    id: String,
    at: Vec<String>,
    cmd: String,
    #[serde(default)]
    why: Option<String>,
    site: Option<String>,
    score: Option<f64>,
    #[serde(default)]
    days: Vec<Day>,
}

/// A day of a run.
#[derive(Debug, Serialize, Deserialize)]
struct Day {
    name: Option<String>,
    slot: Option<String>,
    /// Credit less prices.
    #[serde(rename = "G")]
    worth: Option<f64>,
    #[serde(default)]
    rules: BTreeMap<String, serde_json::Value>,
}

impl Args {
    pub(crate) fn run(&self, output: &mut Output<'_>) -> Result<Exit, ToolError> {
        let (entries, unreadable) = read(&self.folder)?;
        let scores: Vec<Entry> = entries
            .into_iter()
            .filter(|entry| entry.cmd == "score" && entry.score.is_some())
            .collect();
        if output.is_json() {
            output.value(&scores)?;
        } else {
            print(&scores, output)?;
        }
        for name in &unreadable {
            output.note(&format!("\nNot readable: {name}"))?;
        }
        Ok(Exit::Success)
    }
}

fn read(folder: &Path) -> Result<(Vec<Entry>, Vec<String>), ToolError> {
    let path = folder.display().to_string();
    let step = "read the journal in";
    let listing = fs::read_dir(folder).context(FileSnafu {
        step,
        path: path.clone(),
    })?;
    let mut files: Vec<PathBuf> = listing.flatten().map(|entry| entry.path()).collect();
    files.retain(|file| file.extension().is_some_and(|kind| kind == "json"));
    files.sort();
    let mut entries = Vec::new();
    let mut unreadable = Vec::new();
    for file in files {
        let text = fs::read_to_string(&file).context(FileSnafu {
            step,
            path: file.display().to_string(),
        })?;
        match serde_json::from_str(&text) {
            Ok(entry) => entries.push(entry),
            Err(error) => unreadable.push(format!("{}: {error}", file.display())),
        }
    }
    Ok((entries, unreadable))
}

fn print(scores: &[Entry], output: &mut Output<'_>) -> Result<(), ToolError> {
    output.line("# Results on the operators' platform\n")?;
    output
        .line("Made by `cargo run --release --bin poplarctl -- journal`. Figures are `worth`:")?;
    output.line("credit less prices; a day with a broken rule counts nothing, and names it.")?;
    let mut sites: Vec<&str> = scores.iter().filter_map(|e| e.site.as_deref()).collect();
    sites.sort_unstable();
    sites.dedup();
    for site in sites {
        output.line(format!("\n## {site}\n"))?;
        output.line("| run | why | score | days |\n|---|---|---|---|")?;
        for entry in scores
            .iter()
            .filter(|entry| entry.site.as_deref() == Some(site))
        {
            let days: Vec<String> = entry.days.iter().map(day).collect();
            output.line(format!(
                "| {} {} | {} | {:.3} | {} |",
                entry.at.first().map_or("", String::as_str),
                entry.id,
                entry.why.as_deref().unwrap_or(""),
                entry.score.unwrap_or(0.0),
                days.join(", "),
            ))?;
        }
    }
    Ok(())
}

fn day(day: &Day) -> String {
    let name = day.name.as_deref().unwrap_or("?");
    let worth = day
        .worth
        .map_or_else(|| "?".to_owned(), |worth| format!("{worth:.3}"));
    let broken: Vec<&str> = day.rules.keys().map(String::as_str).collect();
    if broken.is_empty() {
        format!("{name} {worth}")
    } else {
        format!("{name} {worth} (broken: {})", broken.join(", "))
    }
}
