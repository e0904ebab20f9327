//! Runs a chat call at an engine.

use super::{
    link::Link,
    runner::Runner,
    sse::{Kind, Splitter},
};
use crate::call::{Chat, Head, Piece};
use bytes::Bytes;
use core::time::Duration;
use poplarswitch_scheduler::{End, Fault, Mode};
use poplarswitch_wire::{TokenUsage, headers};
use std::io::Read;
use ureq::{Body, http::Response};

/// Longest wait for the answer to a cancellation.
const CANCEL_WAIT: Duration = Duration::from_secs(2);
/// Bytes read from an engine at once.
const READ_BYTES: usize = 16 * 1024;

/// Why a run ended before the whole answer.
pub(super) enum Cut {
    /// The endpoint failed.
    Fault(Fault),
    /// The caller reads no more.
    CallerLeft,
}

impl Runner<'_> {
    /// Runs the call to its end.
    pub(super) fn chat(&self, link: &Link, chat: &Chat) -> End {
        let resumed = self.resumed();
        let result = match self.post(link, chat) {
            Ok(response) => self.answer(link, chat, response),
            Err(error) => Err(broken(link, &error)),
        };
        match result {
            Ok(tokens) => End::Answered { tokens },
            Err(cut) => self.cut_short(link, &cut, resumed),
        }
    }

    fn resumed(&self) -> u32 {
        match self.job.mode {
            Mode::Fresh => 0,
            Mode::Resume { emitted } => emitted,
        }
    }

    fn post(&self, link: &Link, chat: &Chat) -> Result<Response<Body>, ureq::Error> {
        let mut request = link
            .agent
            .post(format!("{}/v1/chat/completions", link.base))
            .header("content-type", "application/json")
            .header(headers::CALL_ID, self.job.call.id().to_string())
            .header(headers::PRIORITY, self.job.call.rank.to_string())
            .header(headers::PREFIX, self.job.call.request.prefix.to_string());
        if let Mode::Resume { emitted } = self.job.mode {
            request = request.header(headers::RESUME_FROM, emitted.to_string());
        }
        request.send(&*chat.body)
    }

    fn answer(&self, link: &Link, chat: &Chat, response: Response<Body>) -> Result<u32, Cut> {
        let head = Head::of(&response);
        if head.says_not_run() {
            return Err(Cut::Fault(Fault::Declined));
        }
        let resuming = matches!(self.job.mode, Mode::Resume { .. });
        if head.status >= 500 || resuming && head.status >= 400 {
            return Err(Cut::Fault(Fault::Errored));
        }
        if chat.stream && head.status < 400 {
            self.stream(link, head, response.into_body())
        } else {
            self.whole(link, head, response.into_body())
        }
    }

    fn whole(&self, link: &Link, head: Head, body: Body) -> Result<u32, Cut> {
        let body = read_whole(body, u64::from(self.limits().answer_bytes))
            .map_err(|error| broken(link, &error))?;
        let tokens = TokenUsage::from_answer(&body).completion_tokens;
        self.started(tokens);
        self.give(Piece::Whole(head, body))?;
        Ok(tokens)
    }

    fn stream(&self, link: &Link, head: Head, body: Body) -> Result<u32, Cut> {
        let mut reader = body.into_reader();
        let mut splitter = Splitter::default();
        let mut buffer = vec![0; READ_BYTES];
        let mut head = Some(head);
        loop {
            let count = reader
                .read(&mut buffer)
                .map_err(|error| broken(link, &error))?;
            if count == 0 {
                return Err(Cut::Fault(link.fault()));
            }
            splitter.push(&buffer[..count]);
            while let Some(event) = splitter.next_event() {
                match event.kind {
                    Kind::Error => return Err(Cut::Fault(Fault::Errored)),
                    Kind::Done => {
                        self.give_head(&mut head)?;
                        self.give(Piece::Last(event.text))?;
                        return Ok(self.job.call.emitted());
                    }
                    Kind::Chunk { tokens } => self.chunk(&mut head, event.text, tokens)?,
                    Kind::Other => {}
                }
            }
            if splitter.is_overfull() {
                return Err(Cut::Fault(Fault::Errored));
            }
        }
    }

    fn chunk(&self, head: &mut Option<Head>, text: Bytes, tokens: u32) -> Result<(), Cut> {
        self.give_head(head)?;
        self.give(Piece::Data(text))?;
        if tokens > 0 {
            let emitted = self.job.call.add_emitted(tokens);
            self.started(emitted);
        }
        Ok(())
    }

    fn give_head(&self, head: &mut Option<Head>) -> Result<(), Cut> {
        match head.take() {
            Some(head) if self.job.call.take_head() => self.give(Piece::Head(head)),
            _ => Ok(()),
        }
    }

    /// Tells the engine to stop and says how the run ended.
    fn cut_short(&self, link: &Link, cut: &Cut, resumed: u32) -> End {
        let emitted = self.job.call.emitted().max(resumed);
        let stopped = self.job.stop.is_stopped();
        let fault = match cut {
            Cut::CallerLeft => None,
            Cut::Fault(_) if stopped => None,
            Cut::Fault(fault) => Some(*fault),
        };
        let reached = link.fault() == Fault::Lost;
        let running = matches!(fault, None | Some(Fault::Lost));
        if reached && running {
            self.cancel_at_engine();
        }
        match fault {
            None => End::Stopped { emitted },
            Some(fault) => End::Failed { fault, emitted },
        }
    }

    fn cancel_at_engine(&self) {
        let link = Link::new(self.job.address, self.limits());
        let url = format!("{}/v1/streams/{}", link.base, self.job.call.id());
        let request = link.agent.delete(url);
        let request = request.config().timeout_global(Some(CANCEL_WAIT)).build();
        if request.call().is_err() {
            self.shared().counters.cancels_unanswered.inc();
        }
    }
}

/// The connection to the endpoint broke.
pub(super) fn broken(link: &Link, error: &dyn core::error::Error) -> Cut {
    tracing::debug!(%error, base = link.base, "a run broke");
    Cut::Fault(link.fault())
}

/// Reads a body up to a limit.
pub(super) fn read_whole(body: Body, limit: u64) -> Result<Bytes, std::io::Error> {
    let mut bytes = Vec::new();
    let read = body.into_reader().take(limit + 1).read_to_end(&mut bytes)?;
    if read as u64 > limit {
        return Err(std::io::Error::other("the answer is larger than allowed"));
    }
    Ok(Bytes::from(bytes))
}
