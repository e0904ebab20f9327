//! Reads the head and the whole current set from the platform.

use crate::{Assembly, Blob, BlobRef, Head, Snapshot, head_key};
use core::time::Duration;
use poplarswitch_entity::Time;
use poplarswitch_objects::ObjectSet;
use poplarswitch_store::{Reply, Request, RequestId, Version, Versioned};
use snafu::Snafu;
use std::collections::BTreeMap;

/// Shortest wait before a request is repeated.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(300);
/// Parts that are asked for at once.
const MAX_READS: usize = 8;

/// Why the current set could not be read.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum ReadError {
    /// The head does not parse.
    #[snafu(display("read head: {message}"))]
    BadHead {
        /// The parser's message.
        message: String,
    },
    /// A part of the set does not parse, or is not what the head names.
    #[snafu(display("read set: {message}"))]
    BadPart {
        /// The parser's message.
        message: String,
    },
}

/// What was read: the head's version and the set, or nothing if none was ever published.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReadOutcome {
    /// The version of the head.
    pub version: Version,
    /// The set.
    pub snapshot: Option<Snapshot>,
    /// The parts of the set.
    pub manifest: Option<crate::Manifest>,
    /// The set of a release that was read without the head.
    pub set: Option<ObjectSet>,
}

#[derive(Debug)]
enum Target {
    Head,
    Part(BlobRef),
}

/// Reads the current set; asks again until it is whole.
#[derive(Debug, Default)]
pub struct Reader {
    pending: BTreeMap<RequestId, Target>,
    retries: Vec<(Time, Target)>,
    version: Version,
    head: Option<Head>,
    assembly: Option<Assembly>,
}

impl Reader {
    /// Asks for the head.
    pub fn start(&mut self, ids: &mut RequestId, out: &mut Vec<(RequestId, Request)>) {
        *self = Self::default();
        self.request(Target::Head, ids, out);
    }

    /// Asks for the set of one release, without the head.
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

    /// When `tick` is next worth calling.
    pub fn next_wake(&self) -> Option<Time> {
        self.retries.iter().map(|(at, _)| *at).min()
    }

    /// Repeats requests that failed.
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

    /// Takes a reply; says what was read once it is whole.
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
                let message = format!("{} is gone", part.key());
                return Some(Err(ReadError::BadPart { message }));
            }
            // The part was deleted, so the head has moved on by more than its history.
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

/// The wait before a request is repeated.
pub(crate) fn retry_delay(reply: &Reply) -> Duration {
    match reply {
        Reply::Unavailable { retry_after } => MIN_RETRY_DELAY.max(*retry_after),
        _ => MIN_RETRY_DELAY,
    }
}
