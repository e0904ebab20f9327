//! The operators' side: one publication from its check to a known outcome.
//!
//! The head is replaced only under the condition that it still has the version that the set
//! was checked against. A write without an answer is repeated under the same condition, so it
//! takes effect once or never, and the head's history tells by the nonce whether it did.

use crate::{
    BlobRef, Content, Draft, Head, Mutation, Outcome, PublisherInput, PublisherOutput, ReadError,
    ReadOutcome, Reader, Release, Verify, head_key,
    plan::{Plan, next_head},
    reader::retry_after,
};
use core::fmt;
use poplarswitch_entity::Time;
use poplarswitch_objects::ObjectSet;
use poplarswitch_store::{Guard, MAX_VALUE_BYTES, Reply, Request, RequestId, Versioned};
use std::collections::BTreeMap;

/// Blobs that are written at once.
const PARALLEL: usize = 8;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Step {
    Idle,
    Read,
    Write,
    Update,
    ReadTheirs,
    Done,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Ask {
    Blob(BlobRef),
    Head,
    Look,
    Drop,
}

/// Publishes one set.
pub struct Publisher {
    pub(crate) draft: Draft,
    verify: Verify,
    pub(crate) step: Step,
    ids: RequestId,
    pub(crate) reader: Reader,
    pub(crate) plan: Option<Plan>,
    pending: BTreeMap<RequestId, Ask>,
    again: Vec<(Time, Ask)>,
    /// Head updates sent whose effect is not known.
    open: u32,
    pub(crate) theirs: Option<Release>,
    /// The set in force, while the set that the operator started from is read.
    pub(crate) current: Option<ObjectSet>,
    deadline: Time,
    mutation: Option<Mutation>,
}

impl fmt::Debug for Publisher {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Publisher")
            .field("step", &self.step)
            .field("open", &self.open)
            .finish_non_exhaustive()
    }
}

impl Publisher {
    /// Prepares a publication; nothing is asked before `Start`.
    pub fn new(draft: Draft, verify: Verify) -> Self {
        Self {
            draft,
            verify,
            step: Step::Idle,
            ids: RequestId(0),
            reader: Reader::default(),
            plan: None,
            pending: BTreeMap::new(),
            again: Vec::new(),
            open: 0,
            theirs: None,
            current: None,
            deadline: Time::MAX,
            mutation: None,
        }
    }

    /// Puts a deliberate fault in.
    #[cfg(feature = "mutation")]
    pub const fn mutate(&mut self, mutation: Mutation) {
        self.mutation = Some(mutation);
    }

    /// Whether the outcome is known.
    pub fn is_done(&self) -> bool {
        self.step == Step::Done
    }

    /// When `tick` is next worth calling.
    pub fn next_wake(&self) -> Option<Time> {
        if self.is_done() {
            return None;
        }
        let again = self.again.iter().map(|(at, _)| *at);
        again
            .chain(self.reader.next_wake())
            .chain([self.deadline])
            .min()
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Time, out: &mut Vec<PublisherOutput>) {
        if self.step == Step::Done {
            return;
        }
        if now >= self.deadline {
            self.give_up(out);
            return;
        }
        self.read_with(out, |reader, ids, asks| reader.tick(now, ids, asks));
        let again = core::mem::take(&mut self.again);
        for (at, ask) in again {
            if at <= now {
                self.ask(ask, out);
            } else {
                self.again.push((at, ask));
            }
        }
    }

    /// Reacts to one input.
    pub fn handle(&mut self, now: Time, input: PublisherInput, out: &mut Vec<PublisherOutput>) {
        match input {
            PublisherInput::Start if self.step == Step::Idle => {
                self.step = Step::Read;
                self.deadline = now + self.draft.timeout;
                self.read_with(out, Reader::start);
            }
            PublisherInput::Start => {}
            PublisherInput::Reply { id, reply } => self.reply(now, id, reply, out),
        }
    }

    fn reply(&mut self, now: Time, id: RequestId, reply: Reply, out: &mut Vec<PublisherOutput>) {
        if self.step == Step::Done {
            return;
        }
        let Some(ask) = self.pending.remove(&id) else {
            let read = self.read_with(out, |reader, ids, asks| {
                reader.reply(now, (id, &reply), ids, asks)
            });
            if let Some(read) = read {
                self.read(read, out);
            }
            return;
        };
        match ask {
            Ask::Blob(blob) => self.blob_written(now, blob, &reply, out),
            Ask::Head => self.head_written(now, reply, out),
            Ask::Look => self.looked(now, reply, out),
            Ask::Drop => {}
        }
    }

    fn read(&mut self, read: Result<ReadOutcome, ReadError>, out: &mut Vec<PublisherOutput>) {
        match read {
            read if self.step == Step::ReadTheirs => self.name_conflict(read.ok(), out),
            Err(error) => self.finish(Outcome::BadHead(error.to_string()), out),
            Ok(read) => self.check(read, out),
        }
    }

    fn check(&mut self, read: ReadOutcome, out: &mut Vec<PublisherOutput>) {
        if let Some(snapshot) = &read.snapshot {
            if let Some(ours) = snapshot.head.find(self.draft.nonce) {
                return self.finish(Outcome::Accepted(ours.clone()), out);
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
        self.plan(&set, read, out);
    }

    fn plan(&mut self, set: &ObjectSet, read: ReadOutcome, out: &mut Vec<PublisherOutput>) {
        let nonce = self.draft.nonce;
        let content = Content::split(set, nonce, read.manifest.as_ref());
        if !content.fits() {
            let outcome = Outcome::TooLarge {
                bytes: content.largest(),
                limit: MAX_VALUE_BYTES,
            };
            return self.finish(outcome, out);
        }
        let (head, dropped) = next_head(&self.draft, &content, &read);
        let refs = content.new_refs(nonce);
        let (base, parent) = match read.snapshot {
            Some(snapshot) => (Some((read.version, snapshot.head.current)), snapshot.set),
            None => (None, ObjectSet::default()),
        };
        self.plan = Some(Plan {
            base,
            parent,
            head,
            refs,
            content,
            dropped,
        });
        self.step = Step::Write;
        self.write_more(out);
    }

    fn write_more(&mut self, out: &mut Vec<PublisherOutput>) {
        while self.pending.len() + self.again.len() < PARALLEL {
            let Some(blob) = self.plan.as_mut().and_then(|plan| plan.refs.pop()) else {
                break;
            };
            self.ask(Ask::Blob(blob), out);
        }
        if self.pending.is_empty() && self.again.is_empty() {
            self.step = Step::Update;
            self.ask(Ask::Head, out);
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
            // Only this publication writes below its nonce, so a conflict is its own write.
            Reply::Done { .. } | Reply::Conflict { .. } => self.write_more(out),
            _ => self.again.push((now + retry_after(reply), Ask::Blob(blob))),
        }
    }

    fn head_written(&mut self, now: Time, reply: Reply, out: &mut Vec<PublisherOutput>) {
        match reply {
            Reply::Done { .. } => self.accept(out),
            Reply::Conflict { current } => {
                self.open -= 1;
                self.judge(now, current, out);
            }
            Reply::Unavailable { .. } => {
                self.open -= 1;
                self.again.push((now + retry_after(&reply), Ask::Head));
            }
            _ if self.mutation == Some(Mutation::AssumeWritten) => self.accept(out),
            _ if self.mutation == Some(Mutation::RetryOnNewHead) => {
                self.step = Step::Read;
                self.draft.base = None;
                self.draft.nonce += 1 << 32;
                self.read_with(out, Reader::start);
            }
            _ => self.ask(Ask::Look, out),
        }
    }

    fn looked(&mut self, now: Time, reply: Reply, out: &mut Vec<PublisherOutput>) {
        match reply {
            Reply::Object(current) => self.judge(now, current, out),
            _ => self.again.push((now + retry_after(&reply), Ask::Look)),
        }
    }

    /// Decides from the head as it is whether the update took effect.
    fn judge(&mut self, now: Time, current: Option<Versioned>, out: &mut Vec<PublisherOutput>) {
        let Some(plan) = &self.plan else { return };
        let base = plan.base.as_ref().map(|(version, _)| *version);
        if current.as_ref().map(|object| object.version) == base {
            self.again
                .push((now + retry_after(&Reply::Unknown), Ask::Head));
            return;
        }
        let head = match current.map(|object| Head::parse(&object.value)) {
            Some(Ok(head)) => head,
            Some(Err(error)) => return self.finish(Outcome::BadHead(error.to_string()), out),
            None => return self.finish(Outcome::BadHead("the head is gone".into()), out),
        };
        if head.find(self.draft.nonce).is_some() {
            return self.accept(out);
        }
        let first = plan.head.current.generation;
        match head.at(first).cloned() {
            Some(theirs) => self.read_theirs(theirs, out),
            None if self.open > 0 => self.undecided(out),
            None => self.read_theirs(head.current, out),
        }
    }

    fn accept(&mut self, out: &mut Vec<PublisherOutput>) {
        let Some(plan) = &self.plan else { return };
        let release = plan.head.current.clone();
        for blob in plan.dropped.clone() {
            self.drop_blob(blob, out);
        }
        self.finish(Outcome::Accepted(release), out);
    }

    /// Removes what this publication wrote; only once its update can no longer take effect.
    pub(crate) fn drop_blobs(&mut self, out: &mut Vec<PublisherOutput>) {
        let Some(plan) = &self.plan else { return };
        for blob in plan.content.new_refs(self.draft.nonce) {
            self.drop_blob(blob, out);
        }
    }

    fn drop_blob(&mut self, blob: BlobRef, out: &mut Vec<PublisherOutput>) {
        let request = Request::Delete {
            key: blob.key(),
            guard: Guard::Always,
        };
        self.send(Ask::Drop, request, out);
    }

    fn give_up(&mut self, out: &mut Vec<PublisherOutput>) {
        match self.theirs.clone() {
            Some(theirs) => {
                let changed = Vec::new();
                self.finish(Outcome::Conflict { theirs, changed }, out);
            }
            None if self.open > 0 => self.undecided(out),
            None => self.finish(Outcome::Unavailable, out),
        }
    }

    fn undecided(&mut self, out: &mut Vec<PublisherOutput>) {
        let nonce = self.draft.nonce;
        self.finish(Outcome::Undecided { nonce }, out);
    }

    pub(crate) fn finish(&mut self, outcome: Outcome, out: &mut Vec<PublisherOutput>) {
        self.step = Step::Done;
        out.push(PublisherOutput::Finished(outcome));
    }

    fn ask(&mut self, ask: Ask, out: &mut Vec<PublisherOutput>) {
        let Some(plan) = &self.plan else { return };
        let request = match &ask {
            Ask::Blob(blob) => Request::Put {
                key: blob.key(),
                value: plan.bytes(*blob),
                guard: Guard::Absent,
            },
            Ask::Head => Request::Put {
                key: head_key(),
                value: serde_json::to_vec(&plan.head).unwrap_or_default().into(),
                guard: match self.mutation {
                    Some(Mutation::UnconditionalUpdate) => Guard::Always,
                    _ => plan.guard(),
                },
            },
            Ask::Look => Request::Get { key: head_key() },
            Ask::Drop => return,
        };
        if ask == Ask::Head {
            self.open += 1;
        }
        self.send(ask, request, out);
    }

    fn send(&mut self, ask: Ask, request: Request, out: &mut Vec<PublisherOutput>) {
        self.ids.0 += 1;
        let id = self.ids;
        self.pending.insert(id, ask);
        out.push(PublisherOutput::Request { id, request });
    }

    pub(crate) fn read_with<T>(
        &mut self,
        out: &mut Vec<PublisherOutput>,
        act: impl FnOnce(&mut Reader, &mut RequestId, &mut Vec<(RequestId, Request)>) -> T,
    ) -> T {
        let mut asks = Vec::new();
        let result = act(&mut self.reader, &mut self.ids, &mut asks);
        out.extend(
            asks.into_iter()
                .map(|(id, request)| PublisherOutput::Request { id, request }),
        );
        result
    }
}
