//! Tokens that name the home of an idempotency key.
//!
//! An answer to an address query carries a token for each address. A caller that starts its
//! keys with a token fixes their home: the one process that may run calls with them, unless it
//! leaves and hands them over. The token also states its issue minute, so that the home VM can
//! remove old keys and still never mistake one of them for a new key.

use core::{fmt, str::FromStr};
use poplarswitch_entity::Incarnation;
use serde::{Deserialize, Serialize};
use snafu::Snafu;
use std::sync::Arc;

/// Maximum length of a key, in bytes.
pub const MAX_KEY_BYTES: usize = 200;

/// Home and issue minute of keys; its text form is `<incarnation>-<minute>`, both in hexadecimal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Token {
    /// The home of the keys.
    pub home: Incarnation,
    /// Issue time in minutes since the Unix epoch, by the issuer's clock.
    pub minute: u64,
}

impl fmt::Display for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{:x}", self.home, self.minute)
    }
}

/// A text that cannot be parsed as a [`Token`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("key token is not of the form <incarnation>-<minute> in hexadecimal"))]
pub struct ParseTokenError;

impl FromStr for Token {
    type Err = ParseTokenError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (home, minute) = text.split_once('-').ok_or(ParseTokenError)?;
        if home.len() != 16 || minute.is_empty() || minute.len() > 16 {
            return Err(ParseTokenError);
        }
        let hex = |text: &str| text.bytes().all(|byte| byte.is_ascii_hexdigit());
        if !hex(home) || !hex(minute) {
            return Err(ParseTokenError);
        }
        let home = home.parse().ok().ok_or(ParseTokenError)?;
        let minute = u64::from_str_radix(minute, 16)
            .ok()
            .ok_or(ParseTokenError)?;
        Ok(Self { home, minute })
    }
}

/// The text of an idempotency key: `<token>.<unique text>`, or any other text without a token.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct KeyText(Arc<str>);

impl KeyText {
    /// Wraps a text without checking it.
    pub fn new(text: impl Into<Arc<str>>) -> Self {
        Self(text.into())
    }

    /// The key as a string slice.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Whether the key is not empty and at most [`MAX_KEY_BYTES`] long.
    pub fn is_valid(&self) -> bool {
        !self.0.is_empty() && self.0.len() <= MAX_KEY_BYTES
    }

    /// The token at the start of the key, if there is one with text after it.
    pub fn token(&self) -> Option<Token> {
        let (token, rest) = self.0.split_once('.')?;
        let token = token.parse().ok()?;
        (!rest.is_empty()).then_some(token)
    }
}
