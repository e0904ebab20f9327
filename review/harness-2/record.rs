//! The record of a run: what was sent, answered and run.

use std::{
    fs::File,
    io::{self, Write},
    time::Instant,
};

pub struct Record {
    file: File,
    start: Instant,
}

impl Record {
    pub fn create(path: &str) -> io::Result<Self> {
        Ok(Self {
            file: File::create(path)?,
            start: Instant::now(),
        })
    }

    pub fn line(&mut self, text: &str) {
        self.line_at(Instant::now(), text);
    }

    pub fn line_at(&mut self, at: Instant, text: &str) {
        let ms = at.saturating_duration_since(self.start).as_millis();
        // A record that can't be written shows in the missing lines.
        let _written = writeln!(self.file, "{ms:6} ms  {text}");
    }
}
