//! Runs a call at a plain service.

use super::{
    chat::{Cut, broken, read_whole},
    link::Link,
    runner::Runner,
};
use crate::call::{Forward, Head, Piece};
use poplarswitch_scheduler::{End, Fault};
use poplarswitch_wire::headers;
use ureq::{
    Body,
    http::{Request, Response},
};

impl Runner<'_> {
    /// Forwards the call and reads the whole answer.
    ///
    /// An answer with an error status is the service's own answer. Where the call may be
    /// repeated, a failing service is reported instead, so that the call can go elsewhere.
    pub(super) fn forward(&self, link: &Link, forward: &Forward) -> End {
        match self.exchange(link, forward) {
            Ok(()) => End::Answered { tokens: 1 },
            Err(Cut::CallerLeft) => End::Stopped { emitted: 0 },
            Err(Cut::Fault(_)) if self.job.stop.is_stopped() => End::Stopped { emitted: 0 },
            Err(Cut::Fault(fault)) => End::Failed { fault, emitted: 0 },
        }
    }

    fn exchange(&self, link: &Link, forward: &Forward) -> Result<(), Cut> {
        let response = self
            .send(link, forward)
            .map_err(|error| broken(link, &error))?;
        let head = Head::of(&response);
        if head.says_not_run() {
            return Err(Cut::Fault(Fault::Declined));
        }
        if head.status >= 500 && self.job.call.repeatable {
            return Err(Cut::Fault(Fault::Errored));
        }
        let body = read_whole(response.into_body(), u64::from(self.limits().answer_bytes))
            .map_err(|error| broken(link, &error))?;
        self.started(1);
        self.give(Piece::Whole(head, body))
    }

    fn send(&self, link: &Link, forward: &Forward) -> Result<Response<Body>, ureq::Error> {
        let mut request = Request::builder()
            .method(forward.method.clone())
            .uri(format!("{}{}", link.base, forward.path))
            .header(headers::CALL_ID, self.job.call.id().to_string())
            .header(headers::PRIORITY, self.job.call.rank.to_string());
        for (name, value) in &forward.headers {
            request = request.header(name, value);
        }
        if forward.body.is_empty() {
            link.agent.run(request.body(())?)
        } else {
            link.agent.run(request.body(&*forward.body)?)
        }
    }
}
