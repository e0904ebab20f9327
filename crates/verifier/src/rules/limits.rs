//! Checks that limits are within their bounds and that models have a version.
//!
//! The upper bounds, other than 100 percent, are far above any useful value, so that a value
//! above them is a mistake.

use crate::{Code, Findings, finding::Subject};
use poplarswitch_objects::{Class, Kind, Model, ObjectSet, Target, Workspace};

const MAX_PERCENT: u32 = 100;
const MAX_TARGET_MS: u32 = 60 * 60 * 1_000;
const MAX_WAIT_MS: u32 = 60 * 60 * 1_000;
const MAX_INPUT_BYTES: u32 = 64 << 20;
const MAX_OUTPUT_TOKENS: u32 = 1_000_000;
const MAX_QUEUED_CALLS: u32 = 1_000_000;
const MAX_SLOTS: u32 = 4_096;
const MAX_WORKSPACE_WEIGHT: u32 = 1_000_000;
const MAX_CALLS_PER_SECOND: u32 = 1_000_000;
const MAX_RUNNING_CALLS: u32 = 1_000_000;
const MAX_WEIGHT_MB: u32 = 16 << 20;
const MAX_READY_REPLICAS: u32 = 100_000;

pub(crate) fn check(set: &ObjectSet, findings: &mut Findings) {
    for (index, class) in set.classes.iter().enumerate() {
        check_class(index, class, findings);
    }
    for (index, tier) in set.tiers.iter().enumerate() {
        let subject = subject(Kind::Tier, index, tier.name.as_str());
        let floor = u32::from(tier.floor_percent);
        check_max(subject, "floor_percent", floor, MAX_PERCENT, findings);
    }
    for (index, workspace) in set.workspaces.iter().enumerate() {
        check_workspace(index, workspace, findings);
    }
    for (index, model) in set.models.iter().enumerate() {
        check_model(index, model, findings);
    }
    for (index, endpoint) in set.endpoints.iter().enumerate() {
        let subject = subject(Kind::Endpoint, index, endpoint.name.as_str());
        check_range(subject, "slots", endpoint.slots, MAX_SLOTS, findings);
    }
}

const fn subject(kind: Kind, index: usize, name: &str) -> Subject<'_> {
    Subject { kind, index, name }
}

fn check_class(index: usize, class: &Class, findings: &mut Findings) {
    let subject = subject(Kind::Class, index, class.name.as_str());
    for (field, value) in target_fields(class.target) {
        check_range(subject, field, value, MAX_TARGET_MS, findings);
    }
    let fields = [
        ("max_input_bytes", class.max_input_bytes, MAX_INPUT_BYTES),
        (
            "max_output_tokens",
            class.max_output_tokens,
            MAX_OUTPUT_TOKENS,
        ),
        ("max_wait_ms", class.max_wait_ms, MAX_WAIT_MS),
        (
            "limits.slot_percent",
            class.limits.slot_percent.into(),
            MAX_PERCENT,
        ),
        ("limits.queued", class.limits.queued, MAX_QUEUED_CALLS),
    ];
    for (field, value, max) in fields {
        check_range(subject, field, value, max, findings);
    }
}

fn target_fields(target: Target) -> Vec<(&'static str, u32)> {
    match target {
        Target::Stream {
            first_token_ms,
            inter_token_ms,
        } => vec![
            ("target.stream.first_token_ms", first_token_ms),
            ("target.stream.inter_token_ms", inter_token_ms),
        ],
        Target::Answer { answer_ms } => vec![("target.answer.answer_ms", answer_ms)],
    }
}

fn check_workspace(index: usize, workspace: &Workspace, findings: &mut Findings) {
    let subject = subject(Kind::Workspace, index, workspace.name.as_str());
    let limits = workspace.limits;
    let fields = [
        ("weight", workspace.weight, MAX_WORKSPACE_WEIGHT),
        ("limits.rate", limits.rate, MAX_CALLS_PER_SECOND),
        ("limits.in_flight", limits.in_flight, MAX_RUNNING_CALLS),
        ("limits.queued", limits.queued, MAX_QUEUED_CALLS),
    ];
    for (field, value, max) in fields {
        check_range(subject, field, value, max, findings);
    }
}

fn check_model(index: usize, model: &Model, findings: &mut Findings) {
    let subject = subject(Kind::Model, index, model.name.as_str());
    check_range(
        subject,
        "min_ready",
        model.min_ready,
        MAX_READY_REPLICAS,
        findings,
    );
    check_max(
        subject,
        "weight_mb",
        model.weight_mb,
        MAX_WEIGHT_MB,
        findings,
    );
    if model.versions.is_empty() {
        let message = "is empty, expected at least one version";
        findings.add(subject, Code::NoVersion, "versions", message.to_owned());
    }
}

fn check_range(subject: Subject<'_>, field: &str, value: u32, max: u32, findings: &mut Findings) {
    if value == 0 {
        let message = format!("is 0, expected 1 to {max}");
        findings.add(subject, Code::ZeroLimit, field, message);
    }
    check_max(subject, field, value, max, findings);
}

fn check_max(subject: Subject<'_>, field: &str, value: u32, max: u32, findings: &mut Findings) {
    if value > max {
        let message = format!("is {value}, expected at most {max}");
        findings.add(subject, Code::AbsurdLimit, field, message);
    }
}
