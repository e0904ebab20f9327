//! What a check finds.

use core::fmt;
use poplarswitch_objects::{Kind, Location};
use serde::Serialize;

/// Whether a finding keeps a set from being published.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Severity {
    /// The set must not be published.
    Error,
    /// The set may be published but is likely not what was meant.
    Warning,
}

/// What is wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Code {
    /// The set has no object.
    EmptySet,
    /// The set or one object is larger than the platform holds.
    TooLarge,
    /// A name is empty, too long or has illegal characters.
    BadName,
    /// Two objects of one kind have one name.
    DuplicateName,
    /// Two declarations put a class into different tiers.
    ClassInTwoTiers,
    /// Two tiers have one rank.
    RankConflict,
    /// The floors of all tiers are more than the whole.
    FloorsTooHigh,
    /// No such tier.
    UnknownTier,
    /// No such class.
    UnknownClass,
    /// No such model.
    UnknownModel,
    /// The model has no such version.
    UnknownVersion,
    /// The model has no such adapter.
    UnknownAdapter,
    /// No such service.
    UnknownService,
    /// A list names one thing twice.
    RepeatedItem,
    /// A model has no version.
    NoVersion,
    /// A model or service that a class uses has no endpoint.
    NoEndpoint,
    /// A default class may not use its model or service.
    ClassNotAllowed,
    /// Two endpoints have one address.
    AddressTwice,
    /// An address that nothing can be sent to.
    BadAddress,
    /// A limit of zero.
    ZeroLimit,
    /// A limit beyond any sensible value.
    AbsurdLimit,
    /// A key hash is no SHA-256 in lower-case hexadecimal.
    BadKeyHash,
    /// Two workspaces have one key.
    SharedKey,
    /// A non-repeatable class in a tier whose calls may be paused.
    NonRepeatablePreemptible,
    /// A non-repeatable class that may use models.
    NonRepeatableModel,
    /// More ready replicas asked for than there are endpoints.
    MinReadyTooHigh,
    /// A streaming target of a class without models.
    TargetWithoutStream,
    /// A target that the other fields make unreachable or meaningless.
    ImplausibleTarget,
    /// An object that nothing refers to.
    Unused,
    /// A workspace that no caller can use.
    NoKey,
}

impl Code {
    /// Whether it keeps a set from being published.
    pub const fn severity(self) -> Severity {
        match self {
            Self::ImplausibleTarget | Self::Unused | Self::NoKey => Severity::Warning,
            _ => Severity::Error,
        }
    }
}

/// One thing that a check found.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// What is wrong.
    pub code: Code,
    /// Whether it keeps the set from being published.
    pub severity: Severity,
    /// Where the object was declared, if it came from a file.
    #[serde(rename = "place")]
    pub location: Option<Location>,
    /// The kind of the object; none if the whole set is meant.
    pub kind: Option<Kind>,
    /// The object's position in the set's list of its kind.
    pub index: usize,
    /// The object's name.
    pub name: String,
    /// The path of the field.
    pub field: String,
    /// What is wrong and what would be right.
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

/// Everything that a check found.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(transparent)]
pub struct Findings(Vec<Finding>);

impl Findings {
    /// All findings, errors first, by kind and position.
    pub fn iter(&self) -> impl Iterator<Item = &Finding> {
        self.0.iter()
    }

    /// The findings that keep the set from being published.
    pub fn errors(&self) -> impl Iterator<Item = &Finding> {
        self.of(Severity::Error)
    }

    /// The findings that do not.
    pub fn warnings(&self) -> impl Iterator<Item = &Finding> {
        self.of(Severity::Warning)
    }

    /// Whether any finding keeps the set from being published.
    pub fn has_errors(&self) -> bool {
        self.errors().next().is_some()
    }

    /// How many findings there are.
    pub const fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether nothing was found.
    pub const fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    fn of(&self, severity: Severity) -> impl Iterator<Item = &Finding> {
        self.0.iter().filter(move |one| one.severity == severity)
    }

    pub(crate) fn sort(&mut self) {
        self.0.sort_by(|a, b| {
            (a.severity, a.kind, a.index, a.code).cmp(&(b.severity, b.kind, b.index, b.code))
        });
    }

    /// Adds where each object was declared.
    pub(crate) fn locate<'a>(&mut self, location: impl Fn(Kind, usize) -> Option<&'a Location>) {
        for finding in &mut self.0 {
            finding.location = finding
                .kind
                .and_then(|kind| location(kind, finding.index))
                .cloned();
        }
    }

    pub(crate) fn add_of_set(&mut self, code: Code, message: String) {
        self.push(code, None, String::new(), message);
    }

    pub(crate) fn add(&mut self, spot: Spot<'_>, code: Code, field: &str, message: String) {
        self.push(code, Some(spot), field.to_owned(), message);
    }

    fn push(&mut self, code: Code, spot: Option<Spot<'_>>, field: String, message: String) {
        self.0.push(Finding {
            code,
            severity: code.severity(),
            location: None,
            kind: spot.map(|spot| spot.kind),
            index: spot.map_or(0, |spot| spot.index),
            name: spot.map_or_else(String::new, |spot| spot.name.chars().take(80).collect()),
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

/// The object that a rule looks at.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Spot<'a> {
    pub(crate) kind: Kind,
    pub(crate) index: usize,
    pub(crate) name: &'a str,
}
