//! Tokens that name the home of a key.
//!
//! The answer to "which address?" carries a token for each address. A caller that starts its
//! keys with it names, for ever, the one process that may run the call. The token also says
//! when it was issued, so that a home can forget old keys and still never take one of them
//! for a new one.

use core::{fmt, str::FromStr};
use poplarswitch_entity::Incarnation;
use serde::{Deserialize, Serialize};
use snafu::Snafu;
use std::sync::Arc;

/// Longest key, in bytes.
pub const MAX_KEY_BYTES: usize = 200;

/// Names a home and the minute of its issue; written `<incarnation>-<minute>`, both in
/// hexadecimal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Token {
    /// The home.
    pub home: Incarnation,
    /// Minutes since the Unix epoch, on the clock of the issuer.
    pub minute: u64,
}

impl fmt::Display for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{:x}", self.home, self.minute)
    }
}

/// A text that is not a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("not a token"))]
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

/// The text of an idempotency key, `<token>.<anything unique>` or free.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct KeyText(Arc<str>);

impl KeyText {
    /// Takes the text as it is.
    pub fn new(text: impl Into<Arc<str>>) -> Self {
        Self(text.into())
    }

    /// The text.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Whether it is short enough and not empty.
    pub fn is_valid(&self) -> bool {
        !self.0.is_empty() && self.0.len() <= MAX_KEY_BYTES
    }

    /// The token that it starts with.
    pub fn token(&self) -> Option<Token> {
        let (token, rest) = self.0.split_once('.')?;
        let token = token.parse().ok()?;
        (!rest.is_empty()).then_some(token)
    }
}
