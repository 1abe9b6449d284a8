//! Writes down what was decided for one request.

use std::collections::BTreeMap;

use crate::job::Job;
use coordination::broker::Grant;
use protocol::operator::Attempt;
use protocol::operator::Candidate;
use protocol::operator::Explanation;
use protocol::operator::Step;
use protocol::refusal::Reason;
use transport::clock::wall_millis;

const BYTES_PER_TOKEN: u64 = 4;
const MICROS_PER_MILLI: f64 = 1_000.0;

/// Collects the explanation of one request.
#[derive(Clone, Debug)]
pub struct Story {
    block_tokens: u64,
    explanation: Explanation,
}

impl Story {
    /// Returns a story that has just begun.
    pub fn new(job: &Job) -> Self {
        Self {
            block_tokens: job.block_bytes as u64 / BYTES_PER_TOKEN,
            explanation: Explanation {
                id: job.id.clone(),
                kind: job.ask.kind.clone(),
                outcome: "running".to_owned(),
                rank: job.ask.rank.to_string(),
                workspace: job.ask.workspace.clone(),
                ..Explanation::default()
            },
        }
    }

    /// Adds the start of an attempt from token `offset`.
    pub fn begin(&mut self, grant: &Grant, offset: u64) {
        self.weigh(grant);
        self.explanation.attempts.push(Attempt {
            offset,
            outcome: "running".to_owned(),
            started_ms: wall_millis(),
            upstream: grant.upstream.clone(),
            ..Attempt::default()
        });
    }

    /// Adds how the last attempt ended, and when its first token came.
    pub fn end(&mut self, outcome: impl Into<String>, first_token: Option<u64>) {
        if let Some(attempt) = self.explanation.attempts.last_mut() {
            attempt.ended_ms = Some(wall_millis());
            attempt.first_token_ms = first_token;
            attempt.outcome = outcome.into();
        }
    }

    /// Adds a wait of `length` milliseconds that is about to begin.
    pub fn wait(&mut self, reason: impl Into<String>, length: u64) {
        self.explanation.steps.push(Step {
            at_ms: wall_millis(),
            length_ms: length,
            reason: reason.into(),
        });
    }

    /// Ends the story.
    pub fn close(mut self, outcome: impl Into<String>, refusal: Option<Reason>) -> Explanation {
        self.explanation.outcome = outcome.into();
        self.explanation.refusal = refusal.map(|reason| reason.to_string());
        self.explanation
    }

    fn weigh(&mut self, grant: &Grant) {
        if grant.waited_ms > 0 {
            self.wait("queue", grant.waited_ms);
        }
        let mut candidates = BTreeMap::new();
        for score in &grant.scores {
            let chosen = score.upstream == grant.upstream;
            let passed_over = (!chosen).then(|| "costs more".to_owned());
            let candidate = Candidate {
                cached_tokens: u64::from(score.resident_blocks) * self.block_tokens,
                passed_over,
                score_ms: score.cost_us as f64 / MICROS_PER_MILLI,
                upstream: score.upstream.clone(),
            };
            candidates.insert((!chosen, score.cost_us, score.upstream.clone()), candidate);
        }
        self.explanation.candidates = candidates.into_values().collect();
    }
}
