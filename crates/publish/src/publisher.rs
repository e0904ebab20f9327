//! The state machine of one publication, from the check of the set to a known outcome.
//!
//! The head is replaced only if it still has the version that the set was checked against. A
//! head update without an answer is repeated under the same condition, so it takes effect at most
//! once; whether it did is determined by the publication's nonce in the head's history.

use crate::{
    BlobRef, Content, Draft, Head, Mutation, Outcome, PublisherInput, PublisherOutput, ReadError,
    ReadOutcome, Reader, Release, Verify, head_key,
    plan::{Plan, next_head},
    reader::retry_delay,
};
use core::fmt;
use poplarswitch_entity::Time;
use poplarswitch_objects::ObjectSet;
use poplarswitch_store::{MAX_VALUE_BYTES, Precondition, Reply, Request, RequestId, Versioned};
use std::collections::BTreeMap;

/// Largest number of concurrent blob writes.
const MAX_WRITES: usize = 8;

/// The stage of a publication.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Step {
    Idle,
    /// Reads the head and the current set.
    Read,
    /// Writes the new blobs.
    Write,
    /// Replaces the head.
    Update,
    /// Reads a set to list the changes of a conflicting publication.
    ReadChanges,
    Done,
}

/// A platform request, apart from those of the reader.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Operation {
    WriteBlob(BlobRef),
    WriteHead,
    ReadHead,
    DeleteBlob,
}

/// The state machine, without I/O, that publishes one set.
pub struct Publisher {
    pub(crate) draft: Draft,
    verify: Verify,
    pub(crate) step: Step,
    ids: RequestId,
    pub(crate) reader: Reader,
    pub(crate) plan: Option<Plan>,
    pending: BTreeMap<RequestId, Operation>,
    retries: Vec<(Time, Operation)>,
    /// Number of head updates sent whose effect is not known.
    open_updates: u32,
    /// The release that replaced the base, after a conflict.
    pub(crate) theirs: Option<Release>,
    /// The current set, while the set that the operator edited is read.
    pub(crate) current: Option<ObjectSet>,
    deadline: Time,
    mutation: Option<Mutation>,
}

impl fmt::Debug for Publisher {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Publisher")
            .field("step", &self.step)
            .field("open", &self.open_updates)
            .finish_non_exhaustive()
    }
}

impl Publisher {
    /// Creates a publication; no request is sent before `PublisherInput::Start`.
    pub fn new(draft: Draft, verify: Verify) -> Self {
        Self {
            draft,
            verify,
            step: Step::Idle,
            ids: RequestId(0),
            reader: Reader::default(),
            plan: None,
            pending: BTreeMap::new(),
            retries: Vec::new(),
            open_updates: 0,
            theirs: None,
            current: None,
            deadline: Time::MAX,
            mutation: None,
        }
    }

    /// Injects a deliberate fault.
    #[cfg(feature = "mutation")]
    pub const fn mutate(&mut self, mutation: Mutation) {
        self.mutation = Some(mutation);
    }

    /// Whether the outcome is known.
    pub fn is_done(&self) -> bool {
        self.step == Step::Done
    }

    /// When `tick` has to be called next; none once the outcome is known.
    pub fn next_wake(&self) -> Option<Time> {
        if self.is_done() {
            return None;
        }
        let retries = self.retries.iter().map(|(at, _)| *at);
        retries
            .chain(self.reader.next_wake())
            .chain([self.deadline])
            .min()
    }

    /// Repeats requests that are due at `now`, and ends the publication at its timeout.
    pub fn tick(&mut self, now: Time, out: &mut Vec<PublisherOutput>) {
        if self.step == Step::Done {
            return;
        }
        if now >= self.deadline {
            self.time_out(out);
            return;
        }
        self.read_with(out, |reader, ids, queue| reader.tick(now, ids, queue));
        let retries = core::mem::take(&mut self.retries);
        for (at, operation) in retries {
            if at <= now {
                self.submit(operation, out);
            } else {
                self.retries.push((at, operation));
            }
        }
    }

    /// Processes one input.
    pub fn handle(&mut self, now: Time, input: PublisherInput, out: &mut Vec<PublisherOutput>) {
        match input {
            PublisherInput::Start if self.step == Step::Idle => {
                self.step = Step::Read;
                self.deadline = now + self.draft.timeout;
                self.read_with(out, Reader::start);
            }
            PublisherInput::Start => {}
            PublisherInput::Reply { id, reply } => self.handle_reply(now, id, reply, out),
        }
    }

    fn handle_reply(
        &mut self,
        now: Time,
        id: RequestId,
        reply: Reply,
        out: &mut Vec<PublisherOutput>,
    ) {
        if self.step == Step::Done {
            return;
        }
        let Some(operation) = self.pending.remove(&id) else {
            let read = self.read_with(out, |reader, ids, queue| {
                reader.reply(now, (id, &reply), ids, queue)
            });
            if let Some(read) = read {
                self.handle_read(read, out);
            }
            return;
        };
        match operation {
            Operation::WriteBlob(blob) => self.blob_written(now, blob, &reply, out),
            Operation::WriteHead => self.head_written(now, reply, out),
            Operation::ReadHead => self.head_read(now, reply, out),
            Operation::DeleteBlob => {}
        }
    }

    fn handle_read(
        &mut self,
        read: Result<ReadOutcome, ReadError>,
        out: &mut Vec<PublisherOutput>,
    ) {
        match read {
            read if self.step == Step::ReadChanges => self.report_conflict(read.ok(), out),
            Err(error) => self.finish(Outcome::BadHead(error.to_string()), out),
            Ok(read) => self.check_draft(read, out),
        }
    }

    fn check_draft(&mut self, read: ReadOutcome, out: &mut Vec<PublisherOutput>) {
        if let Some(snapshot) = &read.snapshot {
            if let Some(published) = snapshot.head.by_nonce(self.draft.nonce) {
                return self.finish(Outcome::Accepted(published.clone()), out);
            }
            if self.is_outdated(snapshot) {
                return self.read_base(snapshot, out);
            }
        }
        let parent = read.snapshot.as_ref().map(|snapshot| &snapshot.set);
        let errors = (self.verify)(parent, &self.draft.set);
        if !errors.is_empty() {
            return self.finish(Outcome::Invalid(errors), out);
        }
        let set = crate::canonical(self.draft.set.clone());
        if parent == Some(&set) {
            let current = read.snapshot.map(|snapshot| snapshot.head.current);
            return self.finish(Outcome::Unchanged(current), out);
        }
        self.prepare(&set, read, out);
    }

    fn prepare(&mut self, set: &ObjectSet, read: ReadOutcome, out: &mut Vec<PublisherOutput>) {
        let nonce = self.draft.nonce;
        let content = Content::split(set, nonce, read.manifest.as_ref());
        if !content.fits() {
            let outcome = Outcome::TooLarge {
                bytes: content.max_blob_bytes(),
                limit: MAX_VALUE_BYTES,
            };
            return self.finish(outcome, out);
        }
        let (head, unreferenced) = next_head(&self.draft, &content, &read);
        let unwritten = content.new_refs(nonce);
        let (base, parent) = match read.snapshot {
            Some(snapshot) => (Some((read.version, snapshot.head.current)), snapshot.set),
            None => (None, ObjectSet::default()),
        };
        self.plan = Some(Plan {
            base,
            parent,
            head,
            unwritten,
            content,
            unreferenced,
        });
        self.step = Step::Write;
        self.write_blobs(out);
    }

    fn write_blobs(&mut self, out: &mut Vec<PublisherOutput>) {
        while self.pending.len() + self.retries.len() < MAX_WRITES {
            let Some(blob) = self.plan.as_mut().and_then(|plan| plan.unwritten.pop()) else {
                break;
            };
            self.submit(Operation::WriteBlob(blob), out);
        }
        if self.pending.is_empty() && self.retries.is_empty() {
            self.step = Step::Update;
            self.submit(Operation::WriteHead, out);
        }
    }

    fn blob_written(
        &mut self,
        now: Time,
        blob: BlobRef,
        reply: &Reply,
        out: &mut Vec<PublisherOutput>,
    ) {
        match reply {
            // Only this publication writes blobs with its nonce, so a conflict means that its own
            // earlier write took effect.
            Reply::Done { .. } | Reply::Conflict { .. } => self.write_blobs(out),
            _ => self
                .retries
                .push((now + retry_delay(reply), Operation::WriteBlob(blob))),
        }
    }

    fn head_written(&mut self, now: Time, reply: Reply, out: &mut Vec<PublisherOutput>) {
        match reply {
            Reply::Done { .. } => self.finish_accepted(out),
            Reply::Conflict { current } => {
                self.open_updates -= 1;
                self.resolve_update(now, current, out);
            }
            Reply::Unavailable { .. } => {
                self.open_updates -= 1;
                self.retries
                    .push((now + retry_delay(&reply), Operation::WriteHead));
            }
            _ if self.mutation == Some(Mutation::AssumeWritten) => self.finish_accepted(out),
            _ if self.mutation == Some(Mutation::RetryOnNewHead) => {
                self.step = Step::Read;
                self.draft.base = None;
                self.draft.nonce += 1 << 32;
                self.read_with(out, Reader::start);
            }
            _ => self.submit(Operation::ReadHead, out),
        }
    }

    fn head_read(&mut self, now: Time, reply: Reply, out: &mut Vec<PublisherOutput>) {
        match reply {
            Reply::Object(current) => self.resolve_update(now, current, out),
            _ => self
                .retries
                .push((now + retry_delay(&reply), Operation::ReadHead)),
        }
    }

    /// Determines from the current head whether the head update took effect.
    fn resolve_update(
        &mut self,
        now: Time,
        current: Option<Versioned>,
        out: &mut Vec<PublisherOutput>,
    ) {
        let Some(plan) = &self.plan else { return };
        let base = plan.base.as_ref().map(|(version, _)| *version);
        if current.as_ref().map(|object| object.version) == base {
            self.retries
                .push((now + retry_delay(&Reply::Unknown), Operation::WriteHead));
            return;
        }
        let head = match current.map(|object| Head::parse(&object.value)) {
            Some(Ok(head)) => head,
            Some(Err(error)) => return self.finish(Outcome::BadHead(error.to_string()), out),
            None => return self.finish(Outcome::BadHead("the head is missing".into()), out),
        };
        if head.by_nonce(self.draft.nonce).is_some() {
            return self.finish_accepted(out);
        }
        let planned = plan.head.current.generation;
        match head.by_generation(planned).cloned() {
            Some(theirs) => self.read_theirs(theirs, out),
            None if self.open_updates > 0 => self.finish_undecided(out),
            None => self.read_theirs(head.current, out),
        }
    }

    fn finish_accepted(&mut self, out: &mut Vec<PublisherOutput>) {
        let Some(plan) = &self.plan else { return };
        let release = plan.head.current.clone();
        for blob in plan.unreferenced.clone() {
            self.delete_blob(blob, out);
        }
        self.finish(Outcome::Accepted(release), out);
    }

    /// Deletes the blobs that this publication wrote; its head update must no longer be able to
    /// take effect.
    pub(crate) fn delete_new_blobs(&mut self, out: &mut Vec<PublisherOutput>) {
        let Some(plan) = &self.plan else { return };
        for blob in plan.content.new_refs(self.draft.nonce) {
            self.delete_blob(blob, out);
        }
    }

    fn delete_blob(&mut self, blob: BlobRef, out: &mut Vec<PublisherOutput>) {
        let request = Request::Delete {
            key: blob.key(),
            precondition: Precondition::Always,
        };
        self.send_request(Operation::DeleteBlob, request, out);
    }

    fn time_out(&mut self, out: &mut Vec<PublisherOutput>) {
        match self.theirs.clone() {
            Some(theirs) => {
                let changed = Vec::new();
                self.finish(Outcome::Conflict { theirs, changed }, out);
            }
            None if self.open_updates > 0 => self.finish_undecided(out),
            None => self.finish(Outcome::Unavailable, out),
        }
    }

    fn finish_undecided(&mut self, out: &mut Vec<PublisherOutput>) {
        let nonce = self.draft.nonce;
        self.finish(Outcome::Undecided { nonce }, out);
    }

    pub(crate) fn finish(&mut self, outcome: Outcome, out: &mut Vec<PublisherOutput>) {
        self.step = Step::Done;
        out.push(PublisherOutput::Finished(outcome));
    }

    fn submit(&mut self, operation: Operation, out: &mut Vec<PublisherOutput>) {
        let Some(plan) = &self.plan else { return };
        let request = match &operation {
            Operation::WriteBlob(blob) => Request::Put {
                key: blob.key(),
                value: plan.bytes(*blob),
                precondition: Precondition::Absent,
            },
            Operation::WriteHead => Request::Put {
                key: head_key(),
                value: serde_json::to_vec(&plan.head).unwrap_or_default().into(),
                precondition: match self.mutation {
                    Some(Mutation::UnconditionalUpdate) => Precondition::Always,
                    _ => plan.precondition(),
                },
            },
            Operation::ReadHead => Request::Get { key: head_key() },
            Operation::DeleteBlob => return,
        };
        if operation == Operation::WriteHead {
            self.open_updates += 1;
        }
        self.send_request(operation, request, out);
    }

    fn send_request(
        &mut self,
        operation: Operation,
        request: Request,
        out: &mut Vec<PublisherOutput>,
    ) {
        self.ids.0 += 1;
        let id = self.ids;
        self.pending.insert(id, operation);
        out.push(PublisherOutput::Request { id, request });
    }

    /// Runs an action of the reader and outputs the requests that it makes.
    pub(crate) fn read_with<T>(
        &mut self,
        out: &mut Vec<PublisherOutput>,
        action: impl FnOnce(&mut Reader, &mut RequestId, &mut Vec<(RequestId, Request)>) -> T,
    ) -> T {
        let mut requests = Vec::new();
        let result = action(&mut self.reader, &mut self.ids, &mut requests);
        out.extend(
            requests
                .into_iter()
                .map(|(id, request)| PublisherOutput::Request { id, request }),
        );
        result
    }
}
