//! The state machine that keeps a VM at the newest release and serves its blobs to peers.
//!
//! The follower keeps the newest release whose blobs it holds separately from the set in force;
//! the two differ after a release was refused. A refused release is still announced and served
//! to peers, because its blobs are verified by their hashes and a newer program may understand
//! them.

use crate::{
    ActiveSet, Assembly, Blob, BlobHash, Check, Input, Mutation, Output, PublishMessage,
    RefuseReason, Refused, Release, Settings, Status, fetch::Fetch, watch::Watch,
};
use poplarswitch_entity::{Generation, Incarnation, Time};
use poplarswitch_objects::ObjectSet;
use poplarswitch_store::{Reply, RequestId, Versioned};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

/// Largest total size of the blobs in one message; a larger blob is sent alone.
const MAX_MESSAGE_BYTES: usize = 256 * 1024;

/// The state machine, without I/O, that keeps one VM at the newest release.
#[derive(Debug)]
pub struct Follower {
    settings: Settings,
    check: Check,
    rng: Pcg64Mcg,
    ids: RequestId,
    watch: Watch,
    fetch: Option<Fetch>,
    /// The newest release whose blobs are all held, whether it is in force or refused.
    held: Option<Release>,
    /// The blobs of the held release.
    blobs: BTreeMap<BlobHash, Blob>,
    active: Option<ActiveSet>,
    peers: BTreeSet<Incarnation>,
    sync_at: Time,
    started_at: Option<Time>,
    status: Status,
    mutation: Option<Mutation>,
}

impl Follower {
    /// Creates a follower without a set; the first tick requests the head.
    pub fn new(settings: Settings, check: Check, seed: u64) -> Self {
        Self {
            settings,
            check,
            rng: Pcg64Mcg::seed_from_u64(seed),
            ids: RequestId(0),
            watch: Watch::default(),
            fetch: None,
            held: None,
            blobs: BTreeMap::new(),
            active: None,
            peers: BTreeSet::new(),
            sync_at: Time::ZERO,
            started_at: None,
            status: Status::default(),
            mutation: None,
        }
    }

    /// Injects a deliberate fault.
    #[cfg(feature = "mutation")]
    pub const fn mutate(&mut self, mutation: Mutation) {
        self.mutation = Some(mutation);
    }

    /// The set in force.
    pub fn active(&self) -> Option<&ActiveSet> {
        self.active.as_ref()
    }

    /// The configuration status that this VM reports.
    pub fn status(&self) -> &Status {
        &self.status
    }

    /// When `tick` has to be called next.
    pub fn next_wake(&self) -> Option<Time> {
        let fetch = self.fetch.as_ref().and_then(Fetch::next_wake);
        let first_set = self.held.is_none() && self.fetch.is_some();
        let grace = self.started_at.filter(|_| first_set);
        let grace = grace.map(|started_at| started_at + self.settings.platform_delay);
        let fetch = fetch.or(grace);
        [Some(self.sync_at), Some(self.watch.next_wake()), fetch]
            .into_iter()
            .flatten()
            .min()
    }

    /// Performs the actions that are due at `now`.
    pub fn tick(&mut self, now: Time, out: &mut Vec<Output>) {
        self.started_at.get_or_insert(now);
        if self.watch.is_due(now) {
            self.ids.0 += 1;
            let request = self
                .watch
                .poll(now, self.ids, &self.settings, &mut self.rng);
            let id = self.ids;
            out.push(Output::Request { id, request });
        }
        if now >= self.sync_at {
            self.sync_at = now + self.settings.sync_interval;
            self.ask_random_peer(out);
        }
        self.advance_fetch(now, out);
    }

    /// Processes one input.
    pub fn handle(&mut self, now: Time, input: Input, out: &mut Vec<Output>) {
        self.started_at.get_or_insert(now);
        match input {
            Input::Message { from, message } => self.handle_message(now, from, message, out),
            Input::Reply { id, reply } => self.handle_reply(now, id, reply, out),
            Input::Linked(peer) => {
                self.peers.insert(peer);
                let message = PublishMessage::Ask(self.held_generation());
                out.push(Output::Send { to: peer, message });
            }
            Input::Unlinked(peer) => {
                self.peers.remove(&peer);
                if let Some(fetch) = &mut self.fetch {
                    fetch.remove_holder(peer);
                }
            }
        }
        self.advance_fetch(now, out);
    }

    fn handle_message(
        &mut self,
        now: Time,
        from: Incarnation,
        message: PublishMessage,
        out: &mut Vec<Output>,
    ) {
        match message {
            PublishMessage::Holds(release) => self.fetch_if_newer(now, release, Some(from)),
            PublishMessage::Ask(theirs) => self.answer_ask(from, theirs, out),
            PublishMessage::Fetch(hashes) => self.send_blobs(from, &hashes, out),
            PublishMessage::Blobs(blobs) => {
                if let Some(fetch) = &mut self.fetch {
                    fetch.add_blobs(from, blobs);
                }
            }
            PublishMessage::Missing(_) => {
                if let Some(fetch) = &mut self.fetch {
                    fetch.remove_holder(from);
                }
            }
        }
    }

    /// Announces the held release to a peer that asked with a lower generation, and asks in return
    /// if the peer's generation is higher.
    fn answer_ask(&self, from: Incarnation, theirs: Generation, out: &mut Vec<Output>) {
        let ours = self.held_generation();
        if theirs > ours {
            let message = PublishMessage::Ask(ours);
            out.push(Output::Send { to: from, message });
        } else if let Some(held) = self.held.clone().filter(|_| theirs < ours) {
            let message = PublishMessage::Holds(held);
            out.push(Output::Send { to: from, message });
        }
    }

    fn send_blobs(&self, to: Incarnation, hashes: &[BlobHash], out: &mut Vec<Output>) {
        let mut blobs = Vec::new();
        let mut missing = Vec::new();
        let mut bytes = 0;
        for hash in hashes {
            let Some(blob) = self.blobs.get(hash) else {
                missing.push(*hash);
                continue;
            };
            if blobs.is_empty() || bytes + blob.0.len() <= MAX_MESSAGE_BYTES {
                bytes += blob.0.len();
                blobs.push(blob.clone());
            }
        }
        let message = if blobs.is_empty() {
            PublishMessage::Missing(missing)
        } else {
            PublishMessage::Blobs(blobs)
        };
        out.push(Output::Send { to, message });
    }

    fn handle_reply(&mut self, now: Time, id: RequestId, reply: Reply, out: &mut Vec<Output>) {
        if self.watch.is_pending(id) {
            self.status.platform_up =
                self.watch
                    .handle_reply(now, &reply, &self.settings, &mut self.rng);
            if let Reply::Object(Some(object)) = reply {
                self.read_head(now, &object);
            }
        } else if let Some(fetch) = &mut self.fetch {
            fetch.handle_reply(now, id, reply, &self.settings);
        }
        self.advance_fetch(now, out);
    }

    fn read_head(&mut self, now: Time, object: &Versioned) {
        let Ok(head) = crate::Head::parse(&object.value) else {
            return;
        };
        let generation = head.current.generation;
        let active = self.active.as_ref().map(|set| set.release.generation);
        self.status.head_behind = Some(generation).filter(|head| Some(*head) < active);
        self.fetch_if_newer(now, head.current, None);
    }

    /// Starts fetching a release if its generation is above those held and being fetched.
    fn fetch_if_newer(&mut self, now: Time, release: Release, holder: Option<Incarnation>) {
        let accept_older = self.mutation == Some(Mutation::AcceptOlder);
        let known = Some(&release) == self.held.as_ref();
        let outdated = release.generation <= self.held_generation() && (!accept_older || known);
        if outdated || self.mutation == Some(Mutation::IgnoreReleases) {
            return;
        }
        let target = self.fetch.as_ref().map(|fetch| fetch.release().generation);
        if target == Some(release.generation) {
            if let (Some(fetch), Some(peer)) = (&mut self.fetch, holder) {
                fetch.add_holder(peer);
            }
            return;
        }
        if target > Some(release.generation) {
            return;
        }
        self.status.newest = Some(release.generation);
        let jitter = self.rng.random_range(0..=1_000);
        let wait = self.settings.platform_delay * jitter / 1_000;
        let assembly = match self.fetch.take() {
            Some(fetch) => fetch.retarget(release.manifest),
            None => Assembly::new(release.manifest, &self.blobs),
        };
        let mut fetch = Fetch::new(release, assembly, now + wait);
        if let Some(peer) = holder {
            fetch.add_holder(peer);
        }
        self.fetch = Some(fetch);
    }

    fn advance_fetch(&mut self, now: Time, out: &mut Vec<Output>) {
        let may_activate = self.may_activate(now);
        let Some(fetch) = &mut self.fetch else { return };
        if fetch.assembly().missing().is_empty() && !may_activate {
            return;
        }
        let Some(result) = fetch.assembly().join() else {
            let settings = &self.settings;
            return fetch.send_requests(now, settings, &mut self.ids, &mut self.rng, out);
        };
        if let Some(fetch) = self.fetch.take() {
            let (release, assembly) = fetch.into_parts();
            self.blobs = assembly.into_blobs();
            self.held = Some(release.clone());
            self.activate_or_refuse(release, result, out);
            self.announce(out);
        }
    }

    /// Whether a fully fetched release may be put into force.
    ///
    /// The first release waits until the platform has answered about the head or
    /// `platform_delay` has passed, so that a stale peer does not determine the first set.
    fn may_activate(&self, now: Time) -> bool {
        let grace = self.settings.platform_delay;
        let waited = self
            .started_at
            .is_some_and(|started_at| now.since(started_at) >= grace);
        self.held.is_some() || self.watch.has_answered() || waited
    }

    fn activate_or_refuse(
        &mut self,
        release: Release,
        result: Result<ObjectSet, serde_json::Error>,
        out: &mut Vec<Output>,
    ) {
        match self.validate(&release, result) {
            Ok(set) => {
                let set = Arc::new(set);
                let active = ActiveSet { release, set };
                self.status.active = Some(active.release.clone());
                self.status.refused = None;
                self.active = Some(active.clone());
                out.push(Output::Activate(active));
            }
            Err(reason) => {
                let refused = Refused { release, reason };
                self.status.refused = Some(refused.clone());
                out.push(Output::Refuse(refused));
            }
        }
    }

    fn validate(
        &self,
        release: &Release,
        result: Result<ObjectSet, serde_json::Error>,
    ) -> Result<ObjectSet, RefuseReason> {
        let (needs, has) = (release.min_program, self.settings.program_version);
        if needs > has {
            return Err(RefuseReason::TooNew { needs, has });
        }
        let set = result.map_err(|error| RefuseReason::Unparsable {
            message: error.to_string(),
        })?;
        (self.check)(&set).map_err(|message| RefuseReason::Unusable { message })?;
        Ok(set)
    }

    fn announce(&self, out: &mut Vec<Output>) {
        let Some(held) = &self.held else { return };
        for peer in &self.peers {
            let message = PublishMessage::Holds(held.clone());
            out.push(Output::Send { to: *peer, message });
        }
    }

    fn ask_random_peer(&mut self, out: &mut Vec<Output>) {
        if self.peers.is_empty() {
            return;
        }
        let index = self.rng.random_range(0..self.peers.len());
        if let Some(peer) = self.peers.iter().nth(index) {
            let message = PublishMessage::Ask(self.held_generation());
            out.push(Output::Send { to: *peer, message });
        }
    }

    fn held_generation(&self) -> Generation {
        self.held
            .as_ref()
            .map_or(Generation(0), |release| release.generation)
    }
}
