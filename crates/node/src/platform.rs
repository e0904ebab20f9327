//! Sends requests to the platform from dedicated threads.
//!
//! A watch blocks its thread until the watched object changes or the watch times out, so watches
//! and short requests have one thread each. The event loop never waits for either thread. A call
//! waits for a reply only if its idempotency key has no token and so is claimed in the platform.

use crate::{
    event::{Event, PlatformReply},
    shared::Shared,
};
use core::time::Duration;
use crossbeam::channel::{Receiver, Sender, unbounded};
use poplarswitch_adapter::Adapter;
use poplarswitch_members::State;
use poplarswitch_platform::{Client, HttpPlatform, Rates};
use poplarswitch_store::{Reply, Request, RequestId};
use std::{io, sync::Arc, thread};

/// Rate limits of the platform, for all VMs together, in requests per second.
const TOTAL_RATES: Rates = Rates {
    writes: 300,
    reads: 2_000,
};
/// Platform clients per VM: one for watches and one for short requests.
const CLIENT_COUNT: u32 = 2;
/// Retry delay in the reply when no platform is configured.
const UNCONFIGURED_RETRY_DELAY: Duration = Duration::from_secs(30);

/// State machine that sent a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Requester {
    /// The follower of published sets.
    Follower,
    /// At-most-once execution of keyed calls.
    Keys,
    /// The lease for orders to engines, and the orders.
    Orders,
    /// The membership, which lists the VMs.
    Members,
}

/// A request in the queue of a client thread.
#[derive(Debug)]
struct QueuedRequest {
    requester: Requester,
    id: RequestId,
    request: Request,
}

/// Access to the platform, if one is configured.
#[derive(Debug)]
pub(crate) struct Platform {
    shared: Arc<Shared>,
    queues: Option<RequestQueues>,
}

#[derive(Debug)]
struct RequestQueues {
    watches: Sender<QueuedRequest>,
    short_requests: Sender<QueuedRequest>,
}

impl Platform {
    /// Starts the client threads if a platform is configured.
    pub(crate) fn start(shared: &Arc<Shared>) -> io::Result<Self> {
        let queues = match &shared.settings.platform {
            Some(url) => Some(RequestQueues {
                watches: start_client(shared, url, "watches")?,
                short_requests: start_client(shared, url, "platform")?,
            }),
            None => None,
        };
        Ok(Self {
            shared: Arc::clone(shared),
            queues,
        })
    }

    /// Whether a platform is configured.
    pub(crate) const fn is_configured(&self) -> bool {
        self.queues.is_some()
    }

    /// Queues a request; the reply arrives as an event.
    pub(crate) fn send(&self, requester: Requester, id: RequestId, request: Request) {
        let Some(queues) = &self.queues else {
            let reply = Reply::Unavailable {
                retry_after: UNCONFIGURED_RETRY_DELAY,
            };
            self.shared.send_event(Event::Platform(PlatformReply {
                requester,
                id,
                reply,
            }));
            return;
        };
        let queue = match &request {
            Request::Watch { .. } => &queues.watches,
            _ => &queues.short_requests,
        };
        self.shared.counters.platform_calls.inc();
        drop(queue.send(QueuedRequest {
            requester,
            id,
            request,
        }));
    }
}

fn start_client(shared: &Arc<Shared>, url: &str, name: &str) -> io::Result<Sender<QueuedRequest>> {
    let (sender, requests) = unbounded();
    let platform = Box::new(HttpPlatform::new(url, Box::new(Adapter)));
    let client = Client::new(platform, rate_share(shared), shared.incarnation.0);
    let shared = Arc::clone(shared);
    thread::Builder::new()
        .name(name.to_owned())
        .spawn(move || run_client(&shared, client, &requests))?;
    Ok(sender)
}

/// One client's share of the rate limits, from the number of VMs that are not gone.
fn rate_share(shared: &Shared) -> Rates {
    let members = shared.members.load();
    let present = members.iter().filter(|member| member.state != State::Gone);
    Rates::share(TOTAL_RATES, present.count().max(1) as u32 * CLIENT_COUNT)
}

fn run_client(shared: &Shared, mut client: Client, requests: &Receiver<QueuedRequest>) {
    for QueuedRequest {
        requester,
        id,
        request,
    } in requests
    {
        client.set_rates(rate_share(shared));
        let reply = client.call(shared.now(), &request);
        shared.send_event(Event::Platform(PlatformReply {
            requester,
            id,
            reply,
        }));
    }
}
