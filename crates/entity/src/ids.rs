//! Numeric identifiers.

use core::fmt;
use serde::{Deserialize, Serialize};

macro_rules! number_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// The identifier that follows this one.
            #[must_use]
            pub const fn next(self) -> Self {
                Self(self.0.wrapping_add(1))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }
    };
}

number_id! {
    /// Number of an accepted set; increases with each set.
    Generation
}
number_id! {
    /// Fencing number: the version of a lease, which each order carries.
    FencingNumber
}
number_id! {
    /// Hash of a workspace and the start of a prompt.
    PrefixHash
}

/// One lifetime of a process, identified by a random number drawn at its start.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl core::str::FromStr for Incarnation {
    type Err = core::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(text, 16).map(Self)
    }
}

/// Identifier of a call, unique across all incarnations of all processes.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct CallId {
    /// The process that the caller is connected to.
    pub origin: Incarnation,
    /// Number of the call at that process.
    pub seq: u64,
}

impl fmt::Display for CallId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.origin, self.seq)
    }
}

/// Number of a dispatch of a call, counted from 0.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Attempt(pub u32);

impl Attempt {
    /// The attempt that follows this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}
