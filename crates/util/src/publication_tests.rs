use crate::{
    commands::apply::{ApplyOutcome, Intent, errors},
    error::ToolError,
    exit::Exit,
    publication::{PlatformIo, publish, read_set},
};
use core::time::Duration;
use googletest::prelude::*;
use poplarswitch_entity::{Generation, Time};
use poplarswitch_objects::ObjectSet;
use poplarswitch_store::{MemoryStore, Reply, Request};
use std::collections::VecDeque;

const TIMEOUT: Duration = Duration::from_secs(30);

/// Treatment of a request by the simulated platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    /// Executes it and replies.
    None,
    /// Does not execute it, and replies that the platform is unavailable.
    Unavailable,
    /// Executes it and loses the reply.
    ReplyLost,
    /// Loses the request; the effect is unknown to the sender.
    RequestLost,
}

/// A platform in memory, and a clock that advances only by waiting.
struct SimPlatform {
    store: MemoryStore,
    now: Time,
    /// Faults of the next writes of the head, one for each write.
    head_faults: VecDeque<Fault>,
    /// Fault of all other requests.
    default_fault: Fault,
    calls: usize,
}

impl SimPlatform {
    fn new() -> Self {
        Self {
            store: MemoryStore::new(),
            now: Time::ZERO,
            head_faults: VecDeque::new(),
            default_fault: Fault::None,
            calls: 0,
        }
    }

    fn fault(&mut self, request: &Request) -> Fault {
        match request {
            Request::Put { key, .. } if *key == poplarswitch_publish::head_key() => {
                self.head_faults.pop_front().unwrap_or(self.default_fault)
            }
            _ => self.default_fault,
        }
    }
}

impl PlatformIo for SimPlatform {
    fn now(&self) -> Time {
        self.now
    }

    fn wait(&mut self, until: Time) {
        self.now = self.now.max(until);
    }

    fn call(&mut self, request: &Request) -> Reply {
        self.calls += 1;
        let unavailable = Reply::Unavailable {
            retry_after: Duration::from_millis(200),
        };
        match self.fault(request) {
            Fault::None => self.store.apply(request),
            Fault::Unavailable => unavailable,
            Fault::ReplyLost => {
                self.store.apply(request);
                Reply::Unknown
            }
            Fault::RequestLost => Reply::Unknown,
        }
    }

    fn peer(&self) -> &'static str {
        "simulation"
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

fn apply(platform: &mut SimPlatform, set: ObjectSet, compared: Option<Generation>) -> ApplyOutcome {
    let draft = intent().draft(set, compared, TIMEOUT);
    publish(platform, draft, Box::new(|_, set| errors(set))).into()
}

fn generation(platform: &mut SimPlatform) -> Option<Generation> {
    let read = read_set(platform, TIMEOUT).expect("the platform replies");
    read.snapshot
        .map(|snapshot| snapshot.head.current.generation)
}

#[gtest]
fn first_and_second_set_are_accepted() {
    let mut platform = SimPlatform::new();
    expect_that!(apply(&mut platform, set(0), None).exit(), eq(Exit::Success));
    let first = generation(&mut platform);
    expect_that!(
        apply(&mut platform, set(1), first).exit(),
        eq(Exit::Success)
    );
    expect_that!(generation(&mut platform), gt(first));
    let read = read_set(&mut platform, TIMEOUT).expect("the platform replies");
    expect_that!(
        read.snapshot.map(|snapshot| snapshot.set),
        some(eq(&set(1)))
    );
}

#[gtest]
fn set_compared_with_an_older_generation_is_a_conflict() {
    let mut platform = SimPlatform::new();
    apply(&mut platform, set(0), None);
    let first = generation(&mut platform);
    apply(&mut platform, set(1), first);
    for compared in [None, first] {
        let outcome = apply(&mut platform, set(2), compared);
        expect_that!(outcome.exit(), eq(Exit::Conflict), "{outcome:?}");
    }
}

#[gtest]
fn invalid_set_is_not_published() {
    let mut platform = SimPlatform::new();
    let outcome = apply(&mut platform, ObjectSet::default(), None);
    expect_that!(outcome.exit(), eq(Exit::Invalid));
    expect_that!(generation(&mut platform), none());
}

#[gtest]
fn set_is_accepted_although_head_writes_fail_or_lose_their_replies() {
    for fault in [Fault::ReplyLost, Fault::RequestLost, Fault::Unavailable] {
        let mut platform = SimPlatform::new();
        platform.head_faults = VecDeque::from([fault, fault]);
        let outcome = apply(&mut platform, set(0), None);
        expect_that!(outcome.exit(), eq(Exit::Success), "{fault:?} {outcome:?}");
        expect_that!(generation(&mut platform), some(eq(Generation(1))));
    }
}

#[gtest]
fn platform_outage_ends_in_bounded_time() {
    let mut platform = SimPlatform::new();
    platform.default_fault = Fault::Unavailable;
    let outcome = apply(&mut platform, set(0), None);
    expect_that!(outcome.exit(), eq(Exit::Unreachable));
    expect_that!(platform.now.as_secs_f64(), le(TIMEOUT.as_secs_f64() + 1.0));
    expect_that!(platform.calls, lt(1_000));
    let error = read_set(&mut platform, TIMEOUT).expect_err("no reply");
    expect_that!(matches!(error, ToolError::PlatformTimeout { .. }), eq(true));
}

#[gtest]
fn publication_is_undecided_if_the_platform_fails_after_the_head_write() {
    let mut platform = SimPlatform::new();
    platform.head_faults = VecDeque::from([Fault::RequestLost]);
    let draft = intent().draft(set(0), None, TIMEOUT);
    let nonce = draft.nonce;
    // The request for the head write is lost, and the platform is unavailable afterwards.
    let mut failing = FailAfterHeadWrite(platform);
    let outcome = ApplyOutcome::from(publish(&mut failing, draft, Box::new(|_, set| errors(set))));
    expect_that!(outcome, eq(&ApplyOutcome::Undecided { nonce }));
    expect_that!(outcome.exit(), eq(Exit::Undecided));
    let mut recovered = failing.0;
    recovered.default_fault = Fault::None;
    let intent = Intent {
        nonce: Some(nonce),
        ..intent()
    };
    for _ in 0..2 {
        let draft = intent.draft(set(0), None, TIMEOUT);
        let outcome = ApplyOutcome::from(publish(
            &mut recovered,
            draft,
            Box::new(|_, set| errors(set)),
        ));
        expect_that!(outcome.exit(), eq(Exit::Success), "{outcome:?}");
        expect_that!(generation(&mut recovered), some(eq(Generation(1))));
    }
}

/// Makes the platform unavailable after the first write of the head.
struct FailAfterHeadWrite(SimPlatform);

impl PlatformIo for FailAfterHeadWrite {
    fn now(&self) -> Time {
        self.0.now()
    }

    fn wait(&mut self, until: Time) {
        self.0.wait(until);
    }

    fn call(&mut self, request: &Request) -> Reply {
        let reply = self.0.call(request);
        if self.0.head_faults.is_empty() {
            self.0.default_fault = Fault::Unavailable;
        }
        reply
    }

    fn peer(&self) -> &'static str {
        "simulation"
    }
}
