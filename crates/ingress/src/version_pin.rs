//! Versions at which a stream may go on.
//!
//! The version is that of the process that sent the first event. An entry tells it only if that process
//! is the incarnation of the entry, which a report of its endpoint shows. A report that is asked for after
//! the first event is a proof however late it comes: incarnations follow each other, and an earlier one
//! doesn't come back. Without a report nothing is decided, and the stream waits for one before it goes on.

use crate::{endpoints::Endpoint, engine::EngineReport, entry::SoftwareVersion};
use poplarswitch_entity::Time;

/// The process behind the entry of an endpoint, as far as a check shows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Incarnation {
    /// The one that the entry names.
    Known,
    /// Another one, or one whose entry was removed.
    Other,
    /// The check had no result.
    Undecided,
}

impl Incarnation {
    /// What a report shows of the incarnation that started at `start_ms`, in Unix milliseconds; none is a
    /// report that did not come. Endpoints that don't report their start are taken for what their entries
    /// say.
    pub fn of(report: Option<&EngineReport>, start_ms: u64) -> Self {
        match report {
            None => Self::Undecided,
            Some(report) if report.start_ms.is_none_or(|at| at == start_ms) => Self::Known,
            Some(_) => Self::Other,
        }
    }
}

/// Versions at which a stream may go on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum VersionPin {
    /// Any: the caller has received nothing yet.
    #[default]
    Any,
    /// Only this version.
    Only(SoftwareVersion),
    /// None until the endpoint that began the stream is known to be the incarnation of its entry; then
    /// only the version of the entry.
    Unproved(SoftwareVersion),
    /// None: the version that began the stream is unknown.
    Nowhere,
}

impl VersionPin {
    /// Pin of a stream that an endpoint has begun; `software` is the version in its entry.
    pub fn begin(software: Option<SoftwareVersion>, found: Incarnation) -> Self {
        let known = software.filter(SoftwareVersion::is_known);
        let mut pin = known.map_or(Self::Nowhere, Self::Unproved);
        pin.settle(found);
        pin
    }

    /// Takes in a check that was made after the stream had begun.
    pub fn settle(&mut self, found: Incarnation) {
        if let Self::Unproved(software) = self {
            match found {
                Incarnation::Known => *self = Self::Only(core::mem::take(software)),
                Incarnation::Other => *self = Self::Nowhere,
                Incarnation::Undecided => {}
            }
        }
    }

    /// Whether the stream has begun.
    pub const fn is_begun(&self) -> bool {
        !matches!(self, Self::Any)
    }

    /// Whether the stream waits for a proof of its version.
    pub const fn is_unproved(&self) -> bool {
        matches!(self, Self::Unproved(_))
    }

    /// Whether an endpoint may have the call, if it has the required version.
    pub const fn may_go_on(&self) -> bool {
        matches!(self, Self::Any | Self::Only(_))
    }

    /// The version that endpoints must have, if the stream has begun.
    pub const fn required(&self) -> Option<&SoftwareVersion> {
        match self {
            Self::Only(software) | Self::Unproved(software) => Some(software),
            Self::Any | Self::Nowhere => None,
        }
    }

    /// The version of the process that began the stream, if that is known.
    pub const fn proved(&self) -> Option<&SoftwareVersion> {
        match self {
            Self::Only(software) => Some(software),
            Self::Any | Self::Unproved(_) | Self::Nowhere => None,
        }
    }
}

impl Endpoint {
    /// Whether another incarnation may serve than that of the entry, which the platform has shown as of
    /// `confirmed`.
    pub fn is_doubted(&self, confirmed: Option<Time>) -> bool {
        self.doubted.is_some() || self.opened.is_some_and(|at| confirmed < Some(at))
    }

    /// Takes in a report of the entry's incarnation that was asked for at `asked`.
    pub fn end_doubt(&mut self, asked: Time) {
        self.doubted = self.doubted.filter(|at| *at > asked);
        self.opened = self.opened.filter(|at| *at > asked);
    }
}
