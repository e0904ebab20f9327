//! Kept connections to endpoints, by life of an endpoint.

use crate::{
    clock,
    tcp::{self, OpenError, Sender},
};
use core::{net::SocketAddr, time::Duration};
use poplarswitch_entity::Time;
use poplarswitch_ingress::EndpointKey;
use std::{
    collections::HashMap,
    sync::{Mutex, PoisonError},
};

/// Time for a new connection; a live endpoint accepts within a few milliseconds.
const CONNECT_WITHIN: Duration = Duration::from_millis(400);
/// Idle time after which a connection is not used again, where the endpoint states none.
const IDLE_MOST: Duration = Duration::from_secs(4);
/// Part of the stated idle time that is used; the endpoint's clock started earlier than ours.
const STATED_PERCENT: u32 = 70;

#[derive(Debug)]
struct Idle {
    sender: Sender,
    until: Time,
}

/// Kept connections.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    lanes: Mutex<HashMap<EndpointKey, Vec<Idle>>>,
}

/// A connection for one request.
#[derive(Debug)]
pub(crate) struct Lease {
    pub(crate) sender: Sender,
    pub(crate) kept: bool,
}

impl Pool {
    /// A kept connection, or a new one. With `fresh`, always a new one: a request that may run
    /// only once must not be lost to a connection that the endpoint is about to close.
    pub(crate) async fn acquire(
        &self,
        key: EndpointKey,
        address: SocketAddr,
        fresh: bool,
    ) -> Result<Lease, OpenError> {
        if !fresh && let Some(sender) = self.kept(key) {
            return Ok(Lease { sender, kept: true });
        }
        let sender = tcp::open(address, CONNECT_WITHIN).await?;
        Ok(Lease {
            sender,
            kept: false,
        })
    }

    /// Takes a connection back after a whole answer, unless `most` are kept already.
    pub(crate) fn put(
        &self,
        key: EndpointKey,
        sender: Sender,
        stated: Option<Duration>,
        most: usize,
    ) {
        if sender.is_closed() {
            return;
        }
        let idle = stated.map_or(IDLE_MOST, |stated| {
            (stated * STATED_PERCENT / 100).min(IDLE_MOST)
        });
        let now = clock::now();
        let mut lanes = self.lanes();
        let lane = lanes.entry(key).or_default();
        lane.retain(|idle| idle.until > now && !idle.sender.is_closed());
        if lane.len() < most {
            lane.push(Idle {
                sender,
                until: now + idle,
            });
        }
    }

    /// Drops the connections to an endpoint that is gone.
    pub(crate) fn forget(&self, key: EndpointKey) {
        self.lanes().remove(&key);
    }

    /// Drops connections that have been idle for too long.
    pub(crate) fn trim(&self) {
        let now = clock::now();
        self.lanes().retain(|_, lane| {
            lane.retain(|idle| idle.until > now && !idle.sender.is_closed());
            !lane.is_empty()
        });
    }

    fn kept(&self, key: EndpointKey) -> Option<Sender> {
        let now = clock::now();
        let mut lanes = self.lanes();
        let lane = lanes.get_mut(&key)?;
        lane.retain(|idle| idle.until > now && !idle.sender.is_closed());
        let place = lane.iter().rposition(|idle| idle.sender.is_ready())?;
        Some(lane.swap_remove(place).sender)
    }

    fn lanes(&self) -> std::sync::MutexGuard<'_, HashMap<EndpointKey, Vec<Idle>>> {
        self.lanes.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
