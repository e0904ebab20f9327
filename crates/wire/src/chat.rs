//! The fields of a chat call that the router reads.

use crate::Content;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Bytes of text that stand for about one token.
const BYTES_PER_TOKEN: usize = 4;

/// One message of a conversation.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Message {
    /// Who speaks.
    pub role: String,
    /// What is said.
    #[serde(default)]
    pub content: Content,
}

/// Why a body is not a chat call.
#[derive(Debug, PartialEq, Eq, Snafu)]
pub enum ChatError {
    /// It is not JSON of the right form.
    #[snafu(display("{message}"))]
    Json {
        /// What is wrong.
        message: String,
    },
    /// It has no messages.
    #[snafu(display("messages: at least one"))]
    NoMessages,
    /// It asks for no tokens.
    #[snafu(display("max_tokens: more than zero"))]
    ZeroMaxTokens,
}

/// What the router reads of a chat call; the engine gets the body as it came.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct ChatRequest {
    /// The model.
    pub model: String,
    /// The conversation.
    pub messages: Vec<Message>,
    /// Whether the answer is streamed.
    #[serde(default)]
    pub stream: bool,
    /// Most tokens of the answer.
    #[serde(default, alias = "max_completion_tokens")]
    pub max_tokens: Option<u32>,
    /// The adapter to use.
    #[serde(default)]
    pub adapter: Option<String>,
}

impl ChatRequest {
    /// Reads the body of a call.
    pub fn parse(body: &[u8]) -> Result<Self, ChatError> {
        let head: Self = serde_json::from_slice(body).map_err(|error| ChatError::Json {
            message: error.to_string(),
        })?;
        if head.messages.is_empty() {
            return NoMessagesSnafu.fail();
        }
        if head.max_tokens == Some(0) {
            return ZeroMaxTokensSnafu.fail();
        }
        Ok(head)
    }

    /// Estimated length of the prompt, in tokens.
    pub fn input_tokens(&self) -> u32 {
        let bytes: usize = self.messages.iter().map(|one| one.content.bytes).sum();
        (bytes / BYTES_PER_TOKEN).max(1) as u32
    }

    /// The text at the start of the conversation, which engines cache.
    pub fn prefix(&self) -> &str {
        self.messages
            .first()
            .and_then(|message| message.content.text.as_deref())
            .unwrap_or_default()
    }
}

/// The tokens of a whole answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenUsage {
    /// Tokens of the prompt.
    #[serde(default)]
    pub prompt_tokens: u32,
    /// Tokens of the answer.
    #[serde(default)]
    pub completion_tokens: u32,
}

#[derive(Deserialize)]
struct WholeAnswer {
    #[serde(default)]
    usage: TokenUsage,
}

impl TokenUsage {
    /// Reads the usage of a whole answer, or nothing where it has none.
    pub fn from_answer(body: &[u8]) -> Self {
        serde_json::from_slice::<WholeAnswer>(body)
            .map(|answer| answer.usage)
            .unwrap_or_default()
    }
}

/// A model in the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelCard {
    /// Its name.
    pub id: String,
    /// Always `model`.
    pub object: String,
    /// Always the router's name.
    pub owned_by: String,
}

/// The list of models.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelList {
    /// Always `list`.
    pub object: String,
    /// The models, in the order of their names.
    pub data: Vec<ModelCard>,
}

impl ModelList {
    /// Lists models by name.
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
