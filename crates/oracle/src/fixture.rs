//! The set and the calls that the simulated schedulers and pools work on.

use core::time::Duration;
use poplarswitch_catalog::{Catalog, Route};
use poplarswitch_entity::{CallId, Generation, PrefixHash};
use poplarswitch_objects::ObjectSet;
use poplarswitch_scheduler::Request;
use std::sync::Arc;

const SET: &str = r#"{
    "tiers": [
        {"name": "bookings", "rank": 0},
        {"name": "urgent", "rank": 1},
        {"name": "chat", "rank": 2, "floor_percent": 10}
    ],
    "classes": [
        {"name": "booking", "tier": "bookings", "repeatable": false, "max_wait_ms": 8000,
            "models": ["tiny"], "services": ["seats"],
            "target": {"answer": {"answer_ms": 1500}}},
        {"name": "check", "tier": "urgent", "max_wait_ms": 3000,
            "target": {"answer": {"answer_ms": 1500}}},
        {"name": "chat", "tier": "chat", "max_wait_ms": 20000,
            "limits": {"slot_percent": 75, "queued": 50},
            "target": {"stream": {"first_token_ms": 4000, "inter_token_ms": 80}}}
    ],
    "workspaces": [{"name": "w0", "weight": 2}, {"name": "w1"}],
    "models": [{"name": "tiny", "versions": ["1"], "default_class": "chat"}],
    "services": [{"name": "seats", "default_class": "booking"}],
    "endpoints": [
        {"name": "e0", "address": "127.0.0.1:1", "data_centre": "a", "slots": 3,
            "serves": {"model": {"model": "tiny", "version": "1"}}},
        {"name": "e1", "address": "127.0.0.1:2", "data_centre": "b", "slots": 2,
            "serves": {"model": {"model": "tiny", "version": "1"}}},
        {"name": "s0", "address": "127.0.0.1:3", "data_centre": "a", "slots": 2,
            "serves": {"service": {"service": "seats"}}},
        {"name": "s1", "address": "127.0.0.1:4", "data_centre": "b", "slots": 1,
            "serves": {"service": {"service": "seats"}}}
    ]
}"#;

/// The class of a call and the route that it takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A call of class `booking` to the service; not repeatable.
    NonRepeatable,
    /// A call of class `booking` to the model, which also serves the lower tiers; not repeatable.
    NonRepeatableAtModel,
    /// A short call of the middle tier to the model.
    Check,
    /// A long call of the lowest tier to the model.
    Chat,
    /// A long call of the lowest tier to the service.
    ChatAtService,
}

impl Kind {
    /// All kinds.
    pub const ALL: [Self; 5] = [
        Self::NonRepeatable,
        Self::NonRepeatableAtModel,
        Self::Check,
        Self::Chat,
        Self::ChatAtService,
    ];

    /// The class's name in the set.
    pub const fn class(self) -> &'static str {
        match self {
            Self::NonRepeatable | Self::NonRepeatableAtModel => "booking",
            Self::Check => "check",
            Self::Chat | Self::ChatAtService => "chat",
        }
    }

    /// The rank of the class's tier; 0 is the highest tier.
    pub const fn rank(self) -> u8 {
        match self {
            Self::NonRepeatable | Self::NonRepeatableAtModel => 0,
            Self::Check => 1,
            Self::Chat | Self::ChatAtService => 2,
        }
    }

    /// Whether the class is repeatable: a call may run more than once.
    pub const fn repeatable(self) -> bool {
        !matches!(self, Self::NonRepeatable | Self::NonRepeatableAtModel)
    }

    /// Longest queue wait that the class allows.
    pub const fn max_wait(self) -> Duration {
        match self {
            Self::NonRepeatable | Self::NonRepeatableAtModel => Duration::from_secs(8),
            Self::Check => Duration::from_secs(3),
            Self::Chat | Self::ChatAtService => Duration::from_secs(20),
        }
    }

    /// The model or the service that the call is for.
    pub fn route(self) -> Route {
        match self {
            Self::NonRepeatable | Self::ChatAtService => Route::Service("seats".into()),
            Self::NonRepeatableAtModel | Self::Check | Self::Chat => Route::Model("tiny".into()),
        }
    }
}

/// One of two sets: the alternate one lacks an endpoint and has one slot more at another.
pub fn set(alternate_set: bool) -> ObjectSet {
    let mut set: ObjectSet = serde_json::from_str(SET).expect("test set parses");
    if alternate_set {
        set.endpoints.remove(1);
        set.endpoints[0].slots += 1;
    }
    set
}

/// The catalog of one of the two sets.
pub fn catalog(alternate_set: bool) -> Arc<Catalog> {
    let generation = Generation(1 + u64::from(alternate_set));
    Arc::new(Catalog::build(&set(alternate_set), generation).expect("test set resolves"))
}

/// A call's request as its VM submits it.
pub fn request(call: CallId, kind: Kind) -> Request {
    Request {
        call,
        class: kind.class().into(),
        workspace: if call.seq.is_multiple_of(3) {
            "w1"
        } else {
            "w0"
        }
        .into(),
        route: kind.route(),
        adapter: None,
        prefix: PrefixHash(call.seq % 4),
        input_tokens: 10,
        max_tokens: 100,
        data_centre: "a".into(),
        waited: Duration::ZERO,
    }
}
