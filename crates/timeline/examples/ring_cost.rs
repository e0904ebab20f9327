//! Measures a full ring: its memory, the time per recorded event, and the size of its JSON.

use poplarswitch_entity::{Attempt, CallId, Incarnation};
use poplarswitch_timeline::{Event, EventKind, Ring};
use std::time::Instant;

const CAPACITY: usize = 16_384;
const EVENTS: u64 = 1_000_000;

fn main() {
    let incarnation = Incarnation(1);
    let mut ring = Ring::new("vm-1".into(), incarnation, CAPACITY);
    let endpoint = poplarswitch_entity::EndpointName::new("assistant-ifrane-1");
    let start = Instant::now();
    for seq in 0..EVENTS {
        let call = CallId {
            origin: incarnation,
            seq,
        };
        let kind = EventKind::Dispatched {
            endpoint: endpoint.clone(),
            attempt: Attempt(0),
        };
        ring.record(seq, Some(call), kind);
    }
    let per_event = start.elapsed() / EVENTS as u32;
    let json = serde_json::to_vec(&ring.recording()).map_or(0, |text| text.len());
    let held = ring.len() * size_of::<Event>();
    println!("{held} bytes held, {per_event:?} per event, {json} bytes of JSON");
}
