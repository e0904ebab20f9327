//! Passes an open answer on as it comes, and goes on elsewhere when its endpoint fails.
//!
//! Bytes are passed on as they arrive, with a short queue to the caller, so a caller that reads
//! slowly slows its endpoint. A stream that may be resumed is cut into whole events; when its
//! endpoint breaks off or falls silent, another one goes on after the last event that was passed
//! on. Any other answer that breaks off ends the caller's connection.

use crate::{
    attempt::{Answer, Open},
    clock,
    events::Events,
    job::Job,
    reply::{BrokenOff, Pieces},
    serve::outcome_of,
};
use bytes::Bytes;
use core::time::Duration;
use http::response;
use http_body_util::BodyExt as _;
use poplarswitch_ingress::RouteKind;
use tokio::{
    sync::mpsc,
    time::{Instant, sleep_until},
};

/// Pieces that may wait for the caller to read.
const QUEUE: usize = 4;
/// Multiple of the longest pause after which a resumable stream goes on elsewhere.
const SILENT_PAUSES: u32 = 4;
/// The same where the route states no pause.
const SILENT: Duration = Duration::from_secs(2);

/// Starts to pass an answer on; returns its head and its pieces.
pub(crate) fn start(mut job: Job, mut open: Open) -> (response::Parts, Pieces) {
    let (sender, pieces) = mpsc::channel(QUEUE);
    let (mut head, ()) = http::Response::new(()).into_parts();
    core::mem::swap(&mut head, &mut open.head);
    job.record.status = head.status.as_u16();
    let outcome = outcome_of(head.status);
    tokio::spawn(async move {
        let resumable = job.task.route.kind == RouteKind::Stream { resumable: true };
        if !resumable {
            job.release_request();
        }
        let mut pump = Pump {
            job,
            sender,
            events: resumable.then(Events::default),
        };
        let status = pump.job.record.status;
        match pump.run(open).await {
            End::Whole => pump.job.record.end(outcome, status),
            End::CallerLeft => {}
            End::Broken => {
                pump.job.record.end("broken_off", status);
                // The caller has left if this fails.
                let _gone = pump.sender.send(Err(BrokenOff)).await;
            }
        }
    });
    (head, pieces)
}

/// How an answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Whole,
    CallerLeft,
    Broken,
}

/// How the part of one endpoint ended.
#[derive(Debug)]
enum Part {
    Whole,
    CallerLeft,
    Overdue,
    Broken(String),
}

#[derive(Debug)]
struct Pump {
    job: Job,
    sender: mpsc::Sender<Result<Bytes, BrokenOff>>,
    /// Set if the stream may go on elsewhere.
    events: Option<Events>,
}

impl Pump {
    async fn run(&mut self, mut open: Open) -> End {
        loop {
            let key = open.seat.key();
            let cause = match self.part(&mut open).await {
                Part::Whole => {
                    self.job.shared.keep(key, open.sender, open.keep);
                    return End::Whole;
                }
                Part::CallerLeft => return End::CallerLeft,
                Part::Overdue => {
                    "the time of the call is over".clone_into(&mut self.job.record.cause);
                    return End::Broken;
                }
                Part::Broken(cause) => cause,
            };
            // Closes the connection, so the endpoint stops before another one goes on.
            drop(open);
            self.job.note_failure(key);
            self.job.record.cause = cause;
            match self.resume(key).await {
                Some(next) => open = next,
                None => return End::Broken,
            }
        }
    }

    /// Passes on what one endpoint sends.
    async fn part(&mut self, open: &mut Open) -> Part {
        let until = Instant::now() + self.job.task.until.since(clock::now());
        let silence = self
            .job
            .task
            .route
            .max_gap
            .map_or(SILENT, |pause| pause * SILENT_PAUSES);
        loop {
            let silent = match &self.events {
                Some(_) => Instant::now() + silence,
                None => until,
            };
            let frame = tokio::select! {
                biased;
                () = self.sender.closed() => return Part::CallerLeft,
                frame = open.body.frame() => frame,
                () = sleep_until(until.min(silent)) => {
                    if self.job.task.until <= clock::now() {
                        return Part::Overdue;
                    }
                    return Part::Broken(format!("silent for {} ms", silence.as_millis()));
                }
            };
            let bytes = match frame {
                None => return self.finish().await,
                Some(Err(error)) => return Part::Broken(format!("the answer broke off: {error}")),
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(bytes) => bytes,
                    // Trailers concern one connection only.
                    Err(_trailers) => continue,
                },
            };
            open.seat.begin();
            self.job.record.begin(clock::now());
            let bytes = match &mut self.events {
                Some(events) => match events.push(&bytes) {
                    Some(whole) => whole,
                    None => continue,
                },
                None => bytes,
            };
            if self.sender.send(Ok(bytes)).await.is_err() {
                return Part::CallerLeft;
            }
        }
    }

    async fn finish(&mut self) -> Part {
        if let Some(rest) = self.events.as_mut().and_then(Events::finish)
            && self.sender.send(Ok(rest)).await.is_err()
        {
            return Part::CallerLeft;
        }
        Part::Whole
    }

    /// Goes on at another endpoint, if the route and the budget allow it.
    async fn resume(&mut self, key: poplarswitch_ingress::EndpointKey) -> Option<Open> {
        let events = self.events.as_mut()?;
        events.restart();
        let last = events.last().map(str::to_owned);
        let now = clock::now();
        let job = &mut self.job;
        job.tries.maybe_run += 1;
        job.tries.total += 1;
        job.tried.push(key);
        let left = job.task.until.since(now);
        if job.tries.maybe_run >= job.task.route.max_attempts || left.is_zero() || !job.pay(now) {
            return None;
        }
        job.record.resumed += 1;
        tracing::info!(
            event = "resumes",
            id = &*job.task.call.id,
            last,
            cause = job.record.cause,
            left_ms = left.as_millis() as u64,
            "stream"
        );
        let answer = job.run(last.as_deref()).await;
        match answer {
            Ok(Answer::Open(open)) if open.head.status.is_success() => Some(*open),
            Ok(_) => None,
            Err(failure) => {
                failure.code.as_str().clone_into(&mut job.record.cause);
                None
            }
        }
    }
}
