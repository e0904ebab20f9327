//! Timeline in the JSON trace event format, which trace viewers of browsers display.
//!
//! Each incarnation of a VM becomes one process of the trace. A call becomes an asynchronous
//! span from its first to its last event in that process, with each event as an instant on the
//! span. Events without a call become instants of the process.

use crate::{Event, Timeline};
use poplarswitch_entity::{CallId, Incarnation, VmName};
use serde::Serialize;
use std::collections::BTreeMap;

const CALL_CATEGORY: &str = "call";
const PROCESS_CATEGORY: &str = "process";
const MICROS_PER_MS: u64 = 1_000;

#[derive(Clone, Copy, Debug, Serialize)]
enum Phase {
    #[serde(rename = "M")]
    Metadata,
    #[serde(rename = "b")]
    SpanBegin,
    #[serde(rename = "n")]
    SpanInstant,
    #[serde(rename = "e")]
    SpanEnd,
    #[serde(rename = "i")]
    Instant,
}

#[derive(Debug, Serialize)]
struct LocalId {
    local: String,
}

#[derive(Debug, Serialize)]
#[serde(untagged)]
enum Args {
    Name { name: String },
    Event(crate::EventKind),
}

#[derive(Debug, Serialize)]
struct TraceEvent {
    name: String,
    cat: &'static str,
    ph: Phase,
    ts: u64,
    pid: u32,
    tid: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    id2: Option<LocalId>,
    #[serde(skip_serializing_if = "Option::is_none")]
    s: Option<&'static str>,
    args: Args,
}

/// Timeline in the trace event format; its JSON is the content of a trace file.
#[derive(Debug, Serialize)]
pub struct Trace {
    #[serde(rename = "traceEvents")]
    events: Vec<TraceEvent>,
}

type ProcessKey<'a> = (&'a VmName, Incarnation);

/// Positions of the first and last event of a call in one process.
#[derive(Clone, Copy)]
struct Span {
    first: usize,
    last: usize,
}

impl Trace {
    /// Converts a timeline.
    pub fn new(timeline: &Timeline) -> Self {
        let pids = assign_pids(timeline);
        let spans = find_spans(timeline);
        let mut events: Vec<TraceEvent> = pids
            .iter()
            .map(|(process, pid)| process_name(*process, *pid))
            .collect();
        for (index, event) in timeline.events.iter().enumerate() {
            let pid = pids[&process_key(event)];
            let Some(call) = event.call else {
                events.push(instant_event(event, pid));
                continue;
            };
            let span = spans[&(process_key(event), call)];
            if index == span.first {
                events.push(span_event(event, call, pid, Phase::SpanBegin));
            }
            events.push(span_event(event, call, pid, Phase::SpanInstant));
            if index == span.last {
                events.push(span_event(event, call, pid, Phase::SpanEnd));
            }
        }
        Self { events }
    }
}

const fn process_key(event: &Event) -> ProcessKey<'_> {
    (&event.vm, event.incarnation)
}

fn assign_pids(timeline: &Timeline) -> BTreeMap<ProcessKey<'_>, u32> {
    let mut pids = BTreeMap::new();
    for event in &timeline.events {
        let next = pids.len() as u32 + 1;
        pids.entry(process_key(event)).or_insert(next);
    }
    pids
}

fn find_spans(timeline: &Timeline) -> BTreeMap<(ProcessKey<'_>, CallId), Span> {
    let mut spans = BTreeMap::new();
    for (index, event) in timeline.events.iter().enumerate() {
        let Some(call) = event.call else {
            continue;
        };
        let span = spans.entry((process_key(event), call)).or_insert(Span {
            first: index,
            last: index,
        });
        span.last = index;
    }
    spans
}

fn process_name((vm, incarnation): ProcessKey<'_>, pid: u32) -> TraceEvent {
    TraceEvent {
        name: "process_name".to_owned(),
        cat: PROCESS_CATEGORY,
        ph: Phase::Metadata,
        ts: 0,
        pid,
        tid: 0,
        id2: None,
        s: None,
        args: Args::Name {
            name: format!("{vm} {incarnation}"),
        },
    }
}

/// Time of an event in microseconds; the counter of the stamp keeps the order of the events
/// of one millisecond, as far as it is below 1,000.
fn timestamp_us(event: &Event) -> u64 {
    let count = u64::from(event.at.count).min(MICROS_PER_MS - 1);
    event.at.wall_ms.saturating_mul(MICROS_PER_MS) + count
}

fn instant_event(event: &Event, pid: u32) -> TraceEvent {
    TraceEvent {
        name: event.kind.to_string(),
        cat: PROCESS_CATEGORY,
        ph: Phase::Instant,
        ts: timestamp_us(event),
        pid,
        tid: 0,
        id2: None,
        s: Some("p"),
        args: Args::Event(event.kind.clone()),
    }
}

fn span_event(event: &Event, call: CallId, pid: u32, ph: Phase) -> TraceEvent {
    let name = match ph {
        Phase::SpanInstant => event.kind.to_string(),
        _ => format!("call {call}"),
    };
    TraceEvent {
        name,
        cat: CALL_CATEGORY,
        ph,
        ts: timestamp_us(event),
        pid,
        tid: 0,
        id2: Some(LocalId {
            local: call.to_string(),
        }),
        s: None,
        args: Args::Event(event.kind.clone()),
    }
}
