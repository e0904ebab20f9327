//! What the head of a call says.
//!
//! The adapter reads the head once; everything behind it sees only this type.

use core::time::Duration;

/// A section of a prompt that calls may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptSection {
    /// Identifies the text of the section.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u32,
}

/// The prompt of a generation.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Its sections in order; the last belongs to the call alone.
    pub sections: Vec<PromptSection>,
    /// Length in tokens.
    pub input_tokens: u32,
    /// Most tokens that the answer may have.
    pub max_output: u32,
    /// The caller's estimate of the answer's tokens.
    pub output_hint: Option<u32>,
}

impl Prompt {
    /// The section that identifies the session: the last one that other calls share.
    pub fn session(&self) -> Option<PromptSection> {
        match self.sections.as_slice() {
            [.., session, _] => Some(*session),
            [only] => Some(*only),
            [] => None,
        }
    }

    /// Tokens that an engine must probably read: the call's own where it has the session's, else
    /// all of them.
    pub fn uncached_tokens(&self, session_kept: bool) -> u64 {
        let own = self
            .sections
            .last()
            .map_or(self.input_tokens, |part| part.tokens);
        u64::from(if session_kept { own } else { self.input_tokens })
    }

    /// Tokens of the answer to plan with.
    pub fn expected_output(&self) -> u32 {
        self.output_hint
            .unwrap_or(self.max_output)
            .min(self.max_output)
    }
}

/// The head of a call.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Call {
    /// The caller's name for this attempt.
    pub id: Box<str>,
    /// How long the caller waits.
    pub deadline: Option<Duration>,
    /// The key that names its workspace.
    pub key: Option<Box<str>>,
    /// The prompt, for calls to model engines.
    pub prompt: Option<Prompt>,
}
