//! What this host itself has observed of an upstream: its own requests there, a refusal and the
//! weights that answers named.

use std::collections::BTreeMap;

use crate::prefix_index::PrefixKey;
use crate::queue::room::Room;
use crate::unresponsive::RequestId;
use crate::upstream_load::UpstreamLoad;
use state::time::Instant;

/// A request in flight at an upstream, as later events of it are recorded with.
#[derive(Clone, Debug)]
pub struct InFlight {
    /// Whether the upstream took the request.
    pub(crate) is_accepted: bool,
    pub(crate) upstream_id: String,
    pub(crate) long_prompt_tokens: u64,
    pub(crate) prefix: Option<PrefixKey>,
    pub(crate) request_id: RequestId,
    /// Tokens ahead of the answer, its own included, if it tells how fast the engine is.
    pub(crate) sampled_tokens: Option<u64>,
    pub(crate) sent_at: Instant,
    pub(crate) service: String,
    pub(crate) pending_prefill_tokens: u64,
    pub(crate) started: u64,
}

impl InFlight {
    /// Returns the name of the service.
    pub fn service(&self) -> &str {
        &self.service
    }

    /// Returns the time since it was sent, in milliseconds, if it is a short request that the
    /// upstream took.
    pub fn short_held_ms(&self, now: Instant) -> Option<u64> {
        let is_short = self.is_accepted && self.long_prompt_tokens == 0;
        is_short.then(|| now.since(self.sent_at))
    }
}

/// What this host itself has observed of an upstream.
#[derive(Clone, Debug, Default)]
pub(crate) struct LocalState {
    long_prompt_tokens: u64,
    pub(crate) refused_at: Option<Instant>,
    pub(crate) room: Room,
    running: u32,
    pending_prefill_tokens: u64,
    pub(crate) weights: BTreeMap<String, u64>,
}

impl LocalState {
    /// Returns whether requests of this host are in flight.
    pub(crate) fn has_requests(&self) -> bool {
        self.running > 0
    }

    /// Returns the load that this host causes.
    pub(crate) fn load(&self, last_byte_age_ms: Option<u64>) -> UpstreamLoad {
        UpstreamLoad {
            long_prompt_tokens: self.long_prompt_tokens,
            last_byte_age_ms,
            running: self.running,
            pending_prefill_tokens: self.pending_prefill_tokens,
        }
    }

    /// Records that a request was sent.
    pub(crate) fn record_sent(&mut self, long_prompt_tokens: u64, pending_prefill_tokens: u64) {
        self.long_prompt_tokens += long_prompt_tokens;
        self.running += 1;
        self.pending_prefill_tokens += pending_prefill_tokens;
    }

    /// Records that the prefill of a request has ended.
    pub(crate) fn record_prefill(&mut self, in_flight: &mut InFlight) {
        self.pending_prefill_tokens = self
            .pending_prefill_tokens
            .saturating_sub(in_flight.pending_prefill_tokens);
        in_flight.pending_prefill_tokens = 0;
    }

    /// Records that a request is no longer in flight.
    pub(crate) fn record_end(&mut self, in_flight: &InFlight) {
        self.long_prompt_tokens = self
            .long_prompt_tokens
            .saturating_sub(in_flight.long_prompt_tokens);
        self.running = self.running.saturating_sub(1);
        self.pending_prefill_tokens = self
            .pending_prefill_tokens
            .saturating_sub(in_flight.pending_prefill_tokens);
    }
}
