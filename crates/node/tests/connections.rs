//! Callers' connections that are kept between calls.

mod common;

use common::{Backends, settings, start_node};
use core::time::Duration;
use googletest::prelude::*;
use poplarswitch_standins::EngineSpec;
use std::{
    io::{Read as _, Write as _},
    net::TcpStream,
    thread,
};

/// Sends a request without a body and returns the status line and the head of the response, which
/// is read up to the end of its body.
fn request(stream: &mut TcpStream) -> String {
    stream
        .write_all(b"GET /healthz HTTP/1.1\r\nhost: x\r\n\r\n")
        .expect("request is sent");
    let mut response = Vec::new();
    let mut byte = [0];
    while !response.ends_with(b"\r\n\r\nok") && stream.read(&mut byte).is_ok_and(|len| len == 1) {
        response.push(byte[0]);
    }
    String::from_utf8(response).expect("a UTF-8 response")
}

/// The node closed a connection that had been idle for its time limit on heads, just as a caller
/// sent the next call on it; the caller saw no answer.
#[gtest]
fn connection_stays_open_while_idle_for_longer_than_a_head_may_take() {
    let backends = Backends::start(1, &EngineSpec::default());
    let node = start_node(&backends);
    let mut stream = TcpStream::connect(node.addresses().callers).expect("connection opens");
    expect_that!(request(&mut stream), starts_with("HTTP/1.1 200"));
    thread::sleep(settings("vm-1").limits.head_timeout() + Duration::from_millis(500));
    expect_that!(request(&mut stream), starts_with("HTTP/1.1 200"));
}

/// The time limit on heads must not end with the first call of a connection.
#[gtest]
fn incomplete_head_on_a_kept_connection_is_cut_off() {
    let backends = Backends::start(1, &EngineSpec::default());
    let node = start_node(&backends);
    let mut stream = TcpStream::connect(node.addresses().callers).expect("connection opens");
    expect_that!(request(&mut stream), starts_with("HTTP/1.1 200"));
    stream
        .write_all(b"GET /healthz HT")
        .expect("part of a head is sent");
    let mut rest = String::new();
    let ended = stream.read_to_string(&mut rest);
    expect_that!(ended.is_ok() || rest.is_empty(), eq(true));
    expect_that!(rest, not(contains_substring("200 OK")));
}

/// A kept connection that no call uses must not be held for ever.
#[gtest]
fn idle_connection_is_closed_after_its_time_limit() {
    let backends = Backends::start(1, &EngineSpec::default());
    let mut settings = settings("vm-1");
    settings.limits.keep_alive_ms = 300;
    let node = common::start_with(settings, Some(backends.set()));
    let mut stream = TcpStream::connect(node.addresses().callers).expect("connection opens");
    expect_that!(request(&mut stream), starts_with("HTTP/1.1 200"));
    let mut rest = String::new();
    expect_that!(stream.read_to_string(&mut rest).is_ok(), eq(true));
    expect_that!(rest, eq(""));
}
