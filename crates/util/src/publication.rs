//! Reads and publishes sets at the platform.
//!
//! [`Reader`] and [`Publisher`] are state machines without I/O. This module sends their requests
//! to the platform one after another and calls their `tick` method when it is due.

use crate::error::{CurrentSetSnafu, PlatformTimeoutSnafu, ToolError};
use core::time::Duration;
use poplarswitch_adapter::Adapter;
use poplarswitch_entity::Time;
use poplarswitch_platform::{HttpPlatform, Platform as _};
use poplarswitch_publish::{
    Draft, Outcome, Publisher, PublisherInput, PublisherOutput, ReadOutcome, Reader, Verify,
};
use poplarswitch_store::{Reply, Request, RequestId};
use snafu::ResultExt;
use std::{collections::VecDeque, thread, time::Instant};

/// Access to the platform and to a clock.
pub(crate) trait PlatformIo {
    /// Returns the current time.
    fn now(&self) -> Time;
    /// Blocks until a time.
    fn wait(&mut self, until: Time);
    /// Sends a request to the platform and returns its reply.
    fn call(&mut self, request: &Request) -> Reply;
    /// Returns the platform's address.
    fn peer(&self) -> &str;
}

/// Address of the platform and longest wait for it.
#[derive(Debug, clap::Args)]
pub(crate) struct PlatformArgs {
    /// Address of the platform, such as `http://10.0.0.1:7000`
    #[arg(long, env = "POPLARSWITCH_PLATFORM")]
    platform: String,
    /// Longest time for reading or publishing a set, in seconds
    #[arg(long, default_value_t = 60)]
    patience: u64,
}

impl PlatformArgs {
    /// Creates a client of the platform; no request is sent.
    pub(crate) fn client(&self) -> HttpPlatformIo {
        HttpPlatformIo::new(&self.platform)
    }

    /// Longest time for reading or publishing a set.
    pub(crate) const fn timeout(&self) -> Duration {
        Duration::from_secs(self.patience)
    }
}

/// The platform over HTTP, and a clock that starts at zero when this value is created.
#[derive(Debug)]
pub(crate) struct HttpPlatformIo {
    platform: HttpPlatform,
    peer: String,
    start: Instant,
}

impl HttpPlatformIo {
    /// Creates a client of the platform at an address; no request is sent.
    pub(crate) fn new(peer: &str) -> Self {
        Self {
            platform: HttpPlatform::new(peer, Box::new(Adapter)),
            peer: peer.to_owned(),
            start: Instant::now(),
        }
    }
}

impl PlatformIo for HttpPlatformIo {
    fn now(&self) -> Time {
        Time::ZERO + self.start.elapsed()
    }

    fn wait(&mut self, until: Time) {
        thread::sleep(until.since(self.now()));
    }

    fn call(&mut self, request: &Request) -> Reply {
        self.platform.call(request)
    }

    fn peer(&self) -> &str {
        &self.peer
    }
}

/// Reads the current set.
///
/// Returns an error if the set can't be read, or not within `timeout`.
pub(crate) fn read_set(
    io: &mut impl PlatformIo,
    timeout: Duration,
) -> Result<ReadOutcome, ToolError> {
    let deadline = io.now() + timeout;
    let mut reader = Reader::default();
    let mut ids = RequestId::default();
    let mut requests = Vec::new();
    reader.start(&mut ids, &mut requests);
    loop {
        let mut queue: VecDeque<_> = requests.drain(..).collect();
        while let Some((id, request)) = queue.pop_front() {
            let reply = io.call(&request);
            let outcome = reader.reply(io.now(), (id, &reply), &mut ids, &mut requests);
            if let Some(outcome) = outcome {
                return outcome.context(CurrentSetSnafu { peer: io.peer() });
            }
            queue.extend(requests.drain(..));
        }
        let wake = reader.next_wake().unwrap_or(deadline);
        if wake >= deadline {
            return PlatformTimeoutSnafu {
                step: "read the current set",
                peer: io.peer(),
            }
            .fail();
        }
        io.wait(wake);
        reader.tick(io.now(), &mut ids, &mut requests);
    }
}

/// Publishes a set.
///
/// Returns once the outcome is known, or as undecided if it can't be determined within the
/// draft's timeout.
pub(crate) fn publish(io: &mut impl PlatformIo, draft: Draft, verify: Verify) -> Outcome {
    let mut publisher = Publisher::new(draft, verify);
    let mut out = Vec::new();
    publisher.handle(io.now(), PublisherInput::Start, &mut out);
    let mut queue = VecDeque::new();
    loop {
        queue.extend(out.drain(..));
        if let Some(outcome) = find_outcome(&queue) {
            delete_unused(io, queue);
            return outcome;
        }
        if let Some(PublisherOutput::Request { id, request }) = queue.pop_front() {
            let reply = io.call(&request);
            publisher.handle(io.now(), PublisherInput::Reply { id, reply }, &mut out);
            continue;
        }
        let wake = publisher.next_wake().unwrap_or(io.now());
        io.wait(wake);
        publisher.tick(io.now(), &mut out);
    }
}

fn find_outcome(queue: &VecDeque<PublisherOutput>) -> Option<Outcome> {
    queue.iter().find_map(|output| match output {
        PublisherOutput::Finished(outcome) => Some(outcome.clone()),
        PublisherOutput::Request { .. } => None,
    })
}

/// Sends the remaining requests, such as those that delete unused blobs, until the outcome of one is
/// unavailable or unknown; blobs that are not deleted stay in the store.
fn delete_unused(io: &mut impl PlatformIo, queue: VecDeque<PublisherOutput>) {
    for output in queue {
        if let PublisherOutput::Request { request, .. } = output
            && matches!(
                io.call(&request),
                Reply::Unavailable { .. } | Reply::Unknown
            )
        {
            return;
        }
    }
}
