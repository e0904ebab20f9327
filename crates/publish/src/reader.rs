//! Reads the head and the current set, or the set of one release, from the platform.

use crate::{Assembly, Blob, BlobRef, Head, Snapshot, head_key};
use core::time::Duration;
use poplarswitch_entity::Time;
use poplarswitch_objects::ObjectSet;
use poplarswitch_store::{Reply, Request, RequestId, Version, Versioned};
use snafu::Snafu;
use std::collections::BTreeMap;

/// Shortest delay before a request is repeated.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(300);
/// Largest number of concurrent requests for parts.
const MAX_READS: usize = 8;

/// Why a set could not be read.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum ReadError {
    /// The head does not parse.
    #[snafu(display("the head does not parse: {message}"))]
    BadHead {
        /// The parser's message.
        message: String,
    },
    /// The manifest or a part of the set is missing or does not parse.
    #[snafu(display("a part of the set cannot be read: {message}"))]
    BadPart {
        /// The parser's message, or which blob is missing.
        message: String,
    },
}

/// The head and the set that a reader has read; neither if no set has been published yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReadOutcome {
    /// The version of the head.
    pub version: Version,
    /// The head and its set, unless the set was read without the head.
    pub snapshot: Option<Snapshot>,
    /// The manifest of the set.
    pub manifest: Option<crate::Manifest>,
    /// The set, if it was read without the head.
    pub set: Option<ObjectSet>,
}

/// The object that a request reads.
#[derive(Debug)]
enum Target {
    Head,
    Part(BlobRef),
}

/// Reads a set, and repeats failed requests until all of its blobs are read.
#[derive(Debug, Default)]
pub struct Reader {
    pending: BTreeMap<RequestId, Target>,
    retries: Vec<(Time, Target)>,
    version: Version,
    head: Option<Head>,
    assembly: Option<Assembly>,
}

impl Reader {
    /// Starts reading the head and its set.
    pub fn start(&mut self, ids: &mut RequestId, out: &mut Vec<(RequestId, Request)>) {
        *self = Self::default();
        self.request(Target::Head, ids, out);
    }

    /// Starts reading the set with this manifest, without the head.
    pub fn start_at(
        &mut self,
        root: BlobRef,
        ids: &mut RequestId,
        out: &mut Vec<(RequestId, Request)>,
    ) {
        *self = Self::default();
        self.assembly = Some(Assembly::new(root, &BTreeMap::new()));
        self.request(Target::Part(root), ids, out);
    }

    /// When `tick` has to be called next, if a request has to be repeated.
    pub fn next_wake(&self) -> Option<Time> {
        self.retries.iter().map(|(at, _)| *at).min()
    }

    /// Repeats the failed requests that are due at `now`.
    pub fn tick(&mut self, now: Time, ids: &mut RequestId, out: &mut Vec<(RequestId, Request)>) {
        let retries = core::mem::take(&mut self.retries);
        for (at, target) in retries {
            if at <= now {
                self.request(target, ids, out);
            } else {
                self.retries.push((at, target));
            }
        }
    }

    /// Processes a reply; returns the outcome once the set is complete or cannot be read.
    ///
    /// An error means that the head or a blob does not parse, or that a blob of a set read
    /// without the head is missing.
    pub fn reply(
        &mut self,
        now: Time,
        (id, reply): (RequestId, &Reply),
        ids: &mut RequestId,
        out: &mut Vec<(RequestId, Request)>,
    ) -> Option<Result<ReadOutcome, ReadError>> {
        let target = self.pending.remove(&id)?;
        let Reply::Object(object) = reply else {
            self.retries.push((now + retry_delay(reply), target));
            return None;
        };
        match (target, object) {
            (Target::Head, None) => return Some(Ok(self.outcome(None))),
            (Target::Head, Some(object)) => {
                if let Err(error) = self.accept_head(object) {
                    return Some(Err(error));
                }
            }
            (Target::Part(part), None) if self.head.is_none() => {
                let message = format!("{} does not exist", part.key());
                return Some(Err(ReadError::BadPart { message }));
            }
            // The part was deleted after its release left the head's history: read the new head.
            (Target::Part(_), None) => {
                self.start(ids, out);
                return None;
            }
            (Target::Part(_), Some(object)) => self.add_part(object),
        }
        self.advance(ids, out)
    }

    fn accept_head(&mut self, object: &Versioned) -> Result<(), ReadError> {
        let head = Head::parse(&object.value).map_err(|error| ReadError::BadHead {
            message: error.to_string(),
        })?;
        self.version = object.version;
        self.assembly = Some(Assembly::new(head.current.manifest, &BTreeMap::new()));
        self.head = Some(head);
        Ok(())
    }

    fn add_part(&mut self, object: &Versioned) {
        let text = core::str::from_utf8(&object.value).unwrap_or_default();
        if let Some(assembly) = &mut self.assembly {
            assembly.add(Blob(text.into()));
        }
    }

    fn advance(
        &mut self,
        ids: &mut RequestId,
        out: &mut Vec<(RequestId, Request)>,
    ) -> Option<Result<ReadOutcome, ReadError>> {
        let assembly = self.assembly.as_ref()?;
        match assembly.join() {
            Some(Ok(set)) => Some(Ok(self.outcome(Some(set)))),
            Some(Err(error)) => Some(Err(ReadError::BadPart {
                message: error.to_string(),
            })),
            None => {
                let in_flight = self.pending.len() + self.retries.len();
                let free = MAX_READS.saturating_sub(in_flight);
                let mut missing = assembly.missing();
                missing.retain(|part| !self.is_requested(*part));
                for part in missing.into_iter().take(free) {
                    self.request(Target::Part(part), ids, out);
                }
                None
            }
        }
    }

    fn outcome(&self, set: Option<ObjectSet>) -> ReadOutcome {
        let (snapshot, set) = match (self.head.clone(), set) {
            (Some(head), Some(set)) => (Some(Snapshot { head, set }), None),
            (_, set) => (None, set),
        };
        let manifest = self.assembly.as_ref().and_then(Assembly::manifest).cloned();
        ReadOutcome {
            version: self.version,
            snapshot,
            manifest,
            set,
        }
    }

    /// Whether a part is being requested or waits for its request to be repeated.
    fn is_requested(&self, part: BlobRef) -> bool {
        let retries = self.retries.iter().map(|(_, target)| target);
        self.pending
            .values()
            .chain(retries)
            .any(|target| matches!(target, Target::Part(other) if *other == part))
    }

    fn request(
        &mut self,
        target: Target,
        ids: &mut RequestId,
        out: &mut Vec<(RequestId, Request)>,
    ) {
        let key = match &target {
            Target::Head => head_key(),
            Target::Part(part) => part.key(),
        };
        ids.0 += 1;
        self.pending.insert(*ids, target);
        out.push((*ids, Request::Get { key }));
    }
}

/// The delay before a request is repeated that got this reply.
pub(crate) fn retry_delay(reply: &Reply) -> Duration {
    match reply {
        Reply::Unavailable { retry_after } => MIN_RETRY_DELAY.max(*retry_after),
        _ => MIN_RETRY_DELAY,
    }
}
