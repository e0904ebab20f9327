//! The objects that the fuzzed schedulers and pools run on.

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

/// A class and the route that its calls take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A booking at the service; may not run twice.
    Booking,
    /// A booking at the model, beside lower-tier work; may not run twice.
    BookingByModel,
    /// A short urgent call.
    Check,
    /// A long call of the lowest tier.
    Chat,
    /// A long call of the lowest tier at the service.
    ChatByService,
}

impl Kind {
    /// All kinds.
    pub const ALL: [Self; 5] = [
        Self::Booking,
        Self::BookingByModel,
        Self::Check,
        Self::Chat,
        Self::ChatByService,
    ];

    /// The class.
    pub const fn class(self) -> &'static str {
        match self {
            Self::Booking | Self::BookingByModel => "booking",
            Self::Check => "check",
            Self::Chat | Self::ChatByService => "chat",
        }
    }

    /// The place of the class's tier, the highest first.
    pub const fn rank(self) -> u8 {
        match self {
            Self::Booking | Self::BookingByModel => 0,
            Self::Check => 1,
            Self::Chat | Self::ChatByService => 2,
        }
    }

    /// Whether a call may run more than once.
    pub const fn repeatable(self) -> bool {
        !matches!(self, Self::Booking | Self::BookingByModel)
    }

    /// Longest wait for a slot.
    pub const fn max_wait(self) -> Duration {
        match self {
            Self::Booking | Self::BookingByModel => Duration::from_secs(8),
            Self::Check => Duration::from_secs(3),
            Self::Chat | Self::ChatByService => Duration::from_secs(20),
        }
    }

    /// What the call asks for.
    pub fn route(self) -> Route {
        match self {
            Self::Booking | Self::ChatByService => Route::Service("seats".into()),
            Self::BookingByModel | Self::Check | Self::Chat => Route::Model("tiny".into()),
        }
    }
}

/// The objects, in one of two forms: the second lacks an endpoint and has another slot.
pub fn set(second: bool) -> ObjectSet {
    let mut set: ObjectSet = serde_json::from_str(SET).expect("the set parses");
    if second {
        set.endpoints.remove(1);
        set.endpoints[0].slots += 1;
    }
    set
}

/// The catalog of a set.
pub fn catalog(second: bool) -> Arc<Catalog> {
    let generation = Generation(1 + u64::from(second));
    Arc::new(Catalog::build(&set(second), generation).expect("the set resolves"))
}

/// A call as its VM submits it.
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
