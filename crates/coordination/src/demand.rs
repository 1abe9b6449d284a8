//! What a routed request needs of an upstream.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::prefix_index::PrefixKey;

/// Describes what a request needs.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Demand {
    /// Lists the addresses to which this host keeps connections that are idle.
    pub connected: Vec<SocketAddr>,
    /// Names the failure domain of this host.
    pub domain: String,
    /// Breaks ties.
    pub random: u64,
    /// Gives the weights version that must serve the request, where an answer goes on.
    pub exact_weights: Option<u64>,
    /// Gives the time left until the answer should begin, in milliseconds.
    pub first_byte_left_ms: u64,
    /// Gives the time left, in milliseconds.
    pub left_ms: u64,
    /// Counts the tokens that the memory of one engine holds, where that is known.
    pub memory_tokens: Option<u64>,
    /// Names the model, where engines serve the request.
    pub model: Option<String>,
    /// Gives the newest version of the model's weights.
    pub newest_weights: u64,
    /// Counts the tokens of the prompt.
    pub prompt_tokens: u64,
    /// Names the service.
    pub service: String,
    /// Names the part of the prompt that other requests share, and counts the tokens up to its end.
    pub shared_prefix: Option<(String, u64)>,
    /// Lists the stores of cached prompts.
    pub stores: Vec<SocketAddr>,
    /// Lists the upstreams that have failed this request.
    pub tried: Vec<String>,
    /// Names the workspace whose cached prompts no other may use, where it is the request's.
    pub isolated_workspace: Option<String>,
}

impl Demand {
    /// Names the shared prompt as engines with a version of the weights cache it.
    pub fn prefix_key(&self, weights: u64) -> Option<PrefixKey> {
        let prefix_id = self.cache_name()?;
        Some(PrefixKey { prefix_id, weights })
    }

    /// Names the shared prompt with the workspace that it must not leave, where there is one.
    fn cache_name(&self) -> Option<String> {
        let (prefix_id, _) = self.shared_prefix.as_ref()?;
        Some(match &self.isolated_workspace {
            None => prefix_id.clone(),
            Some(workspace) => format!("{prefix_id}@{workspace}"),
        })
    }
}
