//! What the callers of each class do.

use poplarswitch_objects::{Class, ObjectSet};

/// Calls a second of a class that has no profile of its own.
const DEFAULT_RATE: u32 = 4;
/// Words of a prompt of a class that has no profile of its own.
const DEFAULT_WORDS: u32 = 40;
/// Most tokens of an answer of a class that has no profile of its own.
const DEFAULT_TOKENS: u32 = 64;

/// What a call asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Aim {
    /// A chat with a model.
    Chat {
        /// The model.
        model: String,
        /// Words of the prompt.
        words: u32,
        /// Most tokens of the answer.
        max_tokens: u32,
    },
    /// A plain service.
    Service {
        /// The service.
        service: String,
    },
}

/// The calls of one class.
#[derive(Clone, Debug)]
pub(super) struct Profile {
    /// The class.
    pub(super) class: Class,
    /// Calls a second over all callers.
    pub(super) rate: u32,
    /// What a call asks for.
    pub(super) aim: Aim,
}

#[derive(Clone, Copy, Debug)]
struct Shape {
    rate: u32,
    words: u32,
    max_tokens: u32,
}

/// The profiles of all classes of a set that ask for anything.
pub(super) fn profiles(set: &ObjectSet) -> Vec<Profile> {
    set.classes.iter().filter_map(profile).collect()
}

fn profile(class: &Class) -> Option<Profile> {
    let shape = shape(class);
    let aim = match (class.models.first(), class.services.first()) {
        (Some(model), _) => Aim::Chat {
            model: model.to_string(),
            words: shape.words,
            max_tokens: shape.max_tokens.min(class.max_output_tokens),
        },
        (None, Some(service)) => Aim::Service {
            service: service.to_string(),
        },
        (None, None) => return None,
    };
    Some(Profile {
        class: class.clone(),
        rate: shape.rate,
        aim,
    })
}

fn shape(class: &Class) -> Shape {
    match class.name.as_str() {
        "availability-check" | "refill-question" => Shape {
            rate: 12,
            words: 20,
            max_tokens: 32,
        },
        "dawn-briefing" | "deposit-notice" => Shape {
            rate: 4,
            words: 200,
            max_tokens: 128,
        },
        "planner-chat" | "reconciliation" => Shape {
            rate: 6,
            words: 400,
            max_tokens: 512,
        },
        _ => Shape {
            rate: DEFAULT_RATE,
            words: DEFAULT_WORDS,
            max_tokens: DEFAULT_TOKENS,
        },
    }
}
