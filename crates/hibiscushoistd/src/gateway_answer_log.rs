//! Access log of routed requests: one event at the end of each answer that an upstream began, with
//! the outcome, the times and the grounds for the choice of the upstream.

use std::sync::Arc;

use strum::Display;

use crate::context::Context;
use crate::gateway::Gateway;
use crate::gateway::RoutedRequest;
use crate::gateway_attempt::UpstreamAnswer;
use coordination::choice::Choice;
use state::time::Instant;
use transport::event;
use transport::event::Event;

/// How an answer ended.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Outcome {
    /// The upstream broke it off, and no other upstream resumed it.
    Cut,
    /// The deadline passed before the answer was complete.
    Deadline,
    /// The caller disconnected before the answer was complete.
    Left,
    /// The answer was complete.
    Whole,
}

/// Record of one answer, written to the log when it is dropped.
pub struct AnswerLog {
    /// Age of the routing snapshot when the answer began.
    age_ms: Option<u64>,
    arrived: Instant,
    /// Attempts that may have run, with the one that answered.
    attempts: u32,
    choice: Choice,
    context: Arc<Context>,
    /// Edition of the list of upstreams when the answer began.
    edition: u64,
    /// Time from the arrival of the request to the head of the answer.
    head_ms: u64,
    outcome: Outcome,
    /// Time from the arrival of the request to the start of the attempt that was answered.
    placed_ms: u64,
    request: String,
    service: String,
    status: u16,
    /// Version of the routed table when the answer began.
    table: u64,
    workspace: Option<String>,
}

impl AnswerLog {
    /// Returns the record of an answer whose head has arrived. Until another outcome is set, it is
    /// [`Outcome::Left`]: if the caller disconnects, the record is dropped without further calls.
    pub fn start(
        context: &Arc<Context>,
        gateway: &Gateway,
        routed: &RoutedRequest,
        answered: &UpstreamAnswer,
        attempts: u32,
    ) -> Self {
        let snapshot = gateway.routing.latest();
        Self {
            age_ms: gateway.routing.age_ms(context),
            arrived: routed.arrived,
            attempts,
            choice: answered.choice.clone(),
            context: context.clone(),
            edition: snapshot.fleet.edition.number,
            head_ms: context.clock.now().since(routed.arrived),
            outcome: Outcome::Left,
            placed_ms: answered.sent_at.since(routed.arrived),
            request: routed.request_head.request_id.clone(),
            service: routed.service.clone(),
            status: answered.status().as_u16(),
            table: snapshot.index.table().version,
            workspace: routed.workspace.as_ref().map(|w| w.name.clone()),
        }
    }

    /// Records that another upstream resumed the answer.
    pub fn record_resumption(&mut self, answered: &UpstreamAnswer) {
        self.attempts += 1;
        self.choice.clone_from(&answered.choice);
    }

    /// Records how the answer ended.
    pub fn set_outcome(&mut self, outcome: Outcome) {
        self.outcome = outcome;
    }
}

impl Drop for AnswerLog {
    fn drop(&mut self) {
        let details = slog::o!(
            "request" => std::mem::take(&mut self.request),
            "workspace" => self.workspace.take(),
            "service" => std::mem::take(&mut self.service),
            "upstream" => std::mem::take(&mut self.choice.upstream.id),
            "weights" => self.choice.weights,
            "rank" => self.choice.rank.to_string(),
            "backlog_ms" => self.choice.backlog_ms,
            "reading_ms" => self.choice.prefill_ms,
            "fetch" => self.choice.fetch_from.map(|source| source.to_string()),
            "grant" => self.choice.assignment_id,
            "placed_ms" => self.placed_ms,
            "status" => self.status,
            "attempts" => self.attempts,
            "head_ms" => self.head_ms,
            "took_ms" => self.context.clock.now().since(self.arrived),
            "outcome" => self.outcome.to_string(),
            "table" => self.table,
            "edition" => self.edition,
            "age_ms" => self.age_ms,
        );
        event::emit(&self.context.log, Event::RequestAnswered, details);
    }
}
