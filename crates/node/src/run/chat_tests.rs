use super::chat::read_whole;
use googletest::prelude::*;
use std::{
    io::{Read as _, Write as _},
    net::TcpListener,
    thread,
};

/// Answers one request with the given bytes and closes the connection; returns what was read.
fn read_answer(answer: &'static str) -> Option<String> {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut request = [0; 1_024];
        let _read = stream.read(&mut request).unwrap();
        stream.write_all(answer.as_bytes()).unwrap();
    });
    let response = ureq::get(format!("http://{address}/")).call().unwrap();
    let body = read_whole(response, 1_000);
    server.join().unwrap();
    body.ok()
        .map(|bytes| String::from_utf8(bytes.to_vec()).unwrap())
}

/// Guards against a broken answer without length and chunks that is passed on with a length.
#[gtest]
fn answer_without_known_end_is_not_whole() {
    let cases = [
        ("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nab", Some("ab")),
        ("HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nab", None),
        (
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
            Some("ab"),
        ),
        (
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nab\r\n",
            None,
        ),
        ("HTTP/1.1 200 OK\r\n\r\nab", None),
        ("HTTP/1.1 200 OK\r\n\r\n", None),
        ("HTTP/1.1 200 OK\r\n\r\n{\"a\":[1", None),
        ("HTTP/1.1 200 OK\r\n\r\n12", None),
        ("HTTP/1.1 200 OK\r\n\r\n{\"a\":[1]}", Some("{\"a\":[1]}")),
        ("HTTP/1.1 204 No Content\r\n\r\n", Some("")),
    ];
    for (answer, whole) in cases {
        expect_that!(read_answer(answer).as_deref(), eq(whole), "{answer:?}");
    }
}
