//! The OpenAI wire format for completions, as far as the daemon reads it.

use serde::Deserialize;
use serde::Serialize;
use serde_json::Map;
use serde_json::Value;

/// Bounds the tokens of an answer where the caller names no bound.
pub const DEFAULT_MAX_TOKENS: u64 = 256;

/// Asks for the continuation of a prompt or of a conversation.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Request {
    /// Bounds the answer, in tokens.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u64>,
    /// Holds the conversation of a chat request.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub messages: Vec<Message>,
    /// Names the model.
    pub model: String,
    /// Holds the prompt of a plain request.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub prompt: Option<String>,
    /// Asks for the answer in pieces.
    #[serde(default)]
    pub stream: bool,
    /// Names the caller within its workspace.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub user: Option<String>,
    /// Holds every other field, passed on unread.
    #[serde(flatten)]
    pub rest: Map<String, Value>,
}

/// Holds one turn of a conversation.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Message {
    /// Holds the text of the turn.
    pub content: String,
    /// Names the speaker.
    pub role: String,
}

impl Request {
    /// Returns the text that an engine caches by prefix.
    pub fn text(&self) -> String {
        if let Some(prompt) = &self.prompt {
            return prompt.clone();
        }
        let turn = |m: &Message| format!("<|{}|>\n{}\n", m.role, m.content);
        self.messages.iter().map(turn).collect()
    }
}

/// Holds one piece of a streamed answer, or a whole one.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Completion {
    /// Holds the alternatives; the daemon asks for one.
    pub choices: Vec<Choice>,
    /// Names the request.
    pub id: String,
    /// Names the model.
    pub model: String,
    /// Names the type of the object.
    pub object: String,
    /// Counts the tokens; a streamed answer holds it in its last piece.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
}

/// Counts the tokens of a request and its answer.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Usage {
    /// Counts the tokens of the answer.
    pub completion_tokens: u64,
    /// Counts the tokens of the prompt, as far as the daemon can tell from its length.
    pub prompt_tokens: u64,
    /// Tells more of the prompt.
    #[serde(default)]
    pub prompt_tokens_details: PromptTokensDetails,
    /// Counts both.
    pub total_tokens: u64,
}

/// Tells more of the tokens of a prompt.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PromptTokensDetails {
    /// Counts the tokens that the engine held in its cache.
    #[serde(default)]
    pub cached_tokens: u64,
}

/// Holds one alternative of an answer.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Choice {
    /// Holds the next text of a streamed chat answer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub delta: Option<Delta>,
    /// Tells why the answer ended.
    #[serde(default)]
    pub finish_reason: Option<String>,
    /// Numbers the alternative.
    #[serde(default)]
    pub index: u32,
    /// Holds the whole turn of a chat answer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub message: Option<Message>,
    /// Holds the text of a plain answer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub text: Option<String>,
}

/// Holds the next text of a streamed chat answer.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Delta {
    /// Holds the text.
    #[serde(default)]
    pub content: String,
}
