//! Findings: the errors and warnings of a set.

use core::fmt;
use poplarswitch_objects::{Kind, Location};
use serde::Serialize;

/// Severity of a finding.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Severity {
    /// The set cannot be published.
    Error,
    /// The set can be published but probably contains a mistake.
    Warning,
}

/// Code of a finding, one for each kind of mistake.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Code {
    /// The set has no objects.
    EmptySet,
    /// The set or one object exceeds its size limit.
    TooLarge,
    /// A name is empty, too long or contains an illegal character.
    BadName,
    /// Two objects of the same kind have the same name.
    DuplicateName,
    /// Two classes with the same name are in different tiers.
    ClassInTwoTiers,
    /// Two tiers have the same rank.
    RankConflict,
    /// The floors of all tiers add up to more than 100 percent.
    FloorsTooHigh,
    /// The tier does not exist.
    UnknownTier,
    /// The class does not exist.
    UnknownClass,
    /// The model does not exist.
    UnknownModel,
    /// The model has no such version.
    UnknownVersion,
    /// The model has no such adapter.
    UnknownAdapter,
    /// The service does not exist.
    UnknownService,
    /// A list contains the same item twice.
    RepeatedItem,
    /// A model has no versions.
    NoVersion,
    /// A model or service that a class uses has no endpoints.
    NoEndpoint,
    /// The default class of a model or service does not list it.
    ClassNotAllowed,
    /// Two endpoints have the same address.
    AddressTwice,
    /// An address that no connection can be made to.
    BadAddress,
    /// A limit is zero.
    ZeroLimit,
    /// A limit exceeds its largest allowed value.
    AbsurdLimit,
    /// A key hash is not a SHA-256 hash in lower-case hexadecimal.
    BadKeyHash,
    /// Two workspaces have the same key.
    SharedKey,
    /// A non-repeatable class is in a preemptible tier.
    NonRepeatablePreemptible,
    /// A non-repeatable class lists models.
    NonRepeatableModel,
    /// A model requires more ready replicas than it has endpoints.
    MinReadyTooHigh,
    /// A class with services but no models has a target for streamed answers.
    TargetWithoutStream,
    /// A latency target is implausible in itself or compared with the longest wait of its class.
    ImplausibleTarget,
    /// A tier, model or service that no class uses, or a class without models and services.
    Unused,
    /// A workspace has no key, so no caller can use it.
    NoKey,
}

impl Code {
    /// Severity of findings with this code.
    pub const fn severity(self) -> Severity {
        match self {
            Self::ImplausibleTarget | Self::Unused | Self::NoKey => Severity::Warning,
            _ => Severity::Error,
        }
    }
}

/// One mistake in a set.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// Code of the finding.
    pub code: Code,
    /// Severity of the finding.
    pub severity: Severity,
    /// Location of the object, if it was read from a file.
    #[serde(rename = "place")]
    pub location: Option<Location>,
    /// Kind of the object; `None` if the finding concerns the whole set.
    pub kind: Option<Kind>,
    /// Position of the object in the set's list of its kind.
    pub index: usize,
    /// Name of the object, truncated to 80 characters.
    pub name: String,
    /// Path of the field; empty if the finding concerns no single field.
    pub field: String,
    /// The mistake and what is expected instead.
    pub message: String,
}

impl fmt::Display for Severity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Error => "error",
            Self::Warning => "warning",
        })
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(location) = &self.location {
            write!(f, "{location}: ")?;
        }
        write!(f, "{}: ", self.severity)?;
        if let Some(kind) = self.kind {
            write!(f, "{kind} {:?} ", self.name)?;
        }
        if !self.field.is_empty() {
            write!(f, "field `{}`: ", self.field)?;
        }
        f.write_str(&self.message)
    }
}

/// All findings of a check.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(transparent)]
pub struct Findings(Vec<Finding>);

impl Findings {
    /// All findings, errors first, then by kind and position.
    pub fn iter(&self) -> impl Iterator<Item = &Finding> {
        self.0.iter()
    }

    /// The errors, which prevent the publication of the set.
    pub fn errors(&self) -> impl Iterator<Item = &Finding> {
        self.with_severity(Severity::Error)
    }

    /// The warnings, which do not prevent the publication of the set.
    pub fn warnings(&self) -> impl Iterator<Item = &Finding> {
        self.with_severity(Severity::Warning)
    }

    /// Whether any finding is an error.
    pub fn has_errors(&self) -> bool {
        self.errors().next().is_some()
    }

    /// Number of findings.
    pub const fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether there are no findings.
    pub const fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    fn with_severity(&self, severity: Severity) -> impl Iterator<Item = &Finding> {
        self.0
            .iter()
            .filter(move |finding| finding.severity == severity)
    }

    pub(crate) fn sort(&mut self) {
        self.0.sort_by(|a, b| {
            (a.severity, a.kind, a.index, a.code).cmp(&(b.severity, b.kind, b.index, b.code))
        });
    }

    /// Sets the location of each finding about an object.
    pub(crate) fn locate<'a>(&mut self, location: impl Fn(Kind, usize) -> Option<&'a Location>) {
        for finding in &mut self.0 {
            finding.location = finding
                .kind
                .and_then(|kind| location(kind, finding.index))
                .cloned();
        }
    }

    pub(crate) fn add_for_set(&mut self, code: Code, message: String) {
        self.push(code, None, String::new(), message);
    }

    pub(crate) fn add(&mut self, subject: Subject<'_>, code: Code, field: &str, message: String) {
        self.push(code, Some(subject), field.to_owned(), message);
    }

    fn push(&mut self, code: Code, subject: Option<Subject<'_>>, field: String, message: String) {
        self.0.push(Finding {
            code,
            severity: code.severity(),
            location: None,
            kind: subject.map(|subject| subject.kind),
            index: subject.map_or(0, |subject| subject.index),
            name: subject.map_or_else(String::new, |subject| {
                subject.name.chars().take(80).collect()
            }),
            field,
            message,
        });
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0
            .iter()
            .try_for_each(|finding| writeln!(f, "{finding}"))
    }
}

/// The object that a finding is about.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Subject<'a> {
    pub(crate) kind: Kind,
    pub(crate) index: usize,
    pub(crate) name: &'a str,
}
