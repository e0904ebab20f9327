//! Reports which objects a conflicting publication changed.

use crate::{
    Outcome, Publisher, PublisherOutput, ReadOutcome, Reader, Release, Snapshot, changes,
    publisher::Step,
};

impl Publisher {
    /// Whether the operator edited another release than the current one.
    pub(crate) fn is_outdated(&self, snapshot: &Snapshot) -> bool {
        let current = snapshot.head.current.generation;
        self.draft.base.is_some_and(|base| base != current)
    }

    /// Reads the set that the operator edited, to compare it with the current one.
    pub(crate) fn read_base(&mut self, snapshot: &Snapshot, out: &mut Vec<PublisherOutput>) {
        let head = &snapshot.head;
        let base = self.draft.base.unwrap_or_default();
        let theirs = head
            .by_generation(base.next())
            .unwrap_or(&head.current)
            .clone();
        let Some(base) = head.by_generation(base) else {
            let changed = Vec::new();
            return self.finish(Outcome::Conflict { theirs, changed }, out);
        };
        let root = base.manifest;
        self.theirs = Some(theirs);
        self.current = Some(snapshot.set.clone());
        self.step = Step::ReadChanges;
        self.read_with(out, |reader, ids, queue| reader.start_at(root, ids, queue));
    }

    /// Deletes the blobs of this publication, which can no longer take effect, and reads the
    /// current set to compare it with the parent.
    pub(crate) fn read_theirs(&mut self, theirs: Release, out: &mut Vec<PublisherOutput>) {
        self.delete_new_blobs(out);
        self.theirs = Some(theirs);
        self.step = Step::ReadChanges;
        self.read_with(out, Reader::start);
    }

    /// Finishes with the objects that differ between the base and the current set.
    pub(crate) fn report_conflict(
        &mut self,
        read: Option<ReadOutcome>,
        out: &mut Vec<PublisherOutput>,
    ) {
        let Some(theirs) = self.theirs.clone() else {
            return;
        };
        let (old, new) = match (self.current.take(), read) {
            (Some(current), Some(base)) => (base.set, Some(current)),
            (None, Some(read)) => {
                let parent = self.plan.as_ref().map(|plan| plan.parent.clone());
                (parent, read.snapshot.map(|snapshot| snapshot.set))
            }
            (_, None) => (None, None),
        };
        let changed = old.zip(new).map(|(old, new)| changes(&old, &new));
        let changed = changed.unwrap_or_default();
        self.finish(Outcome::Conflict { theirs, changed }, out);
    }
}
