//! The record of a case: one line for each thing that was sent, answered or run, with its time.

use std::{
    fs::File,
    io::{self, Write as _},
    path::Path,
    sync::Mutex,
    time::{Duration, Instant},
};

pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Self {
            start: Instant::now(),
            file: Mutex::new(File::create(path)?),
        })
    }

    /// Time since the start of the case.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Writes a line of the stand-in or process `who`.
    pub fn line(&self, who: &str, what: &str) {
        let line = format!("{:9.3} s  {who:<12} {what}\n", self.now().as_secs_f64());
        let mut file = self.file.lock().unwrap();
        // A record that can't be written shows in the file itself.
        let _ = file.write_all(line.as_bytes());
        if who == "verdict" || who == "harness" {
            print!("{line}");
        }
    }
}
