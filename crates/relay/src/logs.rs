//! Structured lines on the standard output.
//!
//! Lines go into a buffer of bounded size and rate; a thread of its own writes it out in batches.
//! No task ever waits for the output: a line that finds no room is dropped and counted, and the
//! count is written as soon as there is room.

use core::time::Duration;
use std::{
    io::{self, Write},
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
    thread,
    time::Instant,
};
use tracing_subscriber::{EnvFilter, fmt::MakeWriter};

/// Bytes that may wait to be written.
const WAITING_BYTES: usize = 256 << 10;
/// Bytes that may be written in a second, on average.
const BYTES_PER_SECOND: f64 = 64.0 * 1024.0;
/// Time for which lines are collected.
const BATCH: Duration = Duration::from_millis(250);
/// Bytes that are written at once: a pipe takes so many whole, also from several writers.
const PIECE_BYTES: usize = 4_096;
/// Time that the end of the process waits for the last lines.
const FLUSH_WITHIN: Duration = Duration::from_millis(150);
/// Time between attempts to write to an output that is full; a tenth of a batch.
const FULL_WAIT: Duration = Duration::from_millis(25);

#[derive(Debug)]
struct Waiting {
    bytes: Vec<u8>,
    dropped: u64,
    allowance: f64,
    refilled: Instant,
    writing: bool,
}

#[derive(Debug)]
struct Buffer {
    waiting: Mutex<Waiting>,
    filled: Condvar,
    written: Condvar,
}

/// Hands lines to the writing thread.
#[derive(Clone, Debug)]
pub struct LogWriter(Arc<Buffer>);

impl LogWriter {
    /// Starts the writing thread.
    pub fn start(output: impl Write + Send + 'static) -> Self {
        let buffer = Arc::new(Buffer {
            waiting: Mutex::new(Waiting {
                bytes: Vec::new(),
                dropped: 0,
                allowance: WAITING_BYTES as f64,
                refilled: Instant::now(),
                writing: false,
            }),
            filled: Condvar::new(),
            written: Condvar::new(),
        });
        let writer = Self(buffer);
        let other = writer.clone();
        thread::spawn(move || other.drain(output));
        writer
    }

    /// Waits a short time for the lines to be written.
    pub fn flush(&self) {
        let waiting = self.lock();
        let done = |w: &mut Waiting| w.writing || !w.bytes.is_empty();
        // Lines that aren't out by now are lost with the process, as after a kill.
        let _late = self
            .0
            .written
            .wait_timeout_while(waiting, FLUSH_WITHIN + BATCH, done);
    }

    fn lock(&self) -> MutexGuard<'_, Waiting> {
        self.0
            .waiting
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn take(&self, line: &[u8]) {
        let mut waiting = self.lock();
        let gone = waiting.refilled.elapsed().as_secs_f64();
        waiting.refilled = Instant::now();
        let filled = waiting.allowance + gone * BYTES_PER_SECOND;
        waiting.allowance = filled.min(WAITING_BYTES as f64);
        let room = waiting.bytes.len() + line.len() <= WAITING_BYTES;
        if !room || waiting.allowance < line.len() as f64 {
            waiting.dropped += 1;
            return;
        }
        waiting.allowance -= line.len() as f64;
        let idle = waiting.bytes.is_empty();
        waiting.bytes.extend_from_slice(line);
        drop(waiting);
        if idle {
            self.0.filled.notify_one();
        }
    }

    fn drain(&self, mut output: impl Write) {
        loop {
            let waiting = self.lock();
            let empty = |w: &mut Waiting| w.bytes.is_empty();
            let waiting = self.0.filled.wait_while(waiting, empty);
            drop(waiting.unwrap_or_else(PoisonError::into_inner));
            thread::sleep(BATCH);
            let mut waiting = self.lock();
            let bytes = core::mem::take(&mut waiting.bytes);
            let dropped = core::mem::take(&mut waiting.dropped);
            waiting.writing = true;
            drop(waiting);
            let mut lost = write_lines(&mut output, &bytes);
            if dropped > 0 {
                let line = format!(
                    "{{\"level\":\"WARN\",\"event\":\"lines_dropped\",\"lines\":{dropped}}}\n"
                );
                lost += write_lines(&mut output, line.as_bytes());
            }
            let mut waiting = self.lock();
            waiting.dropped += lost;
            waiting.writing = false;
            drop(waiting);
            self.0.written.notify_all();
        }
    }
}

/// Writes lines to an output that may take them in pieces; returns how many it did not take.
fn write_lines(output: &mut impl Write, lines: &[u8]) -> u64 {
    let mut rest = lines;
    while !rest.is_empty() {
        let whole = whole_lines(rest);
        match when_free(|| output.write(whole)) {
            Ok(taken) if taken > 0 => rest = &rest[taken..],
            // Nobody reads the output. What is lost is counted; the next batch tries again.
            Ok(_) | Err(_) => return rest.split(|byte| *byte == b'\n').count() as u64 - 1,
        }
    }
    // The output's own buffer may hold the end of the last line.
    u64::from(when_free(|| output.flush()).is_err())
}

/// As many lines from the first on as fit into one piece, but at least one.
fn whole_lines(lines: &[u8]) -> &[u8] {
    let fitting = &lines[..lines.len().min(PIECE_BYTES)];
    let end = fitting.iter().rposition(|byte| *byte == b'\n');
    let end = end.or_else(|| lines.iter().position(|byte| *byte == b'\n'));
    end.map_or(lines, |end| &lines[..=end])
}

/// Repeats a step while the output is full.
fn when_free<T>(mut step: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    loop {
        match step() {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => thread::sleep(FULL_WAIT),
            done => return done,
        }
    }
}

/// Collects one line.
#[derive(Debug)]
pub struct Line<'a> {
    writer: &'a LogWriter,
}

impl Write for Line<'_> {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.writer.take(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl<'a> MakeWriter<'a> for LogWriter {
    type Writer = Line<'a>;

    fn make_writer(&'a self) -> Self::Writer {
        Line { writer: self }
    }
}

/// Sends all log lines, as JSON, to the standard output.
pub fn init_logs() -> LogWriter {
    let writer = LogWriter::start(io::stdout());
    tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_target(false)
        .with_env_filter(EnvFilter::try_from_default_env().unwrap_or_else(|_| "info".into()))
        .with_writer(writer.clone())
        .init();
    writer
}
