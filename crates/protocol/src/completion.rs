//! The part of the OpenAI wire format for completions that the daemon reads.

use serde::Deserialize;
use serde::Serialize;
use serde_json::Map;
use serde_json::Value;

/// Most tokens of an answer if the request sets no limit.
pub const DEFAULT_MAX_TOKENS: u64 = 256;

/// Request to continue a prompt or a conversation.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Request {
    /// Most tokens of the answer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u64>,
    /// The conversation of a chat request.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub messages: Vec<Message>,
    /// Name of the model.
    pub model: String,
    /// The prompt of a request without chat.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub prompt: Option<String>,
    /// Whether the answer is streamed.
    #[serde(default)]
    pub stream: bool,
    /// Name of the caller within its workspace.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub user: Option<String>,
    /// All other fields, passed on unchanged.
    #[serde(flatten)]
    pub rest: Map<String, Value>,
}

/// One turn of a conversation.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Message {
    /// Text of the turn.
    pub content: String,
    /// Role of the speaker, such as `user` or `assistant`.
    pub role: String,
}

impl Request {
    /// Returns the prompt, or the conversation as one text; engines cache its prefixes.
    pub fn text(&self) -> String {
        if let Some(prompt) = &self.prompt {
            return prompt.clone();
        }
        let turn = |m: &Message| format!("<|{}|>\n{}\n", m.role, m.content);
        self.messages.iter().map(turn).collect()
    }
}

/// A chunk of a streamed answer, or a whole answer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Completion {
    /// Alternative answers; the daemon asks for one.
    pub choices: Vec<Choice>,
    /// Identifier of the request.
    pub id: String,
    /// Name of the model.
    pub model: String,
    /// Type of the object, such as `chat.completion.chunk`.
    pub object: String,
    /// Token counts; in a streamed answer only its last chunk has them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
}

/// Token counts of a request and its answer.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Usage {
    /// Number of tokens of the answer.
    pub completion_tokens: u64,
    /// Number of tokens of the prompt, estimated from its length.
    pub prompt_tokens: u64,
    /// Details of the prompt's tokens.
    #[serde(default)]
    pub prompt_tokens_details: PromptTokensDetails,
    /// Number of tokens of the prompt and the answer.
    pub total_tokens: u64,
}

/// Details of the tokens of a prompt.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PromptTokensDetails {
    /// Number of tokens that were in the engine's cache.
    #[serde(default)]
    pub cached_tokens: u64,
}

/// One of the alternative answers.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Choice {
    /// The next text of a streamed chat answer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub delta: Option<Delta>,
    /// Why the answer ended.
    #[serde(default)]
    pub finish_reason: Option<String>,
    /// Index of the alternative.
    #[serde(default)]
    pub index: u32,
    /// The whole turn of a chat answer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub message: Option<Message>,
    /// The text of an answer without chat.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub text: Option<String>,
}

/// The next text of a streamed chat answer.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Delta {
    /// The text.
    #[serde(default)]
    pub content: String,
}
