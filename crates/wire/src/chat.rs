//! The fields of chat calls and their answers that a VM reads or writes.

use crate::Content;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Assumed bytes of text per token, for estimates of a prompt's length.
const BYTES_PER_TOKEN: usize = 4;

/// A message of a conversation.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Message {
    /// Role of the author, such as `user` or `system`.
    pub role: String,
    /// Content of the message.
    #[serde(default)]
    pub content: Content,
}

/// Reason why a body is not a valid chat call.
#[derive(Debug, PartialEq, Eq, Snafu)]
pub enum ChatError {
    /// The body is not JSON, or its fields are missing or have other types.
    #[snafu(display("{message}"))]
    Json {
        /// Error of the JSON parser.
        message: String,
    },
    /// The list of messages is empty.
    #[snafu(display("messages: at least one"))]
    NoMessages,
    /// `max_tokens` is zero.
    #[snafu(display("max_tokens: more than zero"))]
    ZeroMaxTokens,
}

/// The fields of a chat call's body that a VM reads; the engine gets the body unchanged.
///
/// serde puts the type's name into error messages sent to clients.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct ChatHead {
    /// Name of the model.
    pub model: String,
    /// Messages of the conversation, oldest first.
    pub messages: Vec<Message>,
    /// Whether the answer is to be streamed.
    #[serde(default)]
    pub stream: bool,
    /// Maximum number of tokens of the answer.
    #[serde(default, alias = "max_completion_tokens")]
    pub max_tokens: Option<u32>,
    /// Name of the model's adapter to use.
    #[serde(default)]
    pub adapter: Option<String>,
}

impl ChatHead {
    /// Parses the body of a call.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is not a valid call, has no messages or asks for zero tokens.
    pub fn parse(body: &[u8]) -> Result<Self, ChatError> {
        let request: Self = serde_json::from_slice(body).map_err(|error| ChatError::Json {
            message: error.to_string(),
        })?;
        if request.messages.is_empty() {
            return NoMessagesSnafu.fail();
        }
        if request.max_tokens == Some(0) {
            return ZeroMaxTokensSnafu.fail();
        }
        Ok(request)
    }

    /// Estimated length of the prompt in tokens, at least one.
    pub fn input_tokens(&self) -> u32 {
        let bytes: usize = self
            .messages
            .iter()
            .map(|message| message.content.bytes)
            .sum();
        (bytes / BYTES_PER_TOKEN).max(1) as u32
    }

    /// Text of the first message, which engines keep in their prefix cache; empty if that message
    /// is not plain text.
    pub fn prefix(&self) -> &str {
        self.messages
            .first()
            .and_then(|message| message.content.text.as_deref())
            .unwrap_or_default()
    }
}

/// Token counts that an engine reports in an answer that is not streamed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenUsage {
    /// Number of tokens of the prompt.
    #[serde(default)]
    pub prompt_tokens: u32,
    /// Number of tokens of the answer.
    #[serde(default)]
    pub completion_tokens: u32,
}

#[derive(Deserialize)]
struct AnswerBody {
    #[serde(default)]
    usage: TokenUsage,
}

impl TokenUsage {
    /// Reads the counts from the body of an answer; zero counts if the body has none.
    pub fn from_answer(body: &[u8]) -> Self {
        serde_json::from_slice::<AnswerBody>(body)
            .map(|answer| answer.usage)
            .unwrap_or_default()
    }
}

/// An entry of the list of models.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelCard {
    /// Name of the model.
    pub id: String,
    /// Always `model`.
    pub object: String,
    /// Always `poplarswitch`.
    pub owned_by: String,
}

/// List of the models that a VM serves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelList {
    /// Always `list`.
    pub object: String,
    /// The models, sorted by name.
    pub data: Vec<ModelCard>,
}

impl ModelList {
    /// Creates the list of models with these names.
    pub fn from_names<'a>(names: impl Iterator<Item = &'a str>) -> Self {
        let mut names: Vec<&str> = names.collect();
        names.sort_unstable();
        let card = |id: &str| ModelCard {
            id: id.to_owned(),
            object: "model".to_owned(),
            owned_by: "poplarswitch".to_owned(),
        };
        Self {
            object: "list".to_owned(),
            data: names.into_iter().map(card).collect(),
        }
    }
}
