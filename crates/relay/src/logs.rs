//! Structured log lines on the standard output.
//!
//! Lines are added to a buffer that is limited in size and rate; a separate thread writes the
//! buffer in batches. No task ever waits for the output: a line that exceeds the limits is dropped
//! and counted, and the count is written with the next batch.

use core::time::Duration;
use std::{
    io::{self, Write},
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
    thread,
    time::Instant,
};
use tracing_subscriber::{EnvFilter, fmt::MakeWriter};

/// Maximum size of the buffer, and of a burst of lines.
const MAX_PENDING_BYTES: usize = 256 << 10;
/// Average rate limit of lines, in bytes per second.
const BYTES_PER_SECOND: f64 = 64.0 * 1024.0;
/// Time for which lines are collected into a batch.
const BATCH_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum size of a write, except for a longer line; a pipe keeps writes up to this size together,
/// also with several writers.
const MAX_WRITE_BYTES: usize = 4_096;
/// Time for which the end of the process waits for the last lines, in addition to one batch.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(150);
/// Delay between attempts to write to an output that is full; a tenth of [`BATCH_INTERVAL`].
const RETRY_DELAY: Duration = Duration::from_millis(25);

#[derive(Debug)]
struct Pending {
    /// Lines that wait for the next batch.
    bytes: Vec<u8>,
    /// Number of dropped and lost lines that have not been reported yet.
    dropped: u64,
    /// Number of bytes that may be added now, by the rate limit.
    allowance: f64,
    refilled_at: Instant,
    /// Whether the writer thread is writing a batch.
    writing: bool,
}

#[derive(Debug)]
struct Buffer {
    pending: Mutex<Pending>,
    data_ready: Condvar,
    written: Condvar,
}

/// Passes lines to the writer thread.
#[derive(Clone, Debug)]
pub struct LogWriter(Arc<Buffer>);

impl LogWriter {
    /// Starts the writer thread.
    pub fn start(output: impl Write + Send + 'static) -> Self {
        let buffer = Arc::new(Buffer {
            pending: Mutex::new(Pending {
                bytes: Vec::new(),
                dropped: 0,
                allowance: MAX_PENDING_BYTES as f64,
                refilled_at: Instant::now(),
                writing: false,
            }),
            data_ready: Condvar::new(),
            written: Condvar::new(),
        });
        let writer = Self(buffer);
        let thread_writer = writer.clone();
        thread::spawn(move || thread_writer.drain(output));
        writer
    }

    /// Waits for a limited time until all lines are written.
    pub fn flush(&self) {
        let pending = self.lock();
        let unfinished = |pending: &mut Pending| pending.writing || !pending.bytes.is_empty();
        // Lines that are not written by then are lost with the process, as after a kill.
        let _timed_out =
            self.0
                .written
                .wait_timeout_while(pending, FLUSH_TIMEOUT + BATCH_INTERVAL, unfinished);
    }

    fn lock(&self) -> MutexGuard<'_, Pending> {
        self.0
            .pending
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a line to the buffer, or drops it if it exceeds the limits.
    fn push(&self, line: &[u8]) {
        let mut pending = self.lock();
        let elapsed = pending.refilled_at.elapsed().as_secs_f64();
        pending.refilled_at = Instant::now();
        let refilled = pending.allowance + elapsed * BYTES_PER_SECOND;
        pending.allowance = refilled.min(MAX_PENDING_BYTES as f64);
        let fits = pending.bytes.len() + line.len() <= MAX_PENDING_BYTES;
        if !fits || pending.allowance < line.len() as f64 {
            pending.dropped += 1;
            return;
        }
        pending.allowance -= line.len() as f64;
        let was_empty = pending.bytes.is_empty();
        pending.bytes.extend_from_slice(line);
        drop(pending);
        if was_empty {
            self.0.data_ready.notify_one();
        }
    }

    /// Writes the buffer to the output in batches until the process exits.
    fn drain(&self, mut output: impl Write) {
        loop {
            let pending = self.lock();
            let empty = |pending: &mut Pending| pending.bytes.is_empty();
            let pending = self.0.data_ready.wait_while(pending, empty);
            drop(pending.unwrap_or_else(PoisonError::into_inner));
            thread::sleep(BATCH_INTERVAL);
            let mut pending = self.lock();
            let bytes = core::mem::take(&mut pending.bytes);
            let dropped = core::mem::take(&mut pending.dropped);
            pending.writing = true;
            drop(pending);
            let mut lost = write_lines(&mut output, &bytes);
            if dropped > 0 {
                let line = format!(
                    "{{\"level\":\"WARN\",\"event\":\"lines_dropped\",\"lines\":{dropped}}}\n"
                );
                lost += write_lines(&mut output, line.as_bytes());
            }
            let mut pending = self.lock();
            pending.dropped += lost;
            pending.writing = false;
            drop(pending);
            self.0.written.notify_all();
        }
    }
}

/// Writes lines to an output that may accept partial writes; returns the number of lines that were
/// not written completely.
fn write_lines(output: &mut impl Write, lines: &[u8]) -> u64 {
    let mut remaining = lines;
    while !remaining.is_empty() {
        let chunk = next_lines(remaining);
        match retry_when_full(|| output.write(chunk)) {
            Ok(written) if written > 0 => remaining = &remaining[written..],
            // Nobody reads the output. The lost lines are counted, and writing is tried again with
            // the next batch.
            Ok(_) | Err(_) => return remaining.split(|byte| *byte == b'\n').count() as u64 - 1,
        }
    }
    // The output may have buffered the end of the last line.
    u64::from(retry_when_full(|| output.flush()).is_err())
}

/// Returns as many of the first lines as fit into one write, but at least one.
fn next_lines(lines: &[u8]) -> &[u8] {
    let prefix = &lines[..lines.len().min(MAX_WRITE_BYTES)];
    let end = prefix.iter().rposition(|byte| *byte == b'\n');
    let end = end.or_else(|| lines.iter().position(|byte| *byte == b'\n'));
    end.map_or(lines, |end| &lines[..=end])
}

/// Repeats an operation while the output is full.
fn retry_when_full<T>(mut operation: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    loop {
        match operation() {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => thread::sleep(RETRY_DELAY),
            result => return result,
        }
    }
}

/// Writer of one log line.
#[derive(Debug)]
pub struct Line<'a> {
    writer: &'a LogWriter,
}

impl Write for Line<'_> {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.writer.push(buf);
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

/// Writes all log lines as JSON to the standard output.
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
