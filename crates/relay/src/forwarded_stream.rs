//! Forwarding of an answer that another VM passes on, and continuation of streams through other VMs.
//!
//! The VM that sends a call to endpoints also resumes its stream there. If that VM is lost, or if this
//! VM loses the links to the endpoints while it forwards a stream itself, the stream is taken up through
//! another VM, as its caller would.

use crate::{
    attempt::EndpointResponse,
    clock,
    events::{BodyContent, ResumePoint},
    forwarding::{Forwarded, ForwardedResponse},
    stream::{SegmentEnd, StreamEnd, StreamForwarder, has_events},
};
use http_body_util::BodyExt as _;
use tokio::time::{Instant, sleep_until};

impl StreamForwarder {
    /// Forwards an answer of another VM until its end.
    pub(crate) async fn run_forwarded(&mut self, mut response: ForwardedResponse) -> StreamEnd {
        loop {
            let end = self.forward_answer(&mut response).await;
            let record = &mut self.forwarder.record;
            record.partial = self.content.partial_len();
            match end {
                SegmentEnd::Complete => return StreamEnd::Complete,
                SegmentEnd::CallerLeft => return StreamEnd::CallerLeft,
                SegmentEnd::DeadlineExceeded => {
                    record.add_cause("the deadline of the call has passed");
                    return StreamEnd::Broken;
                }
                SegmentEnd::Broken(cause) => record.cause = cause,
                SegmentEnd::Replaced(_) | SegmentEnd::Moved(_) | SegmentEnd::Lost => {}
            }
            // Closes the connection, so that the other VM and its endpoint stop.
            drop(response);
            let caller = self.sender.clone();
            tokio::select! {
                biased;
                () = caller.closed() => return StreamEnd::CallerLeft,
                next = self.take_up() => match next {
                    Some(next) => response = next,
                    None => return StreamEnd::Broken,
                },
            }
        }
    }

    /// Continues the stream through another VM, if that is possible.
    pub(crate) async fn take_up(&mut self) -> Option<ForwardedResponse> {
        if let BodyContent::Resumable(events) = &mut self.content {
            events.discard_partial();
        }
        let resume_point = self.content.resume_point()?;
        if !self.forwarder.can_take_up() {
            return None;
        }
        let last = resume_point.last_id();
        let kind = self.forwarder.request.route.kind;
        match self.forwarder.forward(last).await {
            Forwarded::Answered(EndpointResponse::Forwarded(next))
                if has_events(kind, &next.head) =>
            {
                self.forwarder.record.resumed += u32::from(resume_point != ResumePoint::Start);
                Some(*next)
            }
            Forwarded::Answered(_)
            | Forwarded::Untaken
            | Forwarded::Refused { .. }
            | Forwarded::Failed(_)
            | Forwarded::Broken => {
                let cause = "no other VM can continue the stream";
                self.forwarder.record.add_cause(cause);
                None
            }
        }
    }

    /// Forwards the data of one answer.
    async fn forward_answer(&mut self, response: &mut ForwardedResponse) -> SegmentEnd {
        let deadline = Instant::now() + self.forwarder.request.deadline.since(clock::now());
        let vm = response.vm();
        let mut received = 0;
        loop {
            let shared = &self.forwarder.shared;
            let frame = tokio::select! {
                biased;
                () = self.sender.closed() => return SegmentEnd::CallerLeft,
                () = sleep_until(deadline) => return SegmentEnd::DeadlineExceeded,
                frame = response.body.frame() => frame,
                () = shared.member_lost(vm) => {
                    return SegmentEnd::Broken(format!("VM {vm} has fallen silent"));
                }
            };
            let bytes = match frame {
                None => return self.check_end(response.framing, received),
                Some(Err(error)) => {
                    return SegmentEnd::Broken(format!("VM {vm}: {error}"));
                }
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(bytes) => bytes,
                    // Trailers are not forwarded; they concern a single connection.
                    Err(_trailers) => continue,
                },
            };
            self.forwarder.record.record_first_byte(clock::now());
            self.forwarder.record.received += bytes.len() as u64;
            received += bytes.len();
            match self.content.push(bytes) {
                Ok(Some(bytes)) => {
                    if self.sender.send(self.part(bytes)).await.is_err() {
                        return SegmentEnd::CallerLeft;
                    }
                }
                Ok(None) => {}
                Err(error) => return SegmentEnd::Broken(error.to_string()),
            }
        }
    }
}
