use crate::{ErrorBody, ErrorCode, ErrorInfo, Ran};
use core::time::Duration;
use googletest::prelude::*;
use poplarswitch_scheduler::{ConclusionKind, RefusalReason};

#[gtest]
fn a_refusal_is_always_not_run() {
    let reasons = [
        RefusalReason::RateLimit,
        RefusalReason::QueueFull,
        RefusalReason::Overload,
        RefusalReason::WaitExpired,
        RefusalReason::Unknown,
        RefusalReason::NoEndpoint,
    ];
    for reason in reasons {
        expect_that!(ErrorCode::from(reason).ran(), eq(Ran::NotRun));
    }
}

#[gtest]
fn a_verdict_is_never_not_run() {
    expect_that!(ErrorCode::from(ConclusionKind::Failed).ran(), eq(Ran::Ran));
    expect_that!(
        ErrorCode::from(ConclusionKind::InDoubt).ran(),
        eq(Ran::InDoubt)
    );
}

#[gtest]
fn the_body_carries_step_peer_and_retry_time() {
    let error =
        ErrorInfo::new(ErrorCode::Overload, "vm-1").with_retry_after(Duration::from_secs(2));
    let text = ErrorBody { error }.to_json();
    for part in [
        r#""code":"overload""#,
        r#""step":"admit""#,
        r#""peer":"vm-1""#,
        r#""ran":"not_run""#,
        r#""retry_after_ms":2000"#,
    ] {
        expect_that!(text, contains_substring(part));
    }
}
