//! What a routed request requires of an upstream.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::prefix_index::PrefixKey;

/// Requirements of a request, as the choice of its upstream takes them into account.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Demand {
    /// Maximum number of tokens of the answer.
    pub answer_tokens: u64,
    /// Addresses to which the requesting host keeps idle connections.
    pub connected: Vec<SocketAddr>,
    /// Failure domain of the requesting host.
    pub domain: String,
    /// Random number that selects the sample of upstreams for a short prompt.
    pub random: u64,
    /// Weights version that must serve the request, if it resumes an answer.
    pub exact_weights: Option<u64>,
    /// Time left until the answer should begin, in milliseconds; for a patient request, see
    /// [`crate::queue::patience`].
    pub first_byte_left_ms: u64,
    /// Whether the request has a long prompt and the table ranks other requests of its service
    /// before it: it may be late, and those must not wait for it.
    pub is_patient: bool,
    /// Time left until the deadline of the request, in milliseconds.
    pub left_ms: u64,
    /// Tokens that fit into the memory of one engine, if known.
    pub memory_tokens: Option<u64>,
    /// Oldest version of the model's weights on which the request may begin.
    pub min_weights: u64,
    /// Name of the model, if engines serve the request.
    pub model: Option<String>,
    /// Newest version of the model's weights.
    pub newest_weights: u64,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Whether the request must not run again once it may have run.
    pub runs_once: bool,
    /// Name of the service.
    pub service: String,
    /// ID of the prefix that the prompt shares with other requests, and the tokens up to its end;
    /// only long prompts have one.
    pub shared_prefix: Option<(String, u64)>,
    /// ID of a shorter prefix that the prompt shares with other requests, and the tokens up to its
    /// end. It decides between engines that are about equally loaded.
    pub short_prefix: Option<(String, u64)>,
    /// Addresses of the stores of cached prefixes.
    pub stores: Vec<SocketAddr>,
    /// IDs of the upstreams that have failed this request.
    pub tried: Vec<String>,
    /// ID of the scope in which requests share cached prefixes, if those are not all requests.
    pub cache_scope: Option<String>,
}

impl Demand {
    /// Returns the key under which engines with this weights version cache the shared prefix.
    pub fn prefix_key(&self, weights: u64) -> Option<PrefixKey> {
        Some(PrefixKey::new(self.cache_id()?, weights))
    }

    /// Returns the ID of the shared prefix, with its scope appended unless all workspaces share it.
    fn cache_id(&self) -> Option<String> {
        let (prefix_id, _) = self.shared_prefix.as_ref()?;
        Some(match &self.cache_scope {
            None => prefix_id.clone(),
            Some(scope) => format!("{prefix_id}@{scope}"),
        })
    }
}
