use crate::{Service, ServiceFaults};
use core::net::SocketAddr;
use googletest::prelude::*;

fn start() -> Service {
    Service::start(SocketAddr::from(([127, 0, 0, 1], 0))).expect("loopback port")
}

fn post_booking(service: &Service, key: &str) -> std::result::Result<String, ureq::Error> {
    ureq::post(format!("http://{}/book", service.address()))
        .header("idempotency-key", key)
        .send("two sleds")?
        .body_mut()
        .read_to_string()
}

#[gtest]
fn each_run_of_a_key_is_counted() {
    let service = start();
    expect_that!(
        post_booking(&service, "a"),
        ok(contains_substring("two sleds"))
    );
    expect_that!(post_booking(&service, "a").is_ok(), eq(true));
    expect_that!(service.stats().runs["a"], eq(2));
    expect_that!(service.stats().repeated_keys(), eq(1));
}

#[gtest]
fn declined_call_is_not_run() {
    let service = start();
    service.set_faults(ServiceFaults {
        decline: true,
        ..ServiceFaults::default()
    });
    expect_that!(post_booking(&service, "a").is_err(), eq(true));
    expect_that!(service.stats().runs.len(), eq(0));
}

#[gtest]
fn call_with_a_lost_answer_is_run() {
    let service = start();
    service.set_faults(ServiceFaults {
        lose_answers: true,
        ..ServiceFaults::default()
    });
    expect_that!(post_booking(&service, "a").is_err(), eq(true));
    expect_that!(service.stats().runs["a"], eq(1));
}
