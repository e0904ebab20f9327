//! Runs the rules, and the proof that a set passed them.

use crate::{Findings, index::Index, rules};
use poplarswitch_objects::{LocatedSet, ObjectSet};

/// A set that has no errors; only [`VerifiedSet::new`] makes one.
#[derive(Clone, Copy, Debug)]
pub struct VerifiedSet<'a>(&'a ObjectSet);

impl<'a> VerifiedSet<'a> {
    /// Checks a set; returns the findings if any of them is an error.
    pub fn new(set: &'a ObjectSet) -> Result<Self, Findings> {
        let findings = verify(set);
        if findings.has_errors() {
            return Err(findings);
        }
        Ok(Self(set))
    }

    /// The set that passed.
    pub const fn set(self) -> &'a ObjectSet {
        self.0
    }
}

/// Checks a whole set by every rule.
pub fn verify(set: &ObjectSet) -> Findings {
    let mut findings = Findings::default();
    let index = Index::new(set);
    rules::size::check(set, &mut findings);
    rules::names::check(set, &mut findings);
    rules::tiers::check(set, &mut findings);
    rules::references::check(set, &index, &mut findings);
    rules::classes::check(set, &index, &mut findings);
    rules::endpoints::check(set, &index, &mut findings);
    rules::limits::check(set, &mut findings);
    rules::keys::check(set, &mut findings);
    rules::usage::check(set, &mut findings);
    findings.sort();
    findings
}

/// Checks a set that was read from files; each finding names its file.
pub fn verify_located(located: &LocatedSet) -> Findings {
    let mut findings = verify(&located.set);
    findings.locate(|kind, index| located.location(kind, index));
    findings
}
