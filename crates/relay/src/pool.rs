//! Pool of idle connections to endpoints, one list for each incarnation of an endpoint.

use crate::{
    clock,
    tcp::{self, ConnectError, Sender},
};
use core::{net::SocketAddr, time::Duration};
use poplarswitch_entity::Time;
use poplarswitch_ingress::EndpointKey;
use std::{
    collections::HashMap,
    sync::{Mutex, PoisonError},
};

/// Time limit for a new connection; a live endpoint accepts within a few milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum idle time of a connection that is reused, also if the endpoint announces a longer one.
const MAX_IDLE_TIME: Duration = Duration::from_secs(4);
/// Longest announced idle time-out that is distinguished from longer ones.
const MAX_ANNOUNCED_TIME: Duration = Duration::from_mins(1);
/// Percentage of the announced idle time-out after which a connection is not reused; the endpoint's
/// timer has started earlier than this VM's.
const IDLE_TIMEOUT_PERCENT: u32 = 70;

#[derive(Debug)]
struct IdleConnection {
    sender: Sender,
    released: Time,
    expires: Time,
}

/// Idle connections to endpoints.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    idle: Mutex<HashMap<EndpointKey, Vec<IdleConnection>>>,
}

/// A connection that carries one request at a time.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(crate) sender: Sender,
    pub(crate) reused: bool,
    /// A time at which it was open.
    pub(crate) open: Time,
}

impl Pool {
    /// Returns an idle connection, or opens a new one. With `new_connection`, always opens a new
    /// one: a request that may run only once must not be lost on a connection that the endpoint is
    /// about to close.
    pub(crate) async fn acquire(
        &self,
        key: EndpointKey,
        address: SocketAddr,
        new_connection: bool,
    ) -> Result<Connection, ConnectError> {
        if !new_connection && let Some(idle) = self.take_idle(key) {
            return Ok(Connection {
                sender: idle.sender,
                reused: true,
                open: idle.released,
            });
        }
        let sender = tcp::open(address, CONNECT_TIMEOUT).await?;
        Ok(Connection {
            sender,
            reused: false,
            open: clock::now(),
        })
    }

    /// Returns a connection to the pool after a complete response, unless the pool holds `max_idle`
    /// connections to the endpoint.
    pub(crate) fn release(
        &self,
        key: EndpointKey,
        sender: Sender,
        idle_timeout: Option<Duration>,
        max_idle: usize,
    ) {
        if sender.is_closed() {
            return;
        }
        let idle_time = usable_idle_time(idle_timeout);
        let now = clock::now();
        let mut idle = self.lock();
        let connections = idle.entry(key).or_default();
        connections.retain(|connection| connection.expires > now && !connection.sender.is_closed());
        if connections.len() < max_idle {
            connections.push(IdleConnection {
                sender,
                released: now,
                expires: now + idle_time,
            });
        }
    }

    /// Drops the connections to an endpoint that has been removed.
    pub(crate) fn remove(&self, key: EndpointKey) {
        self.lock().remove(&key);
    }

    /// Drops connections that are closed or have exceeded their maximum idle time; returns the
    /// endpoints that have closed some before that time.
    pub(crate) fn evict_idle(&self) -> Vec<EndpointKey> {
        let now = clock::now();
        let mut idle = self.lock();
        let closed = idle.iter_mut().filter_map(|(key, connections)| {
            let has_closed = remove_closed(connections, now);
            has_closed.then_some(*key)
        });
        let closed = closed.collect();
        idle.retain(|_, connections| !connections.is_empty());
        closed
    }

    /// Drops the connections to an endpoint that are closed or have exceeded their maximum idle time;
    /// returns whether the endpoint has closed some before that time.
    pub(crate) fn remove_closed(&self, key: EndpointKey) -> bool {
        let now = clock::now();
        let mut idle = self.lock();
        idle.get_mut(&key)
            .is_some_and(|connections| remove_closed(connections, now))
    }

    fn take_idle(&self, key: EndpointKey) -> Option<IdleConnection> {
        let now = clock::now();
        let mut idle = self.lock();
        let connections = idle.get_mut(&key)?;
        connections.retain(|connection| connection.expires > now && !connection.sender.is_closed());
        let index = connections
            .iter()
            .rposition(|connection| connection.sender.is_ready())?;
        Some(connections.swap_remove(index))
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<EndpointKey, Vec<IdleConnection>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Idle time for which a connection is reused if its endpoint announces an idle time-out.
pub(crate) fn usable_idle_time(announced: Option<Duration>) -> Duration {
    announced.map_or(MAX_IDLE_TIME, |announced| {
        let bounded = announced.min(MAX_ANNOUNCED_TIME);
        (bounded * IDLE_TIMEOUT_PERCENT / 100).min(MAX_IDLE_TIME)
    })
}

/// Drops connections that are closed or have exceeded their maximum idle time; returns whether some
/// were closed before that time.
fn remove_closed(connections: &mut Vec<IdleConnection>, now: Time) -> bool {
    connections.retain(|connection| connection.expires > now);
    let open = connections.len();
    connections.retain(|connection| !connection.sender.is_closed());
    connections.len() < open
}
