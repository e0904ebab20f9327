//! Carries requests to the platform on threads of their own.
//!
//! A watch keeps its thread waiting, so watches and short requests have a thread each; no call
//! ever waits for either.

use crate::{
    event::{Event, PlatformResponse},
    shared::Shared,
};
use core::time::Duration;
use crossbeam::channel::{Receiver, Sender, unbounded};
use poplarswitch_adapter::Adapter;
use poplarswitch_members::State;
use poplarswitch_platform::{Client, HttpPlatform, Rates};
use poplarswitch_store::{Reply, Request, RequestId};
use std::{io, sync::Arc, thread};

/// The platform's rates, for the whole fleet.
const TOTAL_RATES: Rates = Rates {
    writes: 300,
    reads: 2_000,
};
/// RequestQueues of one VM, each with a client of its own.
const CLIENT_COUNT: u32 = 2;
/// Retry time where no platform is set.
const UNCONFIGURED_RETRY_DELAY: Duration = Duration::from_secs(30);

/// Which core requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Requester {
    /// The configuration follower.
    Follower,
    /// The keys of calls that must run at most once.
    Keys,
    /// The lease for orders to engines.
    Orders,
    /// The membership, which reads the list of VMs.
    Members,
}

/// A request on its way.
#[derive(Debug)]
struct QueuedRequest {
    requester: Requester,
    id: RequestId,
    request: Request,
}

/// The way to the platform, if one is set.
#[derive(Debug)]
pub(crate) struct Platform {
    shared: Arc<Shared>,
    queues: Option<RequestQueues>,
}

#[derive(Debug)]
struct RequestQueues {
    watches: Sender<QueuedRequest>,
    short_calls: Sender<QueuedRequest>,
}

impl Platform {
    /// Starts the threads.
    pub(crate) fn start(shared: &Arc<Shared>) -> io::Result<Self> {
        let queues = match &shared.settings.platform {
            Some(url) => Some(RequestQueues {
                watches: start_client(shared, url, "watches")?,
                short_calls: start_client(shared, url, "platform")?,
            }),
            None => None,
        };
        Ok(Self {
            shared: Arc::clone(shared),
            queues,
        })
    }

    /// Whether a platform is set.
    pub(crate) const fn is_configured(&self) -> bool {
        self.queues.is_some()
    }

    /// Sends a request; the reply comes as an event.
    pub(crate) fn send(&self, requester: Requester, id: RequestId, request: Request) {
        let Some(queues) = &self.queues else {
            let reply = Reply::Unavailable {
                retry_after: UNCONFIGURED_RETRY_DELAY,
            };
            self.shared.send_event(Event::Platform(PlatformResponse {
                requester,
                id,
                reply,
            }));
            return;
        };
        let queue = match &request {
            Request::Watch { .. } => &queues.watches,
            _ => &queues.short_calls,
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

/// One lane's part of the rates, by the VMs that are known.
fn rate_share(shared: &Shared) -> Rates {
    let members = shared.members.load();
    let alive = members.iter().filter(|member| member.state != State::Gone);
    Rates::share(TOTAL_RATES, alive.count().max(1) as u32 * CLIENT_COUNT)
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
        shared.send_event(Event::Platform(PlatformResponse {
            requester,
            id,
            reply,
        }));
    }
}
