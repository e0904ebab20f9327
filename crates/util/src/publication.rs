//! Drives the cores of publication against the platform.
//!
//! The cores say what to ask and when to ask again; here the questions go out one by one.

use crate::error::{AwaySnafu, HeadSnafu, ToolError};
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

/// The platform and the clock.
pub(crate) trait Port {
    /// The time.
    fn now(&self) -> Time;
    /// Lets time pass.
    fn wait(&mut self, until: Time);
    /// Asks the platform.
    fn call(&mut self, request: &Request) -> Reply;
    /// The platform's address.
    fn peer(&self) -> &str;
}

/// How the platform is reached.
#[derive(Debug, clap::Args)]
pub(crate) struct PlatformArgs {
    /// Address of the platform, such as `http://10.0.0.1:7000`
    #[arg(long, env = "POPLARSWITCH_PLATFORM")]
    platform: String,
    /// Longest wait for the platform, in seconds
    #[arg(long, default_value_t = 60)]
    patience: u64,
}

impl PlatformArgs {
    /// Opens the port; nothing is asked yet.
    pub(crate) fn port(&self) -> LivePort {
        LivePort::new(&self.platform)
    }

    /// Longest wait for the platform.
    pub(crate) const fn patience(&self) -> Duration {
        Duration::from_secs(self.patience)
    }
}

/// The platform over HTTP and the clock of this process.
#[derive(Debug)]
pub(crate) struct LivePort {
    platform: HttpPlatform,
    peer: String,
    began: Instant,
}

impl LivePort {
    /// Takes the platform's address.
    pub(crate) fn new(peer: &str) -> Self {
        Self {
            platform: HttpPlatform::new(peer, Box::new(Adapter)),
            peer: peer.to_owned(),
            began: Instant::now(),
        }
    }
}

impl Port for LivePort {
    fn now(&self) -> Time {
        Time::ZERO + self.began.elapsed()
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
pub(crate) fn read(port: &mut impl Port, patience: Duration) -> Result<ReadOutcome, ToolError> {
    let deadline = port.now() + patience;
    let mut reader = Reader::default();
    let mut ids = RequestId::default();
    let mut asks = Vec::new();
    reader.start(&mut ids, &mut asks);
    loop {
        let mut queue: VecDeque<_> = asks.drain(..).collect();
        while let Some((id, request)) = queue.pop_front() {
            let reply = port.call(&request);
            let read = reader.reply(port.now(), (id, &reply), &mut ids, &mut asks);
            if let Some(read) = read {
                return read.context(HeadSnafu { peer: port.peer() });
            }
            queue.extend(asks.drain(..));
        }
        let wake = reader.next_wake().unwrap_or(deadline);
        if wake >= deadline {
            return AwaySnafu {
                step: "read the current set",
                peer: port.peer(),
            }
            .fail();
        }
        port.wait(wake);
        reader.tick(port.now(), &mut ids, &mut asks);
    }
}

/// Publishes a set and returns once the outcome is known, or known to be unknown.
pub(crate) fn publish(port: &mut impl Port, draft: Draft, verify: Verify) -> Outcome {
    let mut publisher = Publisher::new(draft, verify);
    let mut out = Vec::new();
    publisher.handle(port.now(), PublisherInput::Start, &mut out);
    let mut queue = VecDeque::new();
    loop {
        queue.extend(out.drain(..));
        if let Some(outcome) = finished(&queue) {
            tidy(port, queue);
            return outcome;
        }
        if let Some(PublisherOutput::Request { id, request }) = queue.pop_front() {
            let reply = port.call(&request);
            publisher.handle(port.now(), PublisherInput::Reply { id, reply }, &mut out);
            continue;
        }
        let wake = publisher.next_wake().unwrap_or(port.now());
        port.wait(wake);
        publisher.tick(port.now(), &mut out);
    }
}

fn finished(queue: &VecDeque<PublisherOutput>) -> Option<Outcome> {
    queue.iter().find_map(|output| match output {
        PublisherOutput::Finished(outcome) => Some(outcome.clone()),
        PublisherOutput::Request { .. } => None,
    })
}

/// Removes what is no longer used; what fails is removed by a later publication or stays.
fn tidy(port: &mut impl Port, queue: VecDeque<PublisherOutput>) {
    for output in queue {
        if let PublisherOutput::Request { request, .. } = output
            && matches!(
                port.call(&request),
                Reply::Unavailable { .. } | Reply::Unknown
            )
        {
            return;
        }
    }
}
