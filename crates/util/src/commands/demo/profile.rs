//! Rate and content of the calls of each class.

use poplarswitch_objects::{Class, ObjectSet};

/// Rate of a class without a profile of its own, in calls per second.
const DEFAULT_CALLS_PER_S: u32 = 4;
/// Prompt length of a class without a profile of its own, in words.
const DEFAULT_PROMPT_WORDS: u32 = 40;
/// Maximum answer length of a class without a profile of its own, in tokens.
const DEFAULT_MAX_TOKENS: u32 = 64;

/// Kind of the calls of a class, and what they call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum CallKind {
    /// Chat calls.
    Chat {
        /// Model.
        model: String,
        /// Approximate prompt length, in words.
        words: u32,
        /// Maximum answer length, in tokens.
        max_tokens: u32,
    },
    /// Service calls.
    Service {
        /// Service.
        service: String,
    },
}

/// Rate and content of the calls of one class.
#[derive(Clone, Debug)]
pub(super) struct Profile {
    /// Class.
    pub(super) class: Class,
    /// Calls per second, over all callers.
    pub(super) rate: u32,
    /// Kind of the calls.
    pub(super) kind: CallKind,
}

#[derive(Clone, Copy, Debug)]
struct Workload {
    rate: u32,
    words: u32,
    max_tokens: u32,
}

/// Returns the profiles of all classes of a set that name a model or service.
pub(super) fn profiles(set: &ObjectSet) -> Vec<Profile> {
    set.classes.iter().filter_map(profile).collect()
}

fn profile(class: &Class) -> Option<Profile> {
    let workload = workload(class);
    let kind = match (class.models.first(), class.services.first()) {
        (Some(model), _) => CallKind::Chat {
            model: model.to_string(),
            words: workload.words,
            max_tokens: workload.max_tokens.min(class.max_output_tokens),
        },
        (None, Some(service)) => CallKind::Service {
            service: service.to_string(),
        },
        (None, None) => return None,
    };
    Some(Profile {
        class: class.clone(),
        rate: workload.rate,
        kind,
    })
}

fn workload(class: &Class) -> Workload {
    match class.name.as_str() {
        "availability-check" | "refill-question" => Workload {
            rate: 12,
            words: 20,
            max_tokens: 32,
        },
        "dawn-briefing" | "deposit-notice" => Workload {
            rate: 4,
            words: 200,
            max_tokens: 128,
        },
        "planner-chat" | "reconciliation" => Workload {
            rate: 6,
            words: 400,
            max_tokens: 512,
        },
        _ => Workload {
            rate: DEFAULT_CALLS_PER_S,
            words: DEFAULT_PROMPT_WORDS,
            max_tokens: DEFAULT_MAX_TOKENS,
        },
    }
}
