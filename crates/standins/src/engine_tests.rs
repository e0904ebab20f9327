use crate::{Engine, EngineFaults, EngineSpec, answer_text, answer_tokens};
use core::{net::SocketAddr, time::Duration};
use googletest::prelude::*;
use serde_json::{Value, json};
use std::io::{BufRead, BufReader};

const PROMPT: &str = "is there a sled free on Friday?";

fn start(spec: EngineSpec) -> Engine {
    Engine::start(SocketAddr::from(([127, 0, 0, 1], 0)), spec).expect("loopback port")
}

fn fast_spec() -> EngineSpec {
    EngineSpec {
        token_time: Duration::from_micros(100),
        ..EngineSpec::default()
    }
}

fn chat(stream: bool) -> Value {
    json!({
        "model": "assistant", "stream": stream, "max_tokens": 64,
        "messages": [{"role": "user", "content": PROMPT}],
    })
}

/// The lines of a stream that are not empty, up to the end of the stream or a cut.
fn stream_lines(engine: &Engine, headers: &[(&str, &str)]) -> Vec<String> {
    let mut request = ureq::post(format!("http://{}/v1/chat/completions", engine.address()));
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let response = request.send_json(chat(true)).expect("stream starts");
    BufReader::new(response.into_body().into_reader())
        .lines()
        .map_while(std::result::Result::ok)
        .filter(|line| !line.is_empty())
        .collect()
}

fn content(lines: &[String]) -> String {
    lines
        .iter()
        .filter_map(|line| serde_json::from_str::<Value>(line.strip_prefix("data: ")?).ok())
        .filter_map(|chunk| Some(chunk["choices"][0]["delta"]["content"].as_str()?.to_owned()))
        .collect()
}

#[gtest]
fn stream_carries_the_whole_answer_to_its_prompt() {
    let engine = start(fast_spec());
    let lines = stream_lines(&engine, &[]);
    expect_that!(lines.last().map(String::as_str), some(eq("data: [DONE]")));
    expect_that!(content(&lines), eq(&answer_text(PROMPT, 64)));
    expect_that!(engine.stats().finished, eq(1));
}

#[gtest]
fn unstreamed_answer_states_its_token_count() {
    let engine = start(fast_spec());
    let url = format!("http://{}/v1/chat/completions", engine.address());
    let answer: Value = ureq::post(url)
        .send_json(chat(false))
        .expect("answer")
        .body_mut()
        .read_json()
        .expect("JSON");
    let tokens = answer["usage"]["completion_tokens"].as_u64();
    expect_that!(tokens, some(eq(u64::from(answer_tokens(PROMPT, 64)))));
}

#[gtest]
fn cut_stream_has_no_end_event_and_resumes_after_its_last_token() {
    let engine = start(fast_spec());
    engine.set_faults(EngineFaults {
        cut_after: Some(2),
        ..EngineFaults::default()
    });
    let first = stream_lines(&engine, &[("x-call-id", "a")]);
    expect_that!(first.contains(&"data: [DONE]".to_owned()), eq(false));
    engine.set_faults(EngineFaults::default());
    let seen = content(&first).split_whitespace().count().to_string();
    let rest = stream_lines(&engine, &[("x-call-id", "a"), ("x-resume-from", &seen)]);
    let whole = content(&first) + &content(&rest);
    expect_that!(whole, eq(&answer_text(PROMPT, 64)));
    expect_that!(engine.stats().resumed, eq(1));
}

#[gtest]
fn old_fencing_number_is_refused_only_by_engines_that_check_it() {
    let order = |engine: &Engine, fencing: u64| {
        ureq::put(format!("http://{}/v1/desired", engine.address()))
            .send_json(json!({"fencing": fencing, "model": "assistant", "version": "2"}))
            .is_ok()
    };
    let checking = start(fast_spec());
    expect_that!(order(&checking, 7), eq(true));
    expect_that!(order(&checking, 6), eq(false));
    expect_that!(checking.stats().fenced_orders, eq(1));
    let ignoring = start(EngineSpec {
        fenced: false,
        ..fast_spec()
    });
    expect_that!(order(&ignoring, 7), eq(true));
    expect_that!(order(&ignoring, 6), eq(true));
}

#[gtest]
fn declined_call_is_not_started() {
    let engine = start(fast_spec());
    engine.set_faults(EngineFaults {
        decline: true,
        ..EngineFaults::default()
    });
    let url = format!("http://{}/v1/chat/completions", engine.address());
    let refused = ureq::post(url).send_json(chat(true));
    expect_that!(
        matches!(refused, Err(ureq::Error::StatusCode(503))),
        eq(true)
    );
    expect_that!(engine.stats().started, eq(0));
}
