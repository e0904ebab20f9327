//! The HTTP interface of the engine.

use super::{
    State,
    batch::{Slot, acquire_slot},
    orders::{DesiredState, OrderResult},
    reports::LoadReport,
    stream::{Generation, Step, connection_reset},
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
use serde_json::json as json_value;
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64;

/// Header that carries the identifier of a call.
const CALL_ID: &str = "x-call-id";
/// Header that carries the priority of a call; 0 is served first.
const PRIORITY: &str = "x-priority";
/// Header that carries the hash of a prompt's prefix.
const PREFIX: &str = "x-prefix";
/// Header of a call that resumes a stream; carries the number of tokens already received.
const RESUME_FROM: &str = "x-resume-from";
/// Header of a response which states that the call was not run.
const NOT_RUN: &str = "x-not-run";
/// Largest accepted body, in bytes.
const MAX_BODY_BYTES: usize = 4 << 20;
/// Limit on the tokens of an answer if the call sets none.
const DEFAULT_MAX_TOKENS: u32 = 256;
/// Number of bytes of a prompt that count as one token.
const BYTES_PER_TOKEN: usize = 4;

/// A message of a chat.
#[derive(Debug, Deserialize)]
struct ChatMessage {
    content: String,
}

/// The fields of a chat request that the engine reads.
#[derive(Debug, Deserialize)]
struct ChatRequest {
    model: String,
    messages: Vec<ChatMessage>,
    #[serde(default)]
    stream: bool,
    max_tokens: Option<u32>,
}

impl ChatRequest {
    fn prompt(&self) -> String {
        let contents = self.messages.iter().map(|message| message.content.as_str());
        contents.collect::<Vec<_>>().join("\n")
    }
}

/// Response to a request for cache events.
#[derive(Debug, Serialize)]
struct CacheEventList {
    events: Vec<super::cache::CacheEvent>,
}

impl Handler for State {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> HandlerResult {
        let (parts, body) = request.into_parts();
        let path = parts.uri.path().to_owned();
        match (&parts.method, path.as_str()) {
            (&Method::POST, "/v1/chat/completions") => self.chat(&parts.headers, body).await,
            (&Method::GET, "/v1/load") => Ok(self.load_report()),
            (&Method::GET, "/v1/cache-events") => {
                Ok(self.cache_events(parts.uri.query().unwrap_or_default()))
            }
            (&Method::GET, "/v1/desired") => Ok(json_response(
                StatusCode::OK,
                &lock(&self.loaded_model).report(),
            )),
            (&Method::PUT, "/v1/desired") => Ok(self.apply_order(body).await),
            (&Method::DELETE, path) => Ok(self.cancel(path)),
            _ => Ok(text_response(StatusCode::NOT_FOUND, "no such path")),
        }
    }
}

impl State {
    async fn chat(self: Arc<Self>, headers: &HeaderMap, body: Incoming) -> HandlerResult {
        let Some(chat) = read_json::<ChatRequest>(body).await else {
            return Ok(text_response(StatusCode::BAD_REQUEST, "not a chat request"));
        };
        if self.faults().decline || !lock(&self.loaded_model).serves(&chat.model) {
            return Ok(declined_response());
        }
        let call = header_text(headers, CALL_ID).unwrap_or_default().to_owned();
        let Ok(resumed) = self.resume_point(headers, &call) else {
            return Ok(text_response(
                StatusCode::CONFLICT,
                "no such stream to resume",
            ));
        };
        let priority = header_number(headers, PRIORITY).unwrap_or(u64::from(u8::MAX)) as u8;
        let Some(slot) = acquire_slot(&self.batch, priority).await else {
            return Ok(declined_response());
        };
        let prompt = chat.prompt();
        self.prefill(headers, &prompt).await;
        let generation = self.start_generation(&chat, &call, prompt, slot, resumed);
        if chat.stream {
            return Ok(stream_response(generation));
        }
        whole_response(generation).await
    }

    /// Index of the token at which a stream is resumed; `None` if the call resumes no stream.
    /// Fails if the stream is not known or has not emitted that many tokens.
    fn resume_point(&self, headers: &HeaderMap, call: &str) -> Result<Option<u32>, ConnectionCut> {
        let Some(from) = header_number(headers, RESUME_FROM) else {
            return Ok(None);
        };
        let known = lock(&self.streams).find(call);
        match known {
            Some(stream_state) if from <= u64::from(stream_state.emitted()) => {
                Ok(Some(from as u32))
            }
            _ => Err(ConnectionCut),
        }
    }

    async fn prefill(&self, headers: &HeaderMap, prompt: &str) {
        let prefix = header_number(headers, PREFIX).unwrap_or_else(|| xxh3_64(prompt.as_bytes()));
        if lock(&self.cache).access(prefix) {
            self.update_stats(|stats| stats.cache_hits += 1);
            return;
        }
        let tokens = (prompt.len() / BYTES_PER_TOKEN) as u32;
        tokio::time::sleep(self.spec.prefill_time * tokens).await;
    }

    fn start_generation(
        self: Arc<Self>,
        chat: &ChatRequest,
        call: &str,
        prompt: String,
        slot: Slot,
        resumed: Option<u32>,
    ) -> Generation {
        self.update_stats(|stats| {
            stats.started += 1;
            stats.resumed += u64::from(resumed.is_some());
        });
        let stream_state = lock(&self.streams).open(call);
        let total = answer_tokens(&prompt, chat.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS));
        Generation {
            state: self,
            stream_state,
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
            Some(stream_state) => {
                stream_state.cancel();
                text_response(StatusCode::OK, "")
            }
            None => text_response(StatusCode::NOT_FOUND, "no such stream"),
        }
    }

    fn load_report(&self) -> Response<Body> {
        let load = {
            let batch = lock(&self.batch);
            LoadReport {
                running: batch.running(),
                queued: batch.queued(),
                age_ms: 0,
            }
        };
        let report = lock(&self.load_history).record_and_read(load, self.faults().report_lag);
        json_response(StatusCode::OK, &report)
    }

    fn cache_events(&self, query: &str) -> Response<Body> {
        let after = query
            .strip_prefix("after=")
            .and_then(|text| text.parse().ok());
        let mut events = lock(&self.cache).events_after(after.unwrap_or_default());
        let loss_percent = self.faults().loss_percent;
        events.retain(|event| !is_lost(event.seq, loss_percent));
        json_response(StatusCode::OK, &CacheEventList { events })
    }

    async fn apply_order(&self, body: Incoming) -> Response<Body> {
        let Some(desired) = read_json::<DesiredState>(body).await else {
            return text_response(StatusCode::BAD_REQUEST, "not an order");
        };
        match lock(&self.loaded_model).apply(desired) {
            OrderResult::Applied => {
                self.update_stats(|stats| stats.orders += 1);
                text_response(StatusCode::OK, "")
            }
            OrderResult::Fenced => {
                self.update_stats(|stats| stats.fenced_orders += 1);
                text_response(StatusCode::CONFLICT, "old fencing number")
            }
        }
    }
}

fn is_lost(seq: u64, percent: u8) -> bool {
    Pcg64Mcg::seed_from_u64(seq).random_range(0..100_u8) < percent
}

fn stream_response(generation: Generation) -> Response<Body> {
    let chunks = stream::unfold(Some(generation), |generation| async {
        let mut generation = generation?;
        match generation.step().await {
            Step::Token(token) => Some((Ok(chunk(&token)), Some(generation))),
            Step::Finished => Some((Ok(last_chunk(&generation)), None)),
            Step::Stopped => Some((
                Ok(Bytes::from_static(b"data: {\"stopped\":true}\n\n")),
                None,
            )),
            Step::Cut => Some((connection_reset(), None)),
        }
    });
    let mut response = Response::new(stream_body(chunks));
    let content_type = HeaderValue::from_static("text/event-stream");
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, content_type);
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
    let answer = json_value!({
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
    let chunk = json_value!({
        "object": "chat.completion.chunk",
        "choices": [{"index": 0, "delta": {"content": token}}],
    });
    Bytes::from(format!("data: {chunk}\n\n"))
}

fn last_chunk(generation: &Generation) -> Bytes {
    let chunk = json_value!({
        "object": "chat.completion.chunk",
        "choices": [{"index": 0, "delta": {}, "finish_reason": "stop"}],
        "usage": {"completion_tokens": generation.total},
    });
    Bytes::from(format!("data: {chunk}\n\ndata: [DONE]\n\n"))
}

fn declined_response() -> Response<Body> {
    let mut response = text_response(StatusCode::SERVICE_UNAVAILABLE, "not run");
    let value = HeaderValue::from_static("true");
    response.headers_mut().insert(NOT_RUN, value);
    response
}

async fn read_json<T: for<'de> Deserialize<'de>>(body: Incoming) -> Option<T> {
    let limited = Limited::new(body, MAX_BODY_BYTES).collect().await.ok()?;
    serde_json::from_slice(&limited.to_bytes()).ok()
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn header_number(headers: &HeaderMap, name: &str) -> Option<u64> {
    header_text(headers, name)?.parse().ok()
}
