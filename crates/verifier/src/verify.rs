//! Runs the rules on a set.

use crate::{Findings, index::Index, rules};
use poplarswitch_objects::{LocatedSet, ObjectSet};

/// A set without errors; [`VerifiedSet::new`] is the only constructor.
#[derive(Clone, Copy, Debug)]
pub struct VerifiedSet<'a>(&'a ObjectSet);

impl<'a> VerifiedSet<'a> {
    /// Checks a set; fails with all findings, warnings included, if any of them is an error.
    pub fn new(set: &'a ObjectSet) -> Result<Self, Findings> {
        let findings = verify(set);
        if findings.has_errors() {
            return Err(findings);
        }
        Ok(Self(set))
    }

    /// The checked set.
    pub const fn set(self) -> &'a ObjectSet {
        self.0
    }
}

/// Checks a set by all rules; findings are sorted by severity, kind, position and code.
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

/// Checks a set that was read from files; findings about an object give its location.
pub fn verify_located(located: &LocatedSet) -> Findings {
    let mut findings = verify(&located.set);
    findings.locate(|kind, index| located.location(kind, index));
    findings
}
