//! The trace-event JSON that browsers display.
//!
//! Each life of a process becomes one process of the trace. A call is an asynchronous span
//! from its first to its last event in that process, with the events between as instants on
//! the span; everything else is an instant of the process.

use crate::{Event, Timeline};
use poplarswitch_entity::{CallId, Incarnation, VmName};
use serde::Serialize;
use std::collections::BTreeMap;

const CALL: &str = "call";
const PROCESS: &str = "process";
const MICROS_PER_MILLI: u64 = 1_000;

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
struct Entry {
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

/// A view in trace-event form; serialize it to get the file that browsers open.
#[derive(Debug, Serialize)]
pub struct Trace {
    #[serde(rename = "traceEvents")]
    entries: Vec<Entry>,
}

type Life<'a> = (&'a VmName, Incarnation);

/// First and last event of a call in one process, by position.
#[derive(Clone, Copy)]
struct Span {
    first: usize,
    last: usize,
}

impl Trace {
    /// Converts a view.
    pub fn new(view: &Timeline) -> Self {
        let pids = processes(view);
        let spans = spans(view);
        let mut entries: Vec<Entry> = pids.iter().map(|(life, pid)| named(*life, *pid)).collect();
        for (place, event) in view.events.iter().enumerate() {
            let pid = pids[&life(event)];
            let Some(call) = event.call else {
                entries.push(instant(event, pid));
                continue;
            };
            let span = spans[&(life(event), call)];
            if place == span.first {
                entries.push(on_span(event, call, pid, Phase::SpanBegin));
            }
            entries.push(on_span(event, call, pid, Phase::SpanInstant));
            if place == span.last {
                entries.push(on_span(event, call, pid, Phase::SpanEnd));
            }
        }
        Self { entries }
    }
}

const fn life(event: &Event) -> Life<'_> {
    (&event.vm, event.incarnation)
}

fn processes(view: &Timeline) -> BTreeMap<Life<'_>, u32> {
    let mut pids = BTreeMap::new();
    for event in &view.events {
        let next = pids.len() as u32 + 1;
        pids.entry(life(event)).or_insert(next);
    }
    pids
}

fn spans(view: &Timeline) -> BTreeMap<(Life<'_>, CallId), Span> {
    let mut spans = BTreeMap::new();
    for (place, event) in view.events.iter().enumerate() {
        let Some(call) = event.call else {
            continue;
        };
        let span = spans.entry((life(event), call)).or_insert(Span {
            first: place,
            last: place,
        });
        span.last = place;
    }
    spans
}

fn named((vm, incarnation): Life<'_>, pid: u32) -> Entry {
    Entry {
        name: "process_name".to_owned(),
        cat: PROCESS,
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

/// Events of one millisecond keep their order.
fn micros(event: &Event) -> u64 {
    let count = u64::from(event.at.count).min(MICROS_PER_MILLI - 1);
    event.at.wall_ms.saturating_mul(MICROS_PER_MILLI) + count
}

fn instant(event: &Event, pid: u32) -> Entry {
    Entry {
        name: event.kind.to_string(),
        cat: PROCESS,
        ph: Phase::Instant,
        ts: micros(event),
        pid,
        tid: 0,
        id2: None,
        s: Some("p"),
        args: Args::Event(event.kind.clone()),
    }
}

fn on_span(event: &Event, call: CallId, pid: u32, ph: Phase) -> Entry {
    let name = match ph {
        Phase::SpanInstant => event.kind.to_string(),
        _ => format!("call {call}"),
    };
    Entry {
        name,
        cat: CALL,
        ph,
        ts: micros(event),
        pid,
        tid: 0,
        id2: Some(LocalId {
            local: call.to_string(),
        }),
        s: None,
        args: Args::Event(event.kind.clone()),
    }
}
