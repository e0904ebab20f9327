//! Which incarnation of an endpoint serves: doubts, the reports that end them, and the streams that wait
//! for one; see [`poplarswitch_ingress::VersionPin`].

use crate::{
    call_forwarder::CallForwarder,
    clock,
    endpoint_checks::{CheckEnd, EndpointCheck},
    origins::UntoldOrigin,
    shared::Shared,
};
use core::time::Duration;
use poplarswitch_entity::Time;
use poplarswitch_ingress::{EndpointKey, Incarnation, SoftwareVersion};
use std::{collections::HashMap, sync::Arc};
use tokio::time::{Instant, sleep};

/// Time for which the first event of a stream, or a handover, waits for a report. One that comes later
/// proves the version as well.
const PROOF_WAIT: Duration = Duration::from_millis(150);
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

    /// Finds out by a report that is asked for at `since` or later whether an endpoint is the incarnation
    /// that this VM knows; waits for it until `limit`.
    async fn find_incarnation(
        self: &Arc<Self>,
        key: EndpointKey,
        since: Time,
        limit: Instant,
    ) -> Incarnation {
        let known = {
            let core = self.core();
            match core.endpoints.get(key) {
                None => Incarnation::Other,
                Some(endpoint) => match core.checks.found_since(key, since) {
                    // A report would be a request too.
                    Incarnation::Undecided if endpoint.pause.holds(clock::now()) => {
                        return Incarnation::Undecided;
                    }
                    found => found,
                },
            }
        };
        if known != Incarnation::Undecided {
            return known;
        }
        match EndpointCheck::since(key, since).wait(self, limit).await {
            CheckEnd::Known(_) => Incarnation::Known,
            CheckEnd::Other => Incarnation::Other,
            CheckEnd::Failed(_) | CheckEnd::Late => Incarnation::Undecided,
        }
    }

    /// Takes in the result of a check that was made at `asked`.
    pub(crate) fn settle_streams(&self, key: EndpointKey, asked: Time, found: Incarnation) {
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

    /// When the latest of the streams that wait for a report of an endpoint began; forgets those that have
    /// waited for too long.
    fn latest_unproved(&self, key: EndpointKey) -> Option<Time> {
        let now = clock::now();
        let mut core = self.core();
        let waiting = core.unproved.get_mut(&key)?;
        waiting.retain(|stream| now.since(stream.began) < MAX_WAIT);
        let latest = waiting.iter().map(|stream| stream.began).max();
        if latest.is_none() {
            core.unproved.remove(&key);
        }
        latest
    }
}

/// Checks an endpoint until no stream waits for its report.
async fn check_repeatedly(shared: Arc<Shared>, key: EndpointKey) {
    let mut interval = MIN_CHECK_INTERVAL;
    while let Some(began) = shared.latest_unproved(key) {
        let limit = Instant::now() + MAX_WAIT;
        shared.find_incarnation(key, began, limit).await;
        if shared.latest_unproved(key).is_some() {
            sleep(interval).await;
            interval = MAX_CHECK_INTERVAL.min(interval * 2);
        }
    }
}

impl CallForwarder {
    /// Which incarnation of an endpoint of a version has just answered.
    pub(crate) async fn check_answering(
        &self,
        key: EndpointKey,
        began: Time,
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
        let limit = Instant::now() + PROOF_WAIT;
        self.shared.find_incarnation(key, began, limit).await
    }

    /// Looks once more for a proof of the version of the endpoint that began the stream, if there is none.
    pub(crate) async fn prove_version(&mut self, key: EndpointKey) {
        let Some(began) = self.began.filter(|_| self.request.pin.is_unproved()) else {
            return;
        };
        let limit = Instant::now() + PROOF_WAIT;
        let found = self.shared.find_incarnation(key, began, limit).await;
        self.request.pin.settle(found);
        if self.request.pin.proved().is_some() {
            self.record_origin();
        }
    }
}
