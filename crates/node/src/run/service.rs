//! Runs a call at a plain service.

use super::{
    chat::{RunError, connection_error, read_whole},
    connection::Connection,
    runner::Runner,
};
use crate::call::{ResponseHead, ResponsePart, ServiceCall};
use poplarswitch_scheduler::{End, Fault};
use poplarswitch_wire::headers;
use ureq::{
    Body,
    http::{Request, Response},
};

impl Runner<'_> {
    /// Forwards the call and reads the complete response.
    ///
    /// A response with an error status is passed on as the answer. For a repeatable call, a
    /// status of 500 or above is reported as a fault, so that the call can be retried elsewhere.
    pub(super) fn run_service_call(
        &self,
        connection: &Connection,
        service_call: &ServiceCall,
    ) -> End {
        match self.exchange(connection, service_call) {
            Ok(()) => End::Answered { tokens: 1 },
            Err(RunError::CallerLeft) => End::Stopped { emitted: 0 },
            Err(RunError::Fault(_)) if self.job.stop.is_stopped() => End::Stopped { emitted: 0 },
            Err(RunError::Fault(fault)) => End::Failed { fault, emitted: 0 },
        }
    }

    fn exchange(
        &self,
        connection: &Connection,
        service_call: &ServiceCall,
    ) -> Result<(), RunError> {
        let response = self
            .send(connection, service_call)
            .map_err(|error| connection_error(connection, &error))?;
        let head = ResponseHead::from_response(&response);
        if head.declares_not_run() {
            return Err(RunError::Fault(Fault::Declined));
        }
        if head.status >= 500 && self.job.call.repeatable {
            return Err(RunError::Fault(Fault::Errored));
        }
        let body = read_whole(response, u64::from(self.limits().answer_bytes))
            .map_err(|error| connection_error(connection, &error))?;
        self.report_progress(1);
        self.send_part(ResponsePart::Whole(head, body))
    }

    fn send(
        &self,
        connection: &Connection,
        service_call: &ServiceCall,
    ) -> Result<Response<Body>, ureq::Error> {
        let mut request = Request::builder()
            .method(service_call.method.clone())
            .uri(format!("{}{}", connection.base_url, service_call.path))
            .header(headers::CALL_ID, self.job.call.id().to_string())
            .header(headers::PRIORITY, self.job.call.rank.to_string());
        for (name, value) in &service_call.headers {
            request = request.header(name, value);
        }
        if service_call.body.is_empty() {
            connection.agent.run(request.body(())?)
        } else {
            connection.agent.run(request.body(&*service_call.body)?)
        }
    }
}
