//! What may crash endpoints: a request, or a section that the prompts of many requests share.

use core::{fmt, time::Duration};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

/// Time for which a crash counts against a section.
const SECTION_CRASH_TTL: Duration = Duration::from_mins(2);
/// Time for which a crash counts against a request, which may come rarely.
const REQUEST_CRASH_TTL: Duration = Duration::from_mins(10);

/// Identity of a request, however often and wherever it comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestParts<'a> {
    /// Host of the route.
    pub host: &'a str,
    /// HTTP method.
    pub method: &'a str,
    /// Path with its query.
    pub path: &'a str,
    /// Workspace, or the key where there is none; empty for anonymous callers.
    pub caller: &'a str,
    /// Body.
    pub body: &'a [u8],
}

/// Identifier of a request, the same on every VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestId(pub u64);

impl RequestId {
    /// Identifier of the request that consists of these parts.
    pub fn new(parts: &RequestParts<'_>) -> Self {
        let RequestParts {
            host,
            method,
            path,
            caller,
            body,
        } = parts;
        let mut hasher = Xxh3::new();
        for text in [host, method, path, caller] {
            hasher.update(&(text.len() as u64).to_le_bytes());
            hasher.update(text.as_bytes());
        }
        hasher.update(body);
        Self(hasher.digest())
    }
}

/// Property that calls have in common and that may crash endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Subject {
    /// A section of prompts.
    Section(u64),
    /// A request.
    Request(RequestId),
}

impl Subject {
    /// Identifier among the subjects of its kind.
    pub const fn id(self) -> u64 {
        match self {
            Self::Section(id) | Self::Request(RequestId(id)) => id,
        }
    }

    /// Name of its kind, for logs.
    pub const fn kind(self) -> &'static str {
        match self {
            Self::Section(_) => "section",
            Self::Request(_) => "request",
        }
    }

    /// Whether both are requests, or sections.
    pub(super) const fn is_same_kind(self, other: Self) -> bool {
        matches!(
            (self, other),
            (Self::Section(_), Self::Section(_)) | (Self::Request(_), Self::Request(_))
        )
    }

    /// Whether the crashes of this subject, when it is held, count less against another one. Those
    /// of a request say nothing of others: its hold may be due to them.
    pub(super) const fn explains(self, other: Self) -> bool {
        matches!((self, other), (Self::Section(_), Self::Section(_)))
    }

    /// Number of endpoints after whose crashes all VMs have to know of a subject soon; from the
    /// operators' rules.
    pub(super) const fn known_crashes(self) -> usize {
        match self {
            Self::Section(_) => 5,
            Self::Request(_) => 3,
        }
    }

    /// Time for which a crash counts.
    pub(super) const fn crash_ttl(self) -> Duration {
        match self {
            Self::Section(_) => SECTION_CRASH_TTL,
            Self::Request(_) => REQUEST_CRASH_TTL,
        }
    }
}

impl fmt::Display for Subject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {:x}", self.kind(), self.id())
    }
}
