//! Forwarding of a response as it arrives, and resumption on another endpoint after a failure.
//!
//! The queue of data for the caller is short, so that a caller that reads slowly slows down its
//! endpoint. A response is incomplete if its framing is, if it is a stream and ends inside an event,
//! or if it has neither a length nor chunks and its connection ends right after the head. Of a
//! resumable stream, only complete events are forwarded; if it is incomplete or nothing arrives for
//! too long, another endpoint continues after the last forwarded event, if one can; see
//! [`crate::handover`]. If any other response is incomplete, the caller's connection ends without the
//! end of the response.
//!
//! The end of a response with neither a length nor chunks is only as certain as the end of its
//! connection. It is forwarded with the same framing, so that it looks no more complete to the caller
//! than to this VM.

use crate::{
    attempt::{EndpointResponse, PendingAttempt, UnreadResponse},
    call_forwarder::CallForwarder,
    clock,
    events::{BodyContent, EventBuffer, ResumePoint},
    forwarding::ForwardedResponse,
    handover::{Awaited, Handover},
    reply::{BodyPart, BodyParts},
    serve::outcome_of,
    usage,
};
use core::{pin::pin, time::Duration};
use http::{StatusCode, header, response};
use http_body_util::BodyExt as _;
use poplarswitch_ingress::{
    EndedBody, EndpointKey, EventScanner, Framing, RouteKind, SURVIVAL_TIME,
};
use tokio::{
    sync::mpsc,
    time::{Instant, sleep_until},
};

/// Media type of a stream of events.
const EVENT_STREAM: &[u8] = b"text/event-stream";
/// Maximum number of parts of a body that wait until the caller reads them.
const QUEUE_LEN: usize = 4;
/// Multiple of the route's maximum gap after which a resumable stream continues on another
/// endpoint.
const MAX_GAP_FACTOR: u32 = 4;
/// Time without data after which a resumable stream continues on another endpoint, if the route has
/// no maximum gap.
const DEFAULT_MAX_SILENCE: Duration = Duration::from_secs(2);

/// Starts to forward a response; returns its head and the parts of its body.
pub(crate) fn start(
    forwarder: CallForwarder,
    mut unread: UnreadResponse,
) -> (response::Parts, BodyParts) {
    let head = take_head(&mut unread.head);
    let (mut stream, parts) = StreamForwarder::new(forwarder, &head, unread.framing);
    tokio::spawn(async move {
        let end = stream.run(unread).await;
        stream.finish(end).await;
    });
    (head, parts)
}

/// Starts to forward a response that another VM passes on.
pub(crate) fn start_forwarded(
    forwarder: CallForwarder,
    mut response: ForwardedResponse,
) -> (response::Parts, BodyParts) {
    let head = take_head(&mut response.head);
    let (mut stream, parts) = StreamForwarder::new(forwarder, &head, response.framing);
    tokio::spawn(async move {
        let end = stream.run_forwarded(response).await;
        stream.finish(end).await;
    });
    (head, parts)
}

fn take_head(head: &mut response::Parts) -> response::Parts {
    let (empty, ()) = http::Response::new(()).into_parts();
    core::mem::replace(head, empty)
}

/// Whether the body of a response consists of events.
pub(crate) fn has_events(kind: RouteKind, head: &response::Parts) -> bool {
    let other_type = head
        .headers
        .get(header::CONTENT_TYPE)
        .is_some_and(|value| !value.as_bytes().starts_with(EVENT_STREAM));
    kind.is_stream() && head.status.is_success() && !other_type
}

fn content_of(kind: RouteKind, head: &response::Parts) -> BodyContent {
    if !has_events(kind, head) {
        BodyContent::Opaque
    } else if kind == (RouteKind::Stream { resumable: true }) {
        BodyContent::Resumable(EventBuffer::default())
    } else {
        BodyContent::Events(EventScanner::default())
    }
}

/// End of the forwarding of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StreamEnd {
    Complete,
    CallerLeft,
    Broken,
}

/// End of the forwarding of the data from one endpoint.
#[derive(Debug)]
pub(crate) enum SegmentEnd {
    Complete,
    CallerLeft,
    DeadlineExceeded,
    /// Another endpoint has begun to continue the stream.
    Replaced(Box<UnreadResponse>),
    /// Another endpoint has been asked to continue the stream.
    Moved(Box<PendingAttempt>),
    /// This VM doesn't reach the endpoints, and another one may continue the stream.
    Lost,
    Broken(String),
}

/// Source from which a stream continues.
#[derive(Debug)]
enum NextSource {
    Endpoint(Box<UnreadResponse>),
    Vm(ForwardedResponse),
}

#[derive(Debug)]
pub(crate) struct StreamForwarder {
    pub(crate) forwarder: CallForwarder,
    pub(crate) sender: mpsc::Sender<BodyPart>,
    pub(crate) content: BodyContent,
    /// Framing of the response to the caller.
    framing: Framing,
}

impl StreamForwarder {
    fn new(
        mut forwarder: CallForwarder,
        head: &response::Parts,
        framing: Framing,
    ) -> (Self, BodyParts) {
        let (sender, parts) = mpsc::channel(QUEUE_LEN);
        forwarder.record.status = head.status.as_u16();
        forwarder.has_begun = true;
        let content = content_of(forwarder.request.route.kind, head);
        if !matches!(content, BodyContent::Resumable(_)) {
            forwarder.release_request();
        }
        let stream = Self {
            forwarder,
            sender,
            content,
            framing,
        };
        (stream, parts)
    }

    /// Records how the forwarding has ended, and ends the response if it is complete.
    async fn finish(&mut self, end: StreamEnd) {
        let record = &mut self.forwarder.record;
        let status = record.status;
        match end {
            StreamEnd::Complete => {
                let code = StatusCode::from_u16(status).unwrap_or_default();
                record.set_outcome(outcome_of(code), status);
                // Fails if the caller has closed its connection.
                let _closed = self.sender.send(BodyPart::End).await;
            }
            StreamEnd::CallerLeft => {}
            StreamEnd::Broken => record.set_outcome("broken_off", status),
        }
    }

    async fn run(&mut self, mut unread: UnreadResponse) -> StreamEnd {
        loop {
            let key = unread.open_call.key();
            let end = self.forward_segment(&mut unread).await;
            let record = &mut self.forwarder.record;
            record.partial = self.content.partial_len();
            let next = match end {
                SegmentEnd::Complete => {
                    let is_success = self.forwarder.record.status < 300;
                    self.forwarder.record_answer(unread.began, is_success);
                    unread.open_call.complete();
                    self.forwarder.shared.return_connection(
                        key,
                        unread.sender,
                        unread.idle_timeout,
                    );
                    return StreamEnd::Complete;
                }
                SegmentEnd::CallerLeft => return StreamEnd::CallerLeft,
                SegmentEnd::DeadlineExceeded => {
                    record.add_cause("the deadline of the call has passed");
                    return StreamEnd::Broken;
                }
                SegmentEnd::Replaced(next) => Ok(*next),
                SegmentEnd::Moved(pending) => Err(Some(*pending)),
                SegmentEnd::Lost => Err(None),
                SegmentEnd::Broken(cause) => {
                    record.cause = cause;
                    self.forwarder.record_cut(key, Some(unread.began));
                    self.forwarder.record_failure(key);
                    Err(None)
                }
            };
            // Closes the connection, so that the endpoint stops.
            drop(unread);
            if let BodyContent::Resumable(events) = &mut self.content {
                events.discard_partial();
            }
            unread = match next {
                Ok(next) => next,
                Err(pending) => {
                    let caller = self.sender.clone();
                    let next = tokio::select! {
                        biased;
                        () = caller.closed() => return StreamEnd::CallerLeft,
                        next = self.go_on(key, pending) => next,
                    };
                    match next {
                        Some(NextSource::Endpoint(next)) => *next,
                        Some(NextSource::Vm(next)) => return self.run_forwarded(next).await,
                        None => return StreamEnd::Broken,
                    }
                }
            };
            self.forwarder.record_endpoint(&unread.info);
            self.forwarder.record.framing = Some(unread.framing);
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
        let silence = format!("no data for {} ms", max_silence.as_millis());
        let mut received = 0;
        let mut survived = false;
        let mut pinned = false;
        loop {
            let resume_point = self.content.resume_point();
            let silent_at = match &resume_point {
                Some(_) => Instant::now() + max_silence,
                None => deadline,
            };
            let last = resume_point.as_ref().and_then(ResumePoint::last_id);
            let awaited = Awaited {
                key: unread.open_call.key(),
                name: &unread.info.endpoint,
                silent_at,
                silence: &silence,
            };
            let next_frame = pin!(unread.body.frame());
            let handover = tokio::select! {
                biased;
                () = self.sender.closed() => return SegmentEnd::CallerLeft,
                // Before the data, which may come without a pause until after the deadline.
                () = sleep_until(deadline) => return SegmentEnd::DeadlineExceeded,
                handover = self.forwarder.await_answer(awaited, next_frame, last) => {
                    handover
                }
            };
            let frame = match handover {
                Handover::Continued(frame) => frame,
                Handover::Begun(next) => return SegmentEnd::Replaced(next),
                Handover::Sent(pending) => return SegmentEnd::Moved(pending),
                Handover::Failed => return SegmentEnd::DeadlineExceeded,
                Handover::Lost => return SegmentEnd::Lost,
            };
            let bytes = match frame {
                None => return self.check_end(unread.framing, received),
                Some(Err(error)) => {
                    return SegmentEnd::Broken(format!("the response is incomplete: {error}"));
                }
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(bytes) => bytes,
                    // Trailers are not forwarded; they concern a single connection.
                    Err(_trailers) => continue,
                },
            };
            let is_stream = self.forwarder.request.route.kind.is_stream();
            if unread.open_call.record_first_event() && is_stream {
                let workspace = self.forwarder.request.workspace.as_deref();
                usage::count_begun(&self.forwarder.shared, workspace);
            }
            self.forwarder.record.record_first_byte(clock::now());
            self.forwarder.record.received += bytes.len() as u64;
            received += bytes.len();
            if !survived && clock::now().since(unread.began) >= SURVIVAL_TIME {
                survived = true;
                self.forwarder.record_answer(unread.began, true);
            }
            let bytes = match self.content.push(bytes) {
                Ok(Some(bytes)) => bytes,
                Ok(None) => continue,
                Err(error) => return SegmentEnd::Broken(error.to_string()),
            };
            if !pinned && matches!(self.content, BodyContent::Resumable(_)) {
                pinned = true;
                self.forwarder.pin_version(unread.open_call.key()).await;
            }
            if self.sender.send(BodyPart::Data(bytes)).await.is_err() {
                return SegmentEnd::CallerLeft;
            }
        }
    }

    /// Decides whether a body that has ended by its framing is complete.
    pub(crate) fn check_end(&self, framing: Framing, received: usize) -> SegmentEnd {
        let ended = EndedBody {
            framing,
            received,
            partial: self.content.partial_len(),
        };
        ended
            .problem(self.framing)
            .map_or(SegmentEnd::Complete, |problem| {
                SegmentEnd::Broken(problem.to_owned())
            })
    }

    /// Continues the stream on another endpoint, or through another VM if this one doesn't reach the
    /// service.
    async fn go_on(
        &mut self,
        key: EndpointKey,
        pending: Option<PendingAttempt>,
    ) -> Option<NextSource> {
        if pending.is_none()
            && self.forwarder.can_forward()
            && let Some(next) = self.take_up().await
        {
            return Some(NextSource::Vm(next));
        }
        if let Some(next) = self.resume(key, pending).await {
            return Some(NextSource::Endpoint(Box::new(next)));
        }
        if !self.forwarder.can_forward() {
            return None;
        }
        self.take_up().await.map(NextSource::Vm)
    }

    /// Resumes the stream on other endpoints until one continues it or none can; `pending` is an
    /// endpoint that has been asked to. `key` is the endpoint that has left the stream.
    async fn resume(
        &mut self,
        mut key: EndpointKey,
        mut pending: Option<PendingAttempt>,
    ) -> Option<UnreadResponse> {
        let forwarder = &mut self.forwarder;
        let Some(resume_point) = self.content.resume_point() else {
            if matches!(self.content, BodyContent::Resumable(_)) {
                forwarder
                    .record
                    .add_cause("the last event has no identifier");
            }
            return None;
        };
        let last = resume_point.last_id();
        loop {
            let asked = if let Some(asked) = pending.take() {
                asked
            } else {
                match forwarder.replace_broken(key, last).await {
                    Handover::Begun(next) => return Some(*next),
                    Handover::Sent(asked) => *asked,
                    Handover::Failed | Handover::Lost => return None,
                    Handover::Continued(never) => match never {},
                }
            };
            key = asked.key();
            match forwarder.respond(asked, last).await {
                Ok(EndpointResponse::Streaming(next)) if forwarder.can_continue(&next) => {
                    return Some(*next);
                }
                Ok(_) => {
                    let cause = "the endpoint that should continue failed";
                    forwarder.record.add_cause(cause);
                }
                Err(failed) => forwarder.record.add_cause(&failed.cause),
            }
        }
    }
}
