//! Forwarding of a response as it arrives, and resumption on another endpoint after a failure.
//!
//! The queue of data for the caller is short, so that a caller that reads slowly slows down its
//! endpoint. Of a resumable stream, only complete events are forwarded; if its endpoint closes the
//! connection early or sends nothing for too long, another endpoint continues after the last
//! forwarded event. If any other response is incomplete, the caller's connection is closed.

use crate::{
    attempt::{EndpointResponse, UnreadResponse},
    call_forwarder::CallForwarder,
    clock,
    events::{EventBuffer, EventScanner},
    reply::{Chunks, IncompleteBody},
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

/// Maximum number of chunks that wait until the caller reads them.
const QUEUE_LEN: usize = 4;
/// Multiple of the route's maximum gap after which a resumable stream continues on another
/// endpoint.
const MAX_GAP_FACTOR: u32 = 4;
/// Time without data after which a resumable stream continues on another endpoint, if the route has
/// no maximum gap.
const DEFAULT_MAX_SILENCE: Duration = Duration::from_secs(2);

/// Starts to forward a response; returns its head and the chunks of its body.
pub(crate) fn start(
    mut forwarder: CallForwarder,
    mut unread: UnreadResponse,
) -> (response::Parts, Chunks) {
    let (sender, chunks) = mpsc::channel(QUEUE_LEN);
    let (mut head, ()) = http::Response::new(()).into_parts();
    core::mem::swap(&mut head, &mut unread.head);
    forwarder.record.status = head.status.as_u16();
    let outcome = outcome_of(head.status);
    tokio::spawn(async move {
        let resumable = forwarder.request.route.kind == RouteKind::Stream { resumable: true };
        if !resumable {
            forwarder.release_request();
        }
        let is_stream = forwarder.request.route.kind.is_stream();
        let mut stream = StreamForwarder {
            forwarder,
            sender,
            scanner: is_stream.then(EventScanner::default),
            events: resumable.then(EventBuffer::default),
        };
        let status = stream.forwarder.record.status;
        match stream.run(unread).await {
            StreamEnd::Complete => stream.forwarder.record.set_outcome(outcome, status),
            StreamEnd::CallerLeft => {}
            StreamEnd::Broken => {
                stream.forwarder.record.set_outcome("broken_off", status);
                // Fails if the caller has closed its connection.
                let _closed = stream.sender.send(Err(IncompleteBody)).await;
            }
        }
    });
    (head, chunks)
}

/// How the forwarding of a response ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StreamEnd {
    Complete,
    CallerLeft,
    Broken,
}

/// How the forwarding of the data from one endpoint ended.
#[derive(Debug)]
enum SegmentEnd {
    Complete,
    CallerLeft,
    DeadlineExceeded,
    Broken(String),
}

#[derive(Debug)]
struct StreamForwarder {
    forwarder: CallForwarder,
    sender: mpsc::Sender<Result<Bytes, IncompleteBody>>,
    /// Set if the route is a stream.
    scanner: Option<EventScanner>,
    /// Set if the stream is resumable.
    events: Option<EventBuffer>,
}

impl StreamForwarder {
    async fn run(&mut self, mut unread: UnreadResponse) -> StreamEnd {
        loop {
            let key = unread.open_call.key();
            let end = self.forward_segment(&mut unread).await;
            let record = &mut self.forwarder.record;
            record.partial = self.scanner.as_ref().map(EventScanner::partial_len);
            let cause = match end {
                SegmentEnd::Complete => {
                    self.forwarder.shared.return_connection(
                        key,
                        unread.sender,
                        unread.idle_timeout,
                    );
                    return StreamEnd::Complete;
                }
                SegmentEnd::CallerLeft => return StreamEnd::CallerLeft,
                SegmentEnd::DeadlineExceeded => {
                    "the deadline of the call has passed"
                        .clone_into(&mut self.forwarder.record.cause);
                    return StreamEnd::Broken;
                }
                SegmentEnd::Broken(cause) => cause,
            };
            // Closes the connection, so that the endpoint stops before another one continues.
            drop(unread);
            self.forwarder.record_failure(key);
            self.forwarder.record.cause = cause;
            match self.resume(key).await {
                Some(next) => unread = next,
                None => return StreamEnd::Broken,
            }
        }
    }

    /// Forwards the data from one endpoint.
    async fn forward_segment(&mut self, unread: &mut UnreadResponse) -> SegmentEnd {
        let deadline = Instant::now() + self.forwarder.request.deadline.since(clock::now());
        let max_silence = self
            .forwarder
            .request
            .route
            .max_gap
            .map_or(DEFAULT_MAX_SILENCE, |max_gap| max_gap * MAX_GAP_FACTOR);
        loop {
            let silent_at = match &self.events {
                Some(_) => Instant::now() + max_silence,
                None => deadline,
            };
            let frame = tokio::select! {
                biased;
                () = self.sender.closed() => return SegmentEnd::CallerLeft,
                frame = unread.body.frame() => frame,
                () = sleep_until(deadline.min(silent_at)) => {
                    if self.forwarder.request.deadline <= clock::now() {
                        return SegmentEnd::DeadlineExceeded;
                    }
                    return SegmentEnd::Broken(format!("no data for {} ms", max_silence.as_millis()));
                }
            };
            let bytes = match frame {
                None => return self.finish().await,
                Some(Err(error)) => {
                    return SegmentEnd::Broken(format!("the response is incomplete: {error}"));
                }
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(bytes) => bytes,
                    // Trailers are not forwarded; they concern a single connection.
                    Err(_trailers) => continue,
                },
            };
            unread.open_call.record_first_event();
            self.forwarder.record.record_first_byte(clock::now());
            self.forwarder.record.received += bytes.len() as u64;
            if let Some(scanner) = &mut self.scanner {
                scanner.push(&bytes);
            }
            let bytes = match &mut self.events {
                Some(events) => match events.push(&bytes) {
                    Some(complete) => complete,
                    None => continue,
                },
                None => bytes,
            };
            if self.sender.send(Ok(bytes)).await.is_err() {
                return SegmentEnd::CallerLeft;
            }
        }
    }

    /// Forwards the data after the last complete event.
    async fn finish(&mut self) -> SegmentEnd {
        if let Some(partial) = self.events.as_mut().and_then(EventBuffer::take_partial)
            && self.sender.send(Ok(partial)).await.is_err()
        {
            return SegmentEnd::CallerLeft;
        }
        SegmentEnd::Complete
    }

    /// Resumes the stream on another endpoint, if the route and the retry budget allow it.
    async fn resume(&mut self, key: poplarswitch_ingress::EndpointKey) -> Option<UnreadResponse> {
        let events = self.events.as_mut()?;
        events.discard_partial();
        self.scanner = Some(EventScanner::default());
        let last = events.last_id().map(str::to_owned);
        let now = clock::now();
        let forwarder = &mut self.forwarder;
        forwarder.attempts.maybe_run += 1;
        forwarder.attempts.total += 1;
        forwarder.tried.push(key);
        let time_left = forwarder.request.deadline.since(now);
        if forwarder.attempts.maybe_run >= forwarder.request.route.max_attempts
            || time_left.is_zero()
            || !forwarder.charge_retry(now)
        {
            return None;
        }
        forwarder.record.resumed += 1;
        tracing::info!(
            event = "resumes",
            id = &*forwarder.request.call.id,
            last,
            cause = forwarder.record.cause,
            left_ms = time_left.as_millis() as u64,
            "stream"
        );
        let response = forwarder.run(last.as_deref()).await;
        match response {
            Ok(EndpointResponse::Streaming(unread)) if unread.head.status.is_success() => {
                Some(*unread)
            }
            Ok(_) => None,
            Err(failure) => {
                failure
                    .code
                    .as_str()
                    .clone_into(&mut forwarder.record.cause);
                None
            }
        }
    }
}
