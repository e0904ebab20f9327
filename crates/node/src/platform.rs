//! Carries requests to the platform on threads of their own.
//!
//! A watch keeps its thread waiting, so watches and short requests have a thread each; no call
//! ever waits for either.

use crate::{
    event::{Event, Replied},
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
const FLEET_RATES: Rates = Rates {
    writes: 300,
    reads: 2_000,
};
/// Lanes of one VM, each with a client of its own.
const LANES: u32 = 2;
/// Retry time where no platform is set.
const RETRY_UNSET: Duration = Duration::from_secs(30);

/// Which core asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Asker {
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
struct Ask {
    asker: Asker,
    id: RequestId,
    request: Request,
}

/// The way to the platform, if one is set.
#[derive(Debug)]
pub(crate) struct Platform {
    shared: Arc<Shared>,
    lanes: Option<Lanes>,
}

#[derive(Debug)]
struct Lanes {
    watches: Sender<Ask>,
    others: Sender<Ask>,
}

impl Platform {
    /// Starts the threads.
    pub(crate) fn start(shared: &Arc<Shared>) -> io::Result<Self> {
        let lanes = match &shared.settings.platform {
            Some(url) => Some(Lanes {
                watches: lane(shared, url, "watches")?,
                others: lane(shared, url, "platform")?,
            }),
            None => None,
        };
        Ok(Self {
            shared: Arc::clone(shared),
            lanes,
        })
    }

    /// Whether a platform is set.
    pub(crate) const fn is_set(&self) -> bool {
        self.lanes.is_some()
    }

    /// Sends a request; the reply comes as an event.
    pub(crate) fn ask(&self, asker: Asker, id: RequestId, request: Request) {
        let Some(lanes) = &self.lanes else {
            let reply = Reply::Unavailable {
                retry_after: RETRY_UNSET,
            };
            self.shared
                .tell(Event::Platform(Replied { asker, id, reply }));
            return;
        };
        let lane = match &request {
            Request::Watch { .. } => &lanes.watches,
            _ => &lanes.others,
        };
        self.shared.counters.platform_calls.inc();
        drop(lane.send(Ask { asker, id, request }));
    }
}

fn lane(shared: &Arc<Shared>, url: &str, name: &str) -> io::Result<Sender<Ask>> {
    let (sender, asks) = unbounded();
    let platform = Box::new(HttpPlatform::new(url, Box::new(Adapter)));
    let client = Client::new(platform, share(shared), shared.incarnation.0);
    let shared = Arc::clone(shared);
    thread::Builder::new()
        .name(name.to_owned())
        .spawn(move || carry(&shared, client, &asks))?;
    Ok(sender)
}

/// One lane's part of the rates, by the VMs that are known.
fn share(shared: &Shared) -> Rates {
    let members = shared.members.load();
    let alive = members.iter().filter(|member| member.state != State::Gone);
    Rates::share(FLEET_RATES, alive.count().max(1) as u32 * LANES)
}

fn carry(shared: &Shared, mut client: Client, asks: &Receiver<Ask>) {
    for Ask { asker, id, request } in asks {
        client.set_rates(share(shared));
        let reply = client.call(shared.now(), &request);
        shared.tell(Event::Platform(Replied { asker, id, reply }));
    }
}
