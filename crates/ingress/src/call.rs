//! The metadata in the head of a call.
//!
//! The deployment's adapter parses the head once; all other code uses the types in this module.

use core::time::Duration;

/// A section of a prompt, which several calls may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptSection {
    /// Identifier of the section's text.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u32,
}

/// The prompt of a call to a model.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Sections in order; only the last one belongs to this call alone.
    pub sections: Vec<PromptSection>,
    /// Total length in tokens.
    pub input_tokens: u32,
    /// Maximum length of the answer in tokens.
    pub max_output: u32,
    /// The caller's estimate of the answer's length in tokens.
    pub output_hint: Option<u32>,
}

impl Prompt {
    /// The section that identifies the session: the last one that other calls share, or the only
    /// section.
    pub fn session(&self) -> Option<PromptSection> {
        match self.sections.as_slice() {
            [.., session, _] => Some(*session),
            [only] => Some(*only),
            [] => None,
        }
    }

    /// The sections that other calls may share: all but the last one.
    pub fn shared_sections(&self) -> impl Iterator<Item = &PromptSection> {
        let own = self.sections.len().saturating_sub(1);
        self.sections.iter().take(own)
    }

    /// Expected number of tokens that an engine has to prefill: those of the call's own section if
    /// the engine's cache holds the session, otherwise all of them.
    pub fn uncached_tokens(&self, session_cached: bool) -> u64 {
        let own = self
            .sections
            .last()
            .map_or(self.input_tokens, |section| section.tokens);
        u64::from(if session_cached {
            own
        } else {
            self.input_tokens
        })
    }

    /// Expected length of the answer in tokens, for load estimates.
    pub fn expected_output(&self) -> u32 {
        self.output_hint
            .unwrap_or(self.max_output)
            .min(self.max_output)
    }
}

/// A stream of which the caller has received some events and requests the rest.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Continuation {
    /// Identifier of the caller's attempt that brought the first event, if the caller names it.
    pub first_attempt: Option<Box<str>>,
    /// Identifier of the last event that the caller has received.
    pub last_event: Box<str>,
}

/// Metadata of a call.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Call {
    /// Identifier that the caller gave this attempt.
    pub id: Box<str>,
    /// Time for which the caller waits, counted from the call's arrival.
    pub deadline: Option<Duration>,
    /// API key that identifies the workspace.
    pub key: Option<Box<str>>,
    /// The prompt, for calls to models.
    pub prompt: Option<Prompt>,
    /// The stream that the call continues, if any.
    pub continues: Option<Continuation>,
}
