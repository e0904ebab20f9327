use crate::{ErrorBody, ErrorCode, ErrorInfo, Ran};
use core::time::Duration;
use googletest::prelude::*;
use poplarswitch_scheduler::{ConclusionKind, RefusalReason};

#[gtest]
fn every_refusal_means_not_run() {
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
fn conclusions_mean_ran_or_in_doubt() {
    expect_that!(ErrorCode::from(ConclusionKind::Failed).ran(), eq(Ran::Ran));
    expect_that!(
        ErrorCode::from(ConclusionKind::InDoubt).ran(),
        eq(Ran::InDoubt)
    );
}

#[gtest]
fn error_body_has_code_step_peer_and_retry_time() {
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
