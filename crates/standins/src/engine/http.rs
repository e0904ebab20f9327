//! The engine's HTTP interface.

use super::{
    State,
    batch::{Slot, enter},
    orders::{Desired, Taken},
    reports::Load,
    stream::{Generation, Step, broken},
};
use crate::{
    answer::answer_tokens,
    body::{Body, json_response, stream_body, text_response},
    server::{ConnectionCut, Handler, HandlerResult},
    service::lock,
};
use bytes::Bytes;
use futures_util::stream;
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use serde_json::json as value;
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64;

/// Header that names a call.
const CALL_ID: &str = "x-call-id";
/// Header that gives a call's priority; zero goes first.
const PRIORITY: &str = "x-priority";
/// Header that names the prefix of a prompt.
const PREFIX: &str = "x-prefix";
/// Header that resumes a stream after a number of tokens.
const RESUME_FROM: &str = "x-resume-from";
/// Header that proves that a call was not run.
const NOT_RUN: &str = "x-not-run";
/// Largest body, in bytes.
const MAX_BODY_BYTES: usize = 4 << 20;
/// Most tokens of an answer when the call gives no bound.
const DEFAULT_TOKENS: u32 = 256;
/// Bytes of a prompt that count as one token.
const TOKEN_BYTES: usize = 4;

/// One message of a chat.
#[derive(Debug, Deserialize)]
struct Message {
    content: String,
}

/// A chat request, as far as the engine reads it.
#[derive(Debug, Deserialize)]
struct Chat {
    model: String,
    messages: Vec<Message>,
    #[serde(default)]
    stream: bool,
    max_tokens: Option<u32>,
}

impl Chat {
    fn prompt(&self) -> String {
        let contents = self.messages.iter().map(|message| message.content.as_str());
        contents.collect::<Vec<_>>().join("\n")
    }
}

/// Cache events after a number.
#[derive(Debug, Serialize)]
struct Events {
    events: Vec<super::cache::CacheEvent>,
}

impl Handler for State {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> HandlerResult {
        let (parts, body) = request.into_parts();
        let path = parts.uri.path().to_owned();
        match (&parts.method, path.as_str()) {
            (&Method::POST, "/v1/chat/completions") => self.chat(&parts.headers, body).await,
            (&Method::GET, "/v1/load") => Ok(self.load()),
            (&Method::GET, "/v1/cache-events") => {
                Ok(self.cache_events(parts.uri.query().unwrap_or_default()))
            }
            (&Method::GET, "/v1/desired") => {
                Ok(json_response(StatusCode::OK, &lock(&self.loaded).held()))
            }
            (&Method::PUT, "/v1/desired") => Ok(self.order(body).await),
            (&Method::DELETE, path) => Ok(self.cancel(path)),
            _ => Ok(text_response(StatusCode::NOT_FOUND, "no such path")),
        }
    }
}

impl State {
    async fn chat(self: Arc<Self>, headers: &HeaderMap, body: Incoming) -> HandlerResult {
        let Some(chat) = read::<Chat>(body).await else {
            return Ok(text_response(StatusCode::BAD_REQUEST, "not a chat request"));
        };
        if self.faults().decline || !lock(&self.loaded).serves(&chat.model) {
            return Ok(declined());
        }
        let call = text(headers, CALL_ID).unwrap_or_default().to_owned();
        let Ok(resumed) = self.resume_point(headers, &call) else {
            return Ok(text_response(
                StatusCode::CONFLICT,
                "no such stream to resume",
            ));
        };
        let priority = number(headers, PRIORITY).unwrap_or(u64::from(u8::MAX)) as u8;
        let Some(slot) = enter(&self.batch, priority).await else {
            return Ok(declined());
        };
        let prompt = chat.prompt();
        self.prefill(headers, &prompt).await;
        let generation = self.generation(&chat, &call, prompt, slot, resumed);
        if chat.stream {
            return Ok(stream_response(generation));
        }
        whole_response(generation).await
    }

    /// Where a stream goes on; an error if it can't.
    fn resume_point(&self, headers: &HeaderMap, call: &str) -> Result<Option<u32>, ConnectionCut> {
        let Some(from) = number(headers, RESUME_FROM) else {
            return Ok(None);
        };
        let known = lock(&self.streams).find(call);
        match known {
            Some(shared) if from <= u64::from(shared.emitted()) => Ok(Some(from as u32)),
            _ => Err(ConnectionCut),
        }
    }

    async fn prefill(&self, headers: &HeaderMap, prompt: &str) {
        let prefix = number(headers, PREFIX).unwrap_or_else(|| xxh3_64(prompt.as_bytes()));
        if lock(&self.cache).touch(prefix) {
            self.count(|stats| stats.cache_hits += 1);
            return;
        }
        let tokens = (prompt.len() / TOKEN_BYTES) as u32;
        tokio::time::sleep(self.spec.prefill_time * tokens).await;
    }

    fn generation(
        self: Arc<Self>,
        chat: &Chat,
        call: &str,
        prompt: String,
        slot: Slot,
        resumed: Option<u32>,
    ) -> Generation {
        self.count(|stats| {
            stats.started += 1;
            stats.resumed += u64::from(resumed.is_some());
        });
        let shared = lock(&self.streams).open(call);
        let total = answer_tokens(&prompt, chat.max_tokens.unwrap_or(DEFAULT_TOKENS));
        Generation {
            state: self,
            shared,
            prompt,
            index: resumed.unwrap_or_default(),
            total,
            finished: false,
            slot: Some(slot),
        }
    }

    fn cancel(&self, path: &str) -> Response<Body> {
        let call = path.strip_prefix("/v1/streams/").unwrap_or_default();
        match lock(&self.streams).find(call) {
            Some(shared) => {
                shared.cancel();
                text_response(StatusCode::OK, "")
            }
            None => text_response(StatusCode::NOT_FOUND, "no such stream"),
        }
    }

    fn load(&self) -> Response<Body> {
        let load = {
            let batch = lock(&self.batch);
            Load {
                running: batch.running(),
                queued: batch.queued(),
                age_ms: 0,
            }
        };
        let report = lock(&self.reports).read(load, self.faults().report_lag);
        json_response(StatusCode::OK, &report)
    }

    fn cache_events(&self, query: &str) -> Response<Body> {
        let after = query
            .strip_prefix("after=")
            .and_then(|text| text.parse().ok());
        let mut events = lock(&self.cache).events_after(after.unwrap_or_default());
        let lost = self.faults().loss_percent;
        events.retain(|event| !is_lost(event.seq, lost));
        json_response(StatusCode::OK, &Events { events })
    }

    async fn order(&self, body: Incoming) -> Response<Body> {
        let Some(desired) = read::<Desired>(body).await else {
            return text_response(StatusCode::BAD_REQUEST, "not an order");
        };
        match lock(&self.loaded).order(desired) {
            Taken::Applied => {
                self.count(|stats| stats.orders += 1);
                text_response(StatusCode::OK, "")
            }
            Taken::FencedOff => {
                self.count(|stats| stats.fenced_orders += 1);
                text_response(StatusCode::CONFLICT, "old fencing number")
            }
        }
    }
}

fn is_lost(seq: u64, percent: u8) -> bool {
    Pcg64Mcg::seed_from_u64(seq).random_range(0..100_u8) < percent
}

fn stream_response(generation: Generation) -> Response<Body> {
    let pieces = stream::unfold(Some(generation), |generation| async {
        let mut generation = generation?;
        match generation.step().await {
            Step::Token(token) => Some((Ok(chunk(&token)), Some(generation))),
            Step::Finished => Some((Ok(last_chunk(&generation)), None)),
            Step::Stopped => Some((
                Ok(Bytes::from_static(b"data: {\"stopped\":true}\n\n")),
                None,
            )),
            Step::Cut => Some((broken(), None)),
        }
    });
    let mut response = Response::new(stream_body(pieces));
    let kind = HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}

async fn whole_response(mut generation: Generation) -> HandlerResult {
    let mut content = String::new();
    loop {
        match generation.step().await {
            Step::Token(token) => content.push_str(&token),
            Step::Finished => break,
            Step::Stopped | Step::Cut => return Err(ConnectionCut),
        }
    }
    let answer = value!({
        "object": "chat.completion",
        "choices": [{
            "index": 0,
            "message": {"role": "assistant", "content": content},
            "finish_reason": "stop",
        }],
        "usage": {"completion_tokens": generation.total},
    });
    Ok(json_response(StatusCode::OK, &answer))
}

fn chunk(token: &str) -> Bytes {
    let chunk = value!({
        "object": "chat.completion.chunk",
        "choices": [{"index": 0, "delta": {"content": token}}],
    });
    Bytes::from(format!("data: {chunk}\n\n"))
}

fn last_chunk(generation: &Generation) -> Bytes {
    let chunk = value!({
        "object": "chat.completion.chunk",
        "choices": [{"index": 0, "delta": {}, "finish_reason": "stop"}],
        "usage": {"completion_tokens": generation.total},
    });
    Bytes::from(format!("data: {chunk}\n\ndata: [DONE]\n\n"))
}

fn declined() -> Response<Body> {
    let mut response = text_response(StatusCode::SERVICE_UNAVAILABLE, "not run");
    let yes = HeaderValue::from_static("true");
    response.headers_mut().insert(NOT_RUN, yes);
    response
}

async fn read<T: for<'de> Deserialize<'de>>(body: Incoming) -> Option<T> {
    let limited = Limited::new(body, MAX_BODY_BYTES).collect().await.ok()?;
    serde_json::from_slice(&limited.to_bytes()).ok()
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn number(headers: &HeaderMap, name: &str) -> Option<u64> {
    text(headers, name)?.parse().ok()
}
