//! Fetches the blobs of one release, from peers first and from the platform otherwise.

use crate::{Assembly, Blob, BlobHash, BlobRef, Output, PublishMessage, Release, Settings};
use poplarswitch_entity::{Incarnation, Time};
use poplarswitch_store::{Reply, Request, RequestId};
use rand::RngExt as _;
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};

/// Largest number of concurrent blob requests to the platform.
const MAX_READS: usize = 8;

/// The fetch of one release.
#[derive(Debug)]
pub(crate) struct Fetch {
    release: Release,
    assembly: Assembly,
    /// Peers that announced the release and are not known to lack its blobs.
    holders: BTreeSet<Incarnation>,
    /// The peer that has an outstanding request, and when that request times out.
    peer_request: Option<(Incarnation, Time)>,
    /// Outstanding requests to the platform, and when each of them times out.
    pending: BTreeMap<RequestId, (BlobRef, Time)>,
    /// The earliest time of the next request to the platform.
    platform_at: Time,
}

impl Fetch {
    /// Creates a fetch that sends no request to the platform before `platform_at`.
    pub(crate) fn new(release: Release, assembly: Assembly, platform_at: Time) -> Self {
        Self {
            release,
            assembly,
            holders: BTreeSet::new(),
            peer_request: None,
            pending: BTreeMap::new(),
            platform_at,
        }
    }

    pub(crate) const fn release(&self) -> &Release {
        &self.release
    }

    pub(crate) const fn assembly(&self) -> &Assembly {
        &self.assembly
    }

    /// Returns an assembly of the release with this manifest that keeps all known blobs.
    pub(crate) fn retarget(self, manifest: BlobRef) -> Assembly {
        self.assembly.retarget(manifest)
    }

    pub(crate) fn into_parts(self) -> (Release, Assembly) {
        (self.release, self.assembly)
    }

    pub(crate) fn add_holder(&mut self, peer: Incarnation) {
        self.holders.insert(peer);
    }

    pub(crate) fn remove_holder(&mut self, peer: Incarnation) {
        self.holders.remove(&peer);
        if self.peer_request.is_some_and(|(asked, _)| asked == peer) {
            self.peer_request = None;
        }
    }

    pub(crate) fn add_blobs(&mut self, from: Incarnation, blobs: Vec<Blob>) {
        if self.peer_request.is_some_and(|(asked, _)| asked == from) {
            self.peer_request = None;
        }
        let added = blobs
            .into_iter()
            .filter(|blob| self.assembly.add(blob.clone()));
        // A peer that sends no missing blob is not asked again.
        if added.count() == 0 {
            self.holders.remove(&from);
        }
    }

    pub(crate) fn handle_reply(
        &mut self,
        now: Time,
        id: RequestId,
        reply: Reply,
        settings: &Settings,
    ) {
        if self.pending.remove(&id).is_none() {
            return;
        }
        match reply {
            Reply::Object(Some(object)) => {
                let text = core::str::from_utf8(&object.value).unwrap_or_default();
                self.assembly.add(Blob(text.into()));
            }
            Reply::Unavailable { retry_after } => {
                self.platform_at = now + retry_after.max(settings.min_backoff);
            }
            _ => self.platform_at = now + settings.min_backoff,
        }
    }

    pub(crate) fn next_wake(&self) -> Option<Time> {
        if self.assembly.missing().is_empty() {
            return None;
        }
        let timeout = self.pending.values().map(|(_, deadline)| *deadline).min();
        match self.peer_request {
            Some((_, deadline)) => Some(deadline),
            None => timeout.or(Some(self.platform_at)),
        }
    }

    /// Drops timed-out requests and sends new ones: to a peer that holds the release, or to the
    /// platform if there is none.
    pub(crate) fn send_requests(
        &mut self,
        now: Time,
        settings: &Settings,
        ids: &mut RequestId,
        rng: &mut Pcg64Mcg,
        out: &mut Vec<Output>,
    ) {
        self.pending.retain(|_, (_, deadline)| now < *deadline);
        if let Some((peer, deadline)) = self.peer_request
            && now >= deadline
        {
            self.remove_holder(peer);
        }
        if self.peer_request.is_some() {
            return;
        }
        if self.holders.is_empty() {
            self.request_from_platform(now, settings, ids, out);
        } else {
            self.request_from_peer(now, settings, rng, out);
        }
    }

    fn request_from_peer(
        &mut self,
        now: Time,
        settings: &Settings,
        rng: &mut Pcg64Mcg,
        out: &mut Vec<Output>,
    ) {
        let index = rng.random_range(0..self.holders.len());
        let Some(to) = self.holders.iter().nth(index).copied() else {
            return;
        };
        self.peer_request = Some((to, now + settings.peer_timeout));
        let missing = self.assembly.missing();
        let hashes: Vec<BlobHash> = missing.into_iter().map(|blob| blob.hash).collect();
        let message = PublishMessage::Fetch(hashes);
        out.push(Output::Send { to, message });
    }

    fn request_from_platform(
        &mut self,
        now: Time,
        settings: &Settings,
        ids: &mut RequestId,
        out: &mut Vec<Output>,
    ) {
        if now < self.platform_at {
            return;
        }
        let in_flight: BTreeSet<BlobRef> = self.pending.values().map(|(blob, _)| *blob).collect();
        let free = MAX_READS.saturating_sub(in_flight.len());
        let missing = self.assembly.missing();
        let wanted = missing.into_iter().filter(|blob| !in_flight.contains(blob));
        for blob in wanted.take(free) {
            ids.0 += 1;
            let id = *ids;
            self.pending.insert(id, (blob, now + settings.read_timeout));
            let request = Request::Get { key: blob.key() };
            out.push(Output::Request { id, request });
        }
    }
}
