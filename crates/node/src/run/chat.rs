//! Runs a chat completion call at an engine.

use super::{
    connection::Connection,
    runner::Runner,
    sse::{Kind, Splitter},
};
use crate::call::{ChatCall, ResponseHead, ResponsePart};
use bytes::Bytes;
use core::time::Duration;
use poplarswitch_scheduler::{End, Fault, Mode};
use poplarswitch_wire::{TokenUsage, headers};
use serde::de::IgnoredAny;
use std::io::Read;
use ureq::{
    Body,
    http::{
        Response,
        header::{CONTENT_LENGTH, TRANSFER_ENCODING},
    },
};

/// Maximum time for an engine to respond to a cancellation.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);
/// Size of the buffer for reads from an engine.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// Reason why a run ended without a complete response.
pub(super) enum RunError {
    /// The endpoint failed.
    Fault(Fault),
    /// The caller has disconnected or has stopped reading.
    CallerLeft,
}

impl Runner<'_> {
    /// Runs the call and returns how it ended.
    pub(super) fn run_chat(&self, connection: &Connection, chat: &ChatCall) -> End {
        let resumed = self.resumed_tokens();
        let result = match self.post(connection, chat) {
            Ok(response) => self.handle_response(connection, chat, response),
            Err(error) => Err(connection_error(connection, &error)),
        };
        match result {
            Ok(tokens) => End::Answered { tokens },
            Err(error) => self.end_early(connection, &error, resumed),
        }
    }

    fn resumed_tokens(&self) -> u32 {
        match self.job.mode {
            Mode::Fresh => 0,
            Mode::Resume { emitted } => emitted,
        }
    }

    fn post(
        &self,
        connection: &Connection,
        chat: &ChatCall,
    ) -> Result<Response<Body>, ureq::Error> {
        let mut request = connection
            .agent
            .post(format!("{}/v1/chat/completions", connection.base_url))
            .header("content-type", "application/json")
            .header(headers::CALL_ID, self.job.call.id().to_string())
            .header(headers::PRIORITY, self.job.call.rank.to_string())
            .header(headers::PREFIX, self.job.call.request.prefix.to_string());
        if let Mode::Resume { emitted } = self.job.mode {
            request = request.header(headers::RESUME_FROM, emitted.to_string());
        }
        request.send(&*chat.body)
    }

    fn handle_response(
        &self,
        connection: &Connection,
        chat: &ChatCall,
        response: Response<Body>,
    ) -> Result<u32, RunError> {
        let head = ResponseHead::from_response(&response);
        if head.declares_not_run() {
            return Err(RunError::Fault(Fault::Declined));
        }
        let resuming = matches!(self.job.mode, Mode::Resume { .. });
        if head.status >= 500 || resuming && head.status >= 400 {
            return Err(RunError::Fault(Fault::Errored));
        }
        if chat.stream && head.status < 400 {
            self.send_stream(connection, head, response.into_body())
        } else {
            self.send_whole(connection, head, response)
        }
    }

    fn send_whole(
        &self,
        connection: &Connection,
        head: ResponseHead,
        response: Response<Body>,
    ) -> Result<u32, RunError> {
        let body = read_whole(response, u64::from(self.limits().answer_bytes))
            .map_err(|error| connection_error(connection, &error))?;
        let tokens = TokenUsage::from_answer(&body).completion_tokens;
        self.report_progress(tokens);
        self.send_part(ResponsePart::Whole(head, body))?;
        Ok(tokens)
    }

    fn send_stream(
        &self,
        connection: &Connection,
        head: ResponseHead,
        body: Body,
    ) -> Result<u32, RunError> {
        let mut reader = body.into_reader();
        let mut splitter = Splitter::default();
        let mut buffer = vec![0; READ_BUFFER_BYTES];
        let mut head = Some(head);
        loop {
            let len = reader
                .read(&mut buffer)
                .map_err(|error| connection_error(connection, &error))?;
            if len == 0 {
                return Err(RunError::Fault(connection.fault()));
            }
            splitter.push(&buffer[..len]);
            while let Some(event) = splitter.next_event() {
                match event.kind {
                    Kind::Error => return Err(RunError::Fault(Fault::Errored)),
                    Kind::Done => {
                        self.send_head(&mut head)?;
                        self.send_part(ResponsePart::Last(event.bytes))?;
                        return Ok(self.job.call.emitted());
                    }
                    Kind::Chunk { tokens } => self.send_chunk(&mut head, event.bytes, tokens)?,
                    Kind::Other => {}
                }
            }
            if splitter.exceeds_limit() {
                return Err(RunError::Fault(Fault::Errored));
            }
        }
    }

    fn send_chunk(
        &self,
        head: &mut Option<ResponseHead>,
        bytes: Bytes,
        tokens: u32,
    ) -> Result<(), RunError> {
        self.send_head(head)?;
        self.send_part(ResponsePart::Data(bytes))?;
        if tokens > 0 {
            let emitted = self.job.call.add_emitted(tokens);
            self.report_progress(emitted);
        }
        Ok(())
    }

    fn send_head(&self, head: &mut Option<ResponseHead>) -> Result<(), RunError> {
        match head.take() {
            Some(head) if self.job.call.claim_head() => self.send_part(ResponsePart::Head(head)),
            _ => Ok(()),
        }
    }

    /// Cancels the call at the engine if it may still run, and returns how the run ended.
    fn end_early(&self, connection: &Connection, error: &RunError, resumed: u32) -> End {
        let emitted = self.job.call.emitted().max(resumed);
        let stopped = self.job.stop.is_stopped();
        let fault = match error {
            RunError::CallerLeft => None,
            RunError::Fault(_) if stopped => None,
            RunError::Fault(fault) => Some(*fault),
        };
        let was_sent = connection.fault() == Fault::Lost;
        let may_run = matches!(fault, None | Some(Fault::Lost));
        if was_sent && may_run {
            self.cancel_at_engine();
        }
        match fault {
            None => End::Stopped { emitted },
            Some(fault) => End::Failed { fault, emitted },
        }
    }

    fn cancel_at_engine(&self) {
        let connection = Connection::new(self.job.address, self.limits());
        let url = format!("{}/v1/streams/{}", connection.base_url, self.job.call.id());
        let request = connection.agent.delete(url);
        let request = request
            .config()
            .timeout_global(Some(CANCEL_TIMEOUT))
            .build();
        if request.call().is_err() {
            self.shared().counters.cancels_unanswered.inc();
        }
    }
}

/// Logs a connection error and classifies it by whether a byte had been sent.
pub(super) fn connection_error(
    connection: &Connection,
    error: &dyn core::error::Error,
) -> RunError {
    tracing::debug!(%error, base = connection.base_url, "connection error during a run");
    RunError::Fault(connection.fault())
}

/// Reads a complete body of at most `limit` bytes; fails if it is larger or if its end is not known.
///
/// The end of a body with neither a length nor chunks is the end of its connection, which may also
/// have failed. Such a body is complete only if it is a JSON object or array that is.
pub(super) fn read_whole(response: Response<Body>, limit: u64) -> Result<Bytes, std::io::Error> {
    let headers = response.headers();
    let is_framed = headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING);
    let has_body = !matches!(response.status().as_u16(), 204 | 304);
    let mut bytes = Vec::new();
    let reader = response.into_body().into_reader();
    let read = reader.take(limit + 1).read_to_end(&mut bytes)?;
    if read as u64 > limit {
        return Err(std::io::Error::other("response body exceeds the limit"));
    }
    if has_body && !is_framed && !is_complete_json(&bytes) {
        return Err(std::io::Error::other(
            "response has neither a length nor chunks, so its end is not known",
        ));
    }
    Ok(Bytes::from(bytes))
}

fn is_complete_json(bytes: &[u8]) -> bool {
    let starts_nested = bytes
        .iter()
        .find(|byte| !byte.is_ascii_whitespace())
        .is_some_and(|byte| matches!(byte, b'{' | b'['));
    starts_nested && serde_json::from_slice::<IgnoredAny>(bytes).is_ok()
}
