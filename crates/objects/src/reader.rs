//! Reads a set of objects from a directory of JSON files.
//!
//! Files are read in the order of their paths, so that the same directory always gives the
//! same set and the same errors. Files and directories whose names start with a dot are
//! skipped, because version control keeps its data there; so are files whose extension is
//! not `.json`.

use crate::{Kind, ObjectSet, ReadError, ReadFault, parse};
use core::fmt;
use serde::Serialize;
use std::{
    collections::BTreeMap,
    fs::{self, File},
    io::{self, Read},
    path::{Path, PathBuf},
};

/// Size of the largest file that is read; a larger set is split into several files.
pub const MAX_FILE_BYTES: u64 = 1 << 20;

/// Largest number of files and directories that are visited.
const MAX_ENTRIES: usize = 20_000;

/// Largest depth of nested directories, which also bounds a cycle of symbolic links.
const MAX_DIR_DEPTH: usize = 16;

/// Location of an object or an error in the files of a set.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Location {
    /// Path of the file, relative to the directory that was read.
    pub file: PathBuf,
    /// Position in the file's list, counted from zero; `None` for the whole file, also if the file
    /// is a single object.
    pub index: Option<usize>,
}

impl Location {
    /// The location of a whole file.
    pub fn file(file: &Path) -> Self {
        Self {
            file: file.to_owned(),
            index: None,
        }
    }

    /// The location of an item of a file's list.
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

/// A set with the location of each of its objects.
#[derive(Clone, Debug, Default)]
pub struct LocatedSet {
    /// The set.
    pub set: ObjectSet,
    locations: BTreeMap<(Kind, usize), Location>,
}

impl LocatedSet {
    /// Location of the object at a position of the set's list of one kind.
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

/// Reads the set of objects in a directory.
///
/// Fails with all errors of all files if any file or object cannot be read.
pub fn read_dir(root: &Path) -> Result<LocatedSet, Vec<ReadError>> {
    let mut walker = DirWalker::default();
    walker.visit_dir(root, Path::new(""), 0);
    let mut files = core::mem::take(&mut walker.files);
    files.sort();
    let mut located = LocatedSet::default();
    for file in &files {
        match read_file(&root.join(file)) {
            Ok(text) => {
                let parsed = parse(file, &text);
                for (location, object) in parsed.objects {
                    located.push(location, object);
                }
                walker.errors.extend(parsed.errors);
            }
            Err(fault) => walker.add_error(file, fault),
        }
    }
    if walker.errors.is_empty() {
        return Ok(located);
    }
    walker.errors.sort_by(|a, b| a.location.cmp(&b.location));
    Err(walker.errors)
}

#[derive(Default)]
struct DirWalker {
    entry_count: usize,
    files: Vec<PathBuf>,
    errors: Vec<ReadError>,
}

impl DirWalker {
    fn add_error(&mut self, file: &Path, fault: ReadFault) {
        let path = if file.as_os_str().is_empty() {
            Path::new(".")
        } else {
            file
        };
        self.errors.push(ReadError {
            location: Location::file(path),
            kind: None,
            name: None,
            field: None,
            fault,
        });
    }

    fn visit_dir(&mut self, root: &Path, dir: &Path, depth: usize) {
        let entries = match fs::read_dir(root.join(dir)) {
            Ok(entries) => entries,
            Err(error) => return self.add_error(dir, unreadable(&error)),
        };
        for entry in entries {
            match entry {
                Ok(entry) => self.visit_entry(root, dir, &entry, depth),
                Err(error) => self.add_error(dir, unreadable(&error)),
            }
        }
    }

    fn visit_entry(&mut self, root: &Path, dir: &Path, entry: &fs::DirEntry, depth: usize) {
        let name = entry.file_name();
        if name.as_encoded_bytes().starts_with(b".") {
            return;
        }
        self.entry_count += 1;
        if self.entry_count > MAX_ENTRIES || depth == MAX_DIR_DEPTH {
            if self.entry_count == MAX_ENTRIES + 1 || depth == MAX_DIR_DEPTH {
                self.add_error(dir, ReadFault::TooMany { limit: MAX_ENTRIES });
            }
            return;
        }
        let path = dir.join(name);
        match fs::metadata(root.join(&path)) {
            Ok(metadata) if metadata.is_dir() => self.visit_dir(root, &path, depth + 1),
            Ok(_) if !is_json(&path) => {}
            Ok(metadata) if metadata.is_file() => self.files.push(path),
            Ok(_) => self.add_error(&path, unreadable(&io::ErrorKind::InvalidInput.into())),
            Err(error) => self.add_error(&path, unreadable(&error)),
        }
    }
}

fn is_json(path: &Path) -> bool {
    path.extension()
        .is_some_and(|extension| extension == "json")
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
            bytes: fs::metadata(path).map_or(bytes, |metadata| metadata.len()),
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
