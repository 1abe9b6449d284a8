//! Learns how fast the engines of each service prefill, from the answers that all hosts see.
//!
//! Classes of engines differ by a factor of ten, and decisions about where a prompt begins in time
//! need the rate of those that are there. Hosts send the leading host samples: the tokens that an
//! engine had to prefill before an answer began, and how long that took. The leading host fits a
//! line through those of a service and sends the result to all hosts. Quartiles decide, so that
//! neither a slow engine nor one that lies moves the result far.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use state::time::Instant;

/// Number of samples that are kept for a service: about a second of a large fleet.
const SAMPLES_LIMIT: usize = 512;
/// Least number of samples on each side of the line.
const MIN_SAMPLES: usize = 24;
/// Least number of tokens by which a sample must exceed the small ones to tell something of the
/// rate.
const MIN_TOKENS_APART: u64 = 1_000;
/// Share of the weight of the samples whose rate is below that of the model, in percent.
const RATE_PERCENT: u64 = 40;
/// Least time between two fits, in milliseconds.
const FIT_INTERVAL_MS: u64 = 250;
/// Number of fits over which the model follows a change.
const SMOOTHING: u64 = 4;
/// Least and greatest prefill rate, in tokens a second.
const RATE_RANGE: (u64, u64) = (2_000, 2_000_000);
/// Least and greatest time to the first byte beside the prefill, in milliseconds.
const FIRST_BYTE_RANGE_MS: (u64, u64) = (5, 2_000);

/// How fast the engines of a service are.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineModel {
    /// Time from the end of a prefill until the answer reaches the caller's host, in milliseconds:
    /// the first token, one step of the engine's batch and the network. Three answers of four take
    /// less.
    pub first_byte_ms: u64,
    /// Prefill rate beside running requests, in tokens a second.
    pub prefill_tokens_per_s: u64,
}

impl Default for EngineModel {
    /// Returns the model of an engine of which nothing is known yet.
    fn default() -> Self {
        Self {
            first_byte_ms: 200,
            prefill_tokens_per_s: 45_000,
        }
    }
}

impl EngineModel {
    /// Returns the time that the prefill of `tokens` takes, in milliseconds.
    pub fn prefill_ms(&self, tokens: u64) -> u64 {
        tokens.saturating_mul(1_000) / self.prefill_tokens_per_s.max(1)
    }
}

/// The models of services, by name.
pub type Models = BTreeMap<String, EngineModel>;

/// One answer of an engine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Sample {
    /// Time from the sending of the request to the first byte of its answer, in milliseconds.
    pub first_byte_ms: u64,
    /// Name of the service.
    pub service: String,
    /// Tokens that the engine had to prefill before, those of other requests included.
    pub tokens: u64,
    /// ID of the engine.
    pub upstream: String,
}

/// Fits models to samples.
#[derive(Clone, Debug, Default)]
pub struct ModelFitter {
    /// The models that were last taken as news.
    announced: Models,
    fitted_at: Instant,
    models: Arc<Models>,
    samples: BTreeMap<String, VecDeque<(u64, u64)>>,
}

impl ModelFitter {
    /// Records samples.
    pub fn record(&mut self, samples: impl IntoIterator<Item = Sample>) {
        for sample in samples {
            let kept = self.samples.entry(sample.service).or_default();
            kept.push_back((sample.tokens, sample.first_byte_ms));
            if kept.len() > SAMPLES_LIMIT {
                kept.pop_front();
            }
        }
    }

    /// Takes the models that are new or have changed much since the last call.
    pub fn take_news(&mut self) -> Models {
        let is_changed = |(service, model): &(&String, &EngineModel)| {
            self.announced.get(*service).is_none_or(|old| {
                is_news(old.prefill_tokens_per_s, model.prefill_tokens_per_s)
                    || is_news(old.first_byte_ms, model.first_byte_ms)
            })
        };
        let news = self.models.iter().filter(is_changed);
        let news: Models = news
            .map(|(service, model)| (service.clone(), *model))
            .collect();
        self.announced.extend(news.clone());
        news
    }

    /// Returns the models of the services of which there are enough samples.
    pub fn models(&mut self, now: Instant) -> Arc<Models> {
        if now.since(self.fitted_at) >= FIT_INTERVAL_MS {
            self.fitted_at = now;
            let mut models = Models::clone(&self.models);
            for (service, samples) in &self.samples {
                if let Some(fit) = fit(samples.iter().copied()) {
                    let model = models.entry(service.clone()).or_insert(fit);
                    *model = smooth(*model, fit);
                }
            }
            if models != *self.models {
                self.models = Arc::new(models);
            }
        }
        self.models.clone()
    }
}

/// Returns whether two values are more than a tenth apart.
fn is_news(old: u64, new: u64) -> bool {
    old.abs_diff(new) * 10 > old
}

fn smooth(old: EngineModel, fit: EngineModel) -> EngineModel {
    let mix = |old: u64, fit: u64| (old * (SMOOTHING - 1) + fit) / SMOOTHING;
    EngineModel {
        first_byte_ms: mix(old.first_byte_ms, fit.first_byte_ms),
        prefill_tokens_per_s: mix(old.prefill_tokens_per_s, fit.prefill_tokens_per_s),
    }
}

/// Fits a line through samples of tokens and milliseconds. It begins in the middle of the smallest
/// quarter of them, and leads through the others so that more of them lie above it than below:
/// where the rate is overestimated, engines get more than they can begin in time. Samples count by
/// their distance, since those near the beginning tell more of the noise than of the rate.
fn fit(samples: impl IntoIterator<Item = (u64, u64)>) -> Option<EngineModel> {
    let mut samples: Vec<(u64, u64)> = samples.into_iter().collect();
    samples.sort_unstable();
    let small = samples.get(..samples.len() / 4)?;
    if small.len() < MIN_SAMPLES {
        return None;
    }
    let (mut small_tokens, mut small_ms): (Vec<u64>, Vec<u64>) = small.iter().copied().unzip();
    let tokens = quantile(&mut small_tokens, 2)?;
    let (middle_ms, upper_ms) = (quantile(&mut small_ms, 2)?, quantile(&mut small_ms, 3)?);
    let apart = samples
        .iter()
        .filter(|(other, _)| *other >= tokens + MIN_TOKENS_APART);
    let mut rates: Vec<(u64, u64)> = apart
        .map(|(other, ms)| {
            let distance = other - tokens;
            let rate = distance * 1_000 / ms.saturating_sub(middle_ms).max(1);
            (rate, distance)
        })
        .collect();
    if rates.len() < MIN_SAMPLES {
        return None;
    }
    rates.sort_unstable();
    let mut left = rates.iter().map(|(_, distance)| distance).sum::<u64>() * RATE_PERCENT / 100;
    let rate = rates.iter().find(|(_, distance)| {
        left = left.saturating_sub(*distance);
        left == 0
    });
    let (least, most) = RATE_RANGE;
    let model = EngineModel {
        first_byte_ms: 0,
        prefill_tokens_per_s: rate?.0.clamp(least, most),
    };
    let (least, most) = FIRST_BYTE_RANGE_MS;
    let first_byte_ms = upper_ms.saturating_sub(model.prefill_ms(tokens));
    Some(EngineModel {
        first_byte_ms: first_byte_ms.clamp(least, most),
        ..model
    })
}

/// Returns the value below which `quarters` quarters of the values lie.
fn quantile(values: &mut [u64], quarters: usize) -> Option<u64> {
    values.sort_unstable();
    values.get(values.len() * quarters / 4).copied()
}
