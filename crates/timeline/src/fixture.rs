//! Recordings for tests.

use crate::{EventKind, Outcome, Recording, Ring};
use poplarswitch_entity::{Attempt, CallId, Incarnation};

/// Identifier of the recorded call.
pub(crate) const CALL: CallId = CallId {
    origin: Incarnation(1),
    seq: 7,
};

/// Recordings of a call that VM `a` forwards to VM `b`, whose wall clock is two seconds behind.
pub(crate) fn forwarded_call() -> [Recording; 2] {
    let mut a = Ring::new("a".into(), Incarnation(1), 16);
    let mut b = Ring::new("b".into(), Incarnation(2), 16);
    let arrived = EventKind::Arrived {
        class: "ask".into(),
        workspace: "atlas".into(),
    };
    a.record(10_000, Some(CALL), arrived);
    a.record(10_001, Some(CALL), EventKind::Forwarded { to: "b".into() });
    b.observe(8_001, a.last());
    b.record(8_001, Some(CALL), EventKind::Queued { depth: 1 });
    let dispatched = EventKind::Dispatched {
        endpoint: "e1".into(),
        attempt: Attempt(0),
    };
    b.record(8_002, Some(CALL), dispatched);
    a.observe(10_002, b.last());
    a.record(10_002, Some(CALL), EventKind::FirstToken);
    let ended = EventKind::Ended {
        outcome: Outcome::Answered,
        tokens: 3,
    };
    a.record(10_009, Some(CALL), ended);
    b.record(8_020, None, EventKind::PlatformDown);
    [a.recording(), b.recording()]
}
