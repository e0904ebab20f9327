//! Reads a directory of JSON files.
//!
//! Files are read in the order of their paths, so that the same directory always gives the
//! same set and the same errors. Directories and files whose names start with a dot belong
//! to the version control and are left out, as are files that do not end in `.json`.

use crate::{Kind, ObjectSet, ReadError, ReadFault, parse};
use core::fmt;
use serde::Serialize;
use std::{
    collections::BTreeMap,
    fs::{self, File},
    io::{self, Read},
    path::{Path, PathBuf},
};

/// Largest file that is read; the platform holds no larger set.
pub const MAX_FILE_BYTES: u64 = 1 << 20;

/// Most files and directories that are looked at.
const MAX_ENTRIES: usize = 20_000;

/// Deepest nesting of directories; also ends a cycle of links.
const MAX_DEPTH: usize = 16;

/// Where an object was declared.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Location {
    /// The file, relative to the directory that was read.
    pub file: PathBuf,
    /// Its position in the file's list, from zero; none if the file is one object.
    pub index: Option<usize>,
}

impl Location {
    /// A whole file.
    pub fn file(file: &Path) -> Self {
        Self {
            file: file.to_owned(),
            index: None,
        }
    }

    /// An item of a file's list.
    pub fn item(file: &Path, index: usize) -> Self {
        Self {
            file: file.to_owned(),
            index: Some(index),
        }
    }
}

impl fmt::Display for Location {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.file.display())?;
        match self.index {
            Some(index) => write!(f, "[{index}]"),
            None => Ok(()),
        }
    }
}

/// A set and where each of its objects was declared.
#[derive(Clone, Debug, Default)]
pub struct LocatedSet {
    /// The set.
    pub set: ObjectSet,
    locations: BTreeMap<(Kind, usize), Location>,
}

impl LocatedSet {
    /// Where the object stands that has this position in the set's list of its kind.
    pub fn location(&self, kind: Kind, index: usize) -> Option<&Location> {
        self.locations.get(&(kind, index))
    }

    fn push(&mut self, location: Location, object: crate::Object) {
        let kind = object.kind();
        self.locations
            .insert((kind, self.set.count(kind)), location);
        self.set.push(object);
    }
}

/// Reads every file of a directory, or returns every problem of all of them.
pub fn read_dir(root: &Path) -> Result<LocatedSet, Vec<ReadError>> {
    let mut walk = Walk::default();
    walk.directory(root, Path::new(""), 0);
    let mut files = core::mem::take(&mut walk.files);
    files.sort();
    let mut located = LocatedSet::default();
    for file in &files {
        match read_file(&root.join(file)) {
            Ok(text) => {
                let parsed = parse(file, &text);
                for (location, object) in parsed.objects {
                    located.push(location, object);
                }
                walk.errors.extend(parsed.errors);
            }
            Err(fault) => walk.fail(file, fault),
        }
    }
    if walk.errors.is_empty() {
        return Ok(located);
    }
    walk.errors.sort_by(|a, b| a.location.cmp(&b.location));
    Err(walk.errors)
}

#[derive(Default)]
struct Walk {
    seen: usize,
    files: Vec<PathBuf>,
    errors: Vec<ReadError>,
}

impl Walk {
    fn fail(&mut self, file: &Path, fault: ReadFault) {
        let shown = if file.as_os_str().is_empty() {
            Path::new(".")
        } else {
            file
        };
        self.errors.push(ReadError {
            location: Location::file(shown),
            kind: None,
            name: None,
            field: None,
            fault,
        });
    }

    fn directory(&mut self, root: &Path, inner: &Path, depth: usize) {
        let entries = match fs::read_dir(root.join(inner)) {
            Ok(entries) => entries,
            Err(error) => return self.fail(inner, unreadable(&error)),
        };
        for entry in entries {
            match entry {
                Ok(entry) => self.entry(root, inner, &entry, depth),
                Err(error) => self.fail(inner, unreadable(&error)),
            }
        }
    }

    fn entry(&mut self, root: &Path, inner: &Path, entry: &fs::DirEntry, depth: usize) {
        let name = entry.file_name();
        if name.as_encoded_bytes().starts_with(b".") {
            return;
        }
        self.seen += 1;
        if self.seen > MAX_ENTRIES || depth == MAX_DEPTH {
            if self.seen == MAX_ENTRIES + 1 || depth == MAX_DEPTH {
                self.fail(inner, ReadFault::TooMany { limit: MAX_ENTRIES });
            }
            return;
        }
        let path = inner.join(name);
        match fs::metadata(root.join(&path)) {
            Ok(data) if data.is_dir() => self.directory(root, &path, depth + 1),
            Ok(_) if !is_json(&path) => {}
            Ok(data) if data.is_file() => self.files.push(path),
            Ok(_) => self.fail(&path, unreadable(&io::ErrorKind::InvalidInput.into())),
            Err(error) => self.fail(&path, unreadable(&error)),
        }
    }
}

fn is_json(path: &Path) -> bool {
    path.extension().is_some_and(|ending| ending == "json")
}

fn read_file(path: &Path) -> Result<Vec<u8>, ReadFault> {
    let file = File::open(path).map_err(|error| unreadable(&error))?;
    let mut text = Vec::new();
    file.take(MAX_FILE_BYTES + 1)
        .read_to_end(&mut text)
        .map_err(|error| unreadable(&error))?;
    let bytes = text.len() as u64;
    if bytes > MAX_FILE_BYTES {
        return Err(ReadFault::TooLarge {
            bytes: fs::metadata(path).map_or(bytes, |data| data.len()),
            limit: MAX_FILE_BYTES,
        });
    }
    Ok(text)
}

fn unreadable(error: &io::Error) -> ReadFault {
    ReadFault::Unreadable {
        detail: error.to_string(),
    }
}
