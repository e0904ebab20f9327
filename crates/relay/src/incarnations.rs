//! Which incarnation of an endpoint serves: doubts, the reports that end them, and the streams that wait
//! for one; see [`poplarswitch_ingress::VersionPin`].

use crate::{
    call_forwarder::CallForwarder,
    clock,
    origins::UntoldOrigin,
    placement::fetch_report,
    pool::Connection,
    shared::Shared,
    tcp::{self, Sender},
};
use core::{net::SocketAddr, time::Duration};
use poplarswitch_entity::Time;
use poplarswitch_ingress::{EndpointKey, EngineReport, Incarnation, SoftwareVersion};
use std::{collections::HashMap, sync::Arc};
use tokio::time::{sleep, timeout};

/// Time limit for the report that shows which incarnation of an endpoint serves.
const CHECK_TIMEOUT: Duration = Duration::from_millis(150);
/// Age of the view of the endpoints above which an endpoint may have been started again without an
/// entry that tells of it.
const MAX_TRUSTED_AGE: Duration = Duration::from_millis(1_500);
/// Time after which an endpoint without a report is checked again for the first time; doubles with each
/// check.
const MIN_CHECK_INTERVAL: Duration = Duration::from_millis(150);
/// Maximum time after which an endpoint without a report is checked again.
const MAX_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which a stream waits for a report.
const MAX_WAIT: Duration = Duration::from_secs(10);
/// Maximum number of streams that wait for a report of one endpoint.
const MAX_WAITING: usize = 1_000;

/// A stream that its endpoint has begun in doubt.
#[derive(Debug)]
pub(crate) struct UnprovedStream {
    /// When it began; an earlier report is no proof.
    pub(crate) began: Time,
    /// Its origin, if the endpoint is the incarnation that is known.
    pub(crate) origin: UntoldOrigin,
}

/// Streams that wait for a report of each endpoint; a task checks those endpoints.
pub(crate) type UnprovedStreams = HashMap<EndpointKey, Vec<UnprovedStream>>;

impl Shared {
    /// Records that the process of an endpoint may have ended: a connection to it has.
    pub(crate) fn mark_in_doubt(&self, key: EndpointKey) {
        if let Some(endpoint) = self.core().endpoints.get_mut(key) {
            endpoint.doubted = Some(clock::now());
        }
    }

    /// Records that a connection to an endpoint was opened. Another process than the entry tells of may
    /// have accepted it, until the platform shows the entry again. While the view of the endpoints is
    /// old, only a report ends the doubt.
    pub(crate) fn record_connection(&self, key: EndpointKey) {
        self.metrics.connections.inc();
        let now = clock::now();
        let mut core = self.core();
        let confirmed = core.endpoints_confirmed;
        let is_fresh = confirmed.is_some_and(|at| now.since(at) < MAX_TRUSTED_AGE);
        if let Some(endpoint) = core.endpoints.get_mut(key) {
            endpoint.opened = Some(now);
            if !is_fresh {
                endpoint.doubted = Some(now);
            }
        }
    }

    /// Asks an endpoint on a new connection whether it is the incarnation that this VM knows. A result
    /// holds for all streams that it began before.
    async fn find_incarnation(&self, key: EndpointKey) -> Incarnation {
        let asked = clock::now();
        let endpoint = self.core().endpoints.get(key).cloned();
        let found = match endpoint {
            None => Incarnation::Other,
            // A report would be a request too.
            Some(endpoint) if endpoint.pause.holds(asked) => Incarnation::Undecided,
            Some(endpoint) => {
                let report = self.request_report(endpoint.entry.address).await;
                Incarnation::of(report.as_ref(), endpoint.entry.start_ms)
            }
        };
        self.settle_streams(key, asked, found);
        found
    }

    async fn request_report(&self, address: SocketAddr) -> Option<EngineReport> {
        self.metrics.probes.inc();
        self.metrics.connections.inc();
        let check = async {
            let sender = tcp::open(address, CHECK_TIMEOUT).await.ok()?;
            let connection = Connection {
                sender,
                reused: false,
            };
            fetch_report(self, connection, address).await.ok()
        };
        let report = timeout(CHECK_TIMEOUT, check).await.ok().flatten();
        report.map(|(report, _)| report)
    }

    /// Takes in the result of a check that was made at `asked`.
    fn settle_streams(&self, key: EndpointKey, asked: Time, found: Incarnation) {
        if found == Incarnation::Undecided {
            return;
        }
        let now = clock::now();
        let mut core = self.core();
        if found == Incarnation::Known
            && let Some(endpoint) = core.endpoints.get_mut(key)
        {
            endpoint.end_doubt(asked);
        }
        let Some(waiting) = core.unproved.get_mut(&key) else {
            return;
        };
        let settled = waiting.extract_if(.., |stream| stream.began <= asked);
        let settled: Vec<UnprovedStream> = settled.collect();
        if found == Incarnation::Known {
            for stream in settled {
                core.record_origin(now, stream.origin);
            }
            self.origin_news.notify_one();
        }
    }

    /// Lets a stream wait for a report of the endpoint that began it.
    pub(crate) fn await_proof(self: &Arc<Self>, key: EndpointKey, stream: UnprovedStream) {
        let mut core = self.core();
        let is_checked = core.unproved.contains_key(&key);
        let waiting = core.unproved.entry(key).or_default();
        if waiting.len() < MAX_WAITING {
            waiting.push(stream);
        }
        drop(core);
        if !is_checked {
            tokio::spawn(check_repeatedly(Arc::clone(self), key));
        }
    }

    /// Whether streams wait for a report of an endpoint; forgets those that have waited for too long.
    fn is_awaited(&self, key: EndpointKey) -> bool {
        let now = clock::now();
        let mut core = self.core();
        let Some(waiting) = core.unproved.get_mut(&key) else {
            return false;
        };
        waiting.retain(|stream| now.since(stream.began) < MAX_WAIT);
        let is_awaited = !waiting.is_empty();
        if !is_awaited {
            core.unproved.remove(&key);
        }
        is_awaited
    }
}

/// Checks an endpoint until no stream waits for its report.
async fn check_repeatedly(shared: Arc<Shared>, key: EndpointKey) {
    let mut interval = MIN_CHECK_INTERVAL;
    loop {
        sleep(interval).await;
        if !shared.is_awaited(key) {
            return;
        }
        shared.find_incarnation(key).await;
        interval = MAX_CHECK_INTERVAL.min(interval * 2);
    }
}

impl CallForwarder {
    /// Which incarnation of an endpoint of a version has just answered.
    pub(crate) async fn check_answering(
        &self,
        key: EndpointKey,
        software: &SoftwareVersion,
    ) -> Incarnation {
        let is_doubted = {
            let core = self.shared.core();
            if core.is_replaced(key, &self.record.endpoint, software) {
                return Incarnation::Other;
            }
            let endpoint = core.endpoints.get(key);
            endpoint.is_some_and(|endpoint| endpoint.is_doubted(core.endpoints_confirmed))
        };
        if !is_doubted {
            return Incarnation::Known;
        }
        self.shared.find_incarnation(key).await
    }

    /// Checks the endpoint that began the stream once more, if its version is not proved.
    pub(crate) async fn prove_version(&mut self, key: EndpointKey) {
        if !self.request.pin.is_unproved() {
            return;
        }
        let found = self.shared.find_incarnation(key).await;
        self.request.pin.settle(found);
        if self.request.pin.proved().is_some() {
            self.record_origin();
        }
    }

    /// Checks on a connection that its endpoint is the incarnation that this VM knows; returns the
    /// connection if so.
    pub(crate) async fn check_incarnation(
        &self,
        key: EndpointKey,
        address: SocketAddr,
        connection: Connection,
    ) -> Result<Connection, String> {
        let start_ms = {
            let core = self.shared.core();
            let endpoint = core.endpoints.get(key);
            endpoint.map(|endpoint| endpoint.entry.start_ms)
        };
        let start_ms = start_ms.ok_or("the endpoint was removed")?;
        let reused = connection.reused;
        self.shared.metrics.probes.inc();
        let report = fetch_report(&self.shared, connection, address);
        let report = timeout(CHECK_TIMEOUT, report).await;
        let (report, sender): (EngineReport, Sender) =
            report.map_err(|_elapsed| "no report in time".to_owned())??;
        match Incarnation::of(Some(&report), start_ms) {
            Incarnation::Known => Ok(Connection { sender, reused }),
            Incarnation::Other | Incarnation::Undecided => {
                Err("another incarnation serves under the endpoint's name".to_owned())
            }
        }
    }
}
