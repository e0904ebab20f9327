//! Numbers lie within sensible bounds.

use crate::{Code, Findings, finding::Spot};
use poplarswitch_objects::{Class, Kind, Model, ObjectSet, Target, Workspace};

const MAX_PERCENT: u32 = 100;
const MAX_TARGET_MS: u32 = 60 * 60 * 1_000;
const MAX_WAIT_MS: u32 = 60 * 60 * 1_000;
const MAX_INPUT_BYTES: u32 = 64 << 20;
const MAX_OUTPUT_TOKENS: u32 = 1_000_000;
const MAX_QUEUED: u32 = 1_000_000;
const MAX_SLOTS: u32 = 4_096;
const MAX_WEIGHT: u32 = 1_000_000;
const MAX_RATE: u32 = 1_000_000;
const MAX_IN_FLIGHT: u32 = 1_000_000;
const MAX_WEIGHT_MB: u32 = 16 << 20;
const MAX_MIN_READY: u32 = 100_000;

pub(crate) fn check(set: &ObjectSet, findings: &mut Findings) {
    for (index, class) in set.classes.iter().enumerate() {
        check_class(index, class, findings);
    }
    for (index, tier) in set.tiers.iter().enumerate() {
        let spot = spot(Kind::Tier, index, tier.name.as_str());
        let floor = u32::from(tier.floor_percent);
        at_most(spot, "floor_percent", floor, MAX_PERCENT, findings);
    }
    for (index, workspace) in set.workspaces.iter().enumerate() {
        check_workspace(index, workspace, findings);
    }
    for (index, model) in set.models.iter().enumerate() {
        check_model(index, model, findings);
    }
    for (index, endpoint) in set.endpoints.iter().enumerate() {
        let spot = spot(Kind::Endpoint, index, endpoint.name.as_str());
        within(spot, "slots", endpoint.slots, MAX_SLOTS, findings);
    }
}

const fn spot(kind: Kind, index: usize, name: &str) -> Spot<'_> {
    Spot { kind, index, name }
}

fn check_class(index: usize, class: &Class, findings: &mut Findings) {
    let spot = spot(Kind::Class, index, class.name.as_str());
    for (field, value) in target_fields(class.target) {
        within(spot, field, value, MAX_TARGET_MS, findings);
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
        ("limits.queued", class.limits.queued, MAX_QUEUED),
    ];
    for (field, value, most) in fields {
        within(spot, field, value, most, findings);
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
    let spot = spot(Kind::Workspace, index, workspace.name.as_str());
    let limits = workspace.limits;
    let fields = [
        ("weight", workspace.weight, MAX_WEIGHT),
        ("limits.rate", limits.rate, MAX_RATE),
        ("limits.in_flight", limits.in_flight, MAX_IN_FLIGHT),
        ("limits.queued", limits.queued, MAX_QUEUED),
    ];
    for (field, value, most) in fields {
        within(spot, field, value, most, findings);
    }
}

fn check_model(index: usize, model: &Model, findings: &mut Findings) {
    let spot = spot(Kind::Model, index, model.name.as_str());
    within(spot, "min_ready", model.min_ready, MAX_MIN_READY, findings);
    at_most(spot, "weight_mb", model.weight_mb, MAX_WEIGHT_MB, findings);
    if model.versions.is_empty() {
        let message = "is empty, expected at least one version";
        findings.add(spot, Code::NoVersion, "versions", message.to_owned());
    }
}

fn within(spot: Spot<'_>, field: &str, value: u32, most: u32, findings: &mut Findings) {
    if value == 0 {
        let message = format!("is 0, expected 1 to {most}");
        findings.add(spot, Code::ZeroLimit, field, message);
    }
    at_most(spot, field, value, most, findings);
}

fn at_most(spot: Spot<'_>, field: &str, value: u32, most: u32, findings: &mut Findings) {
    if value > most {
        let message = format!("is {value}, expected at most {most}");
        findings.add(spot, Code::AbsurdLimit, field, message);
    }
}
