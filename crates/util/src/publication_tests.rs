use crate::{
    commands::apply::{Ending, Intent, errors},
    error::ToolError,
    exit::Exit,
    publication::{Port, publish, read},
};
use core::time::Duration;
use googletest::prelude::*;
use poplarswitch_entity::{Generation, Time};
use poplarswitch_objects::ObjectSet;
use poplarswitch_store::{MemoryStore, Reply, Request};
use std::collections::VecDeque;

const PATIENCE: Duration = Duration::from_secs(30);

/// What the double does with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    /// Carries it out and answers.
    None,
    /// Does nothing and says so.
    Away,
    /// Carries it out and loses the answer.
    Lost,
    /// Does nothing and leaves the outcome unknown.
    Dropped,
}

/// The platform in memory and a clock that moves only by waits.
struct Double {
    store: MemoryStore,
    now: Time,
    /// Faults of the next writes of the head, then of all requests.
    head_faults: VecDeque<Fault>,
    then: Fault,
    calls: usize,
}

impl Double {
    fn new() -> Self {
        Self {
            store: MemoryStore::new(),
            now: Time::ZERO,
            head_faults: VecDeque::new(),
            then: Fault::None,
            calls: 0,
        }
    }

    fn fault(&mut self, request: &Request) -> Fault {
        match request {
            Request::Put { key, .. } if *key == poplarswitch_publish::head_key() => {
                self.head_faults.pop_front().unwrap_or(self.then)
            }
            _ => self.then,
        }
    }
}

impl Port for Double {
    fn now(&self) -> Time {
        self.now
    }

    fn wait(&mut self, until: Time) {
        self.now = self.now.max(until);
    }

    fn call(&mut self, request: &Request) -> Reply {
        self.calls += 1;
        let away = Reply::Unavailable {
            retry_after: Duration::from_millis(200),
        };
        match self.fault(request) {
            Fault::None => self.store.apply(request),
            Fault::Away => away,
            Fault::Lost => {
                self.store.apply(request);
                Reply::Unknown
            }
            Fault::Dropped => Reply::Unknown,
        }
    }

    fn peer(&self) -> &'static str {
        "double"
    }
}

fn set(rank: u8) -> ObjectSet {
    let text = format!(r#"{{"tiers": [{{"name": "high", "rank": {rank}}}]}}"#);
    serde_json::from_str(&text).expect("test set parses")
}

fn intent() -> Intent {
    Intent {
        author: "lina".to_owned(),
        note: "test".to_owned(),
        base: None,
        nonce: None,
    }
}

fn apply(port: &mut Double, set: ObjectSet, compared: Option<Generation>) -> Ending {
    let draft = intent().draft(set, compared, PATIENCE);
    publish(port, draft, Box::new(|_, set| errors(set))).into()
}

fn generation(port: &mut Double) -> Option<Generation> {
    let read = read(port, PATIENCE).expect("the platform answers");
    read.snapshot
        .map(|snapshot| snapshot.head.current.generation)
}

#[gtest]
fn a_first_and_a_second_set_are_accepted() {
    let mut port = Double::new();
    expect_that!(apply(&mut port, set(0), None).exit(), eq(Exit::Success));
    let first = generation(&mut port);
    expect_that!(apply(&mut port, set(1), first).exit(), eq(Exit::Success));
    expect_that!(generation(&mut port), gt(first));
    let read = read(&mut port, PATIENCE).expect("the platform answers");
    expect_that!(
        read.snapshot.map(|snapshot| snapshot.set),
        some(eq(&set(1)))
    );
}

#[gtest]
fn a_set_compared_with_an_older_generation_is_a_conflict() {
    let mut port = Double::new();
    apply(&mut port, set(0), None);
    let first = generation(&mut port);
    apply(&mut port, set(1), first);
    for compared in [None, first] {
        let ending = apply(&mut port, set(2), compared);
        expect_that!(ending.exit(), eq(Exit::Conflict), "{ending:?}");
    }
}

#[gtest]
fn an_invalid_set_is_not_published() {
    let mut port = Double::new();
    let ending = apply(&mut port, ObjectSet::default(), None);
    expect_that!(ending.exit(), eq(Exit::Invalid));
    expect_that!(generation(&mut port), none());
}

#[gtest]
fn a_lost_answer_is_resolved() {
    for fault in [Fault::Lost, Fault::Dropped, Fault::Away] {
        let mut port = Double::new();
        port.head_faults = VecDeque::from([fault, fault]);
        let ending = apply(&mut port, set(0), None);
        expect_that!(ending.exit(), eq(Exit::Success), "{fault:?} {ending:?}");
        expect_that!(generation(&mut port), some(eq(Generation(1))));
    }
}

#[gtest]
fn an_outage_ends_in_bounded_time() {
    let mut port = Double::new();
    port.then = Fault::Away;
    let ending = apply(&mut port, set(0), None);
    expect_that!(ending.exit(), eq(Exit::Unreachable));
    expect_that!(port.now.as_secs_f64(), le(PATIENCE.as_secs_f64() + 1.0));
    expect_that!(port.calls, lt(1_000));
    let error = read(&mut port, PATIENCE).expect_err("no answer");
    expect_that!(matches!(error, ToolError::Away { .. }), eq(true));
}

#[gtest]
fn an_outage_after_the_update_was_sent_is_undecided() {
    let mut port = Double::new();
    port.head_faults = VecDeque::from([Fault::Dropped]);
    let draft = intent().draft(set(0), None, PATIENCE);
    let nonce = draft.nonce;
    // The update is sent, and nothing answers from then on.
    let mut cut = CutAfterHead(port);
    let ending = Ending::from(publish(&mut cut, draft, Box::new(|_, set| errors(set))));
    expect_that!(ending, eq(&Ending::Undecided { nonce }));
    expect_that!(ending.exit(), eq(Exit::Undecided));
    let mut healed = cut.0;
    healed.then = Fault::None;
    let intent = Intent {
        nonce: Some(nonce),
        ..intent()
    };
    for _ in 0..2 {
        let draft = intent.draft(set(0), None, PATIENCE);
        let ending = Ending::from(publish(&mut healed, draft, Box::new(|_, set| errors(set))));
        expect_that!(ending.exit(), eq(Exit::Success), "{ending:?}");
        expect_that!(generation(&mut healed), some(eq(Generation(1))));
    }
}

/// Answers nothing once the first write of the head was sent.
struct CutAfterHead(Double);

impl Port for CutAfterHead {
    fn now(&self) -> Time {
        self.0.now()
    }

    fn wait(&mut self, until: Time) {
        self.0.wait(until);
    }

    fn call(&mut self, request: &Request) -> Reply {
        let reply = self.0.call(request);
        if self.0.head_faults.is_empty() {
            self.0.then = Fault::Away;
        }
        reply
    }

    fn peer(&self) -> &'static str {
        "double"
    }
}
