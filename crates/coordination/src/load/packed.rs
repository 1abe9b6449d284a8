//! Encodes the loads of all upstreams for hosts, in about four bytes an upstream.
//!
//! Every host gets the loads several times a second. Tokens are rounded to some milliseconds of
//! prefill and ages to a fraction of the time between two updates, so that most values take a byte.

use std::sync::Arc;

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;

use crate::upstream_load::UpstreamLoad;

/// Unit of tokens: engines prefill as many in a few milliseconds.
const TOKENS_UNIT: u64 = 256;
/// Unit of ages, in milliseconds.
const AGE_UNIT_MS: u64 = 16;

/// A load in units: running requests, tokens of long prompts, tokens to be prefilled, and the age
/// of the last byte plus one, or 0 if it is unknown.
type Packed = (u32, u64, u64, u64);

/// Serializes loads.
///
/// # Errors
///
/// Returns the error of the serializer.
pub fn serialize<S: Serializer>(
    loads: &Arc<Vec<UpstreamLoad>>,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    serializer.collect_seq(loads.iter().map(pack))
}

/// Deserializes loads.
///
/// # Errors
///
/// Returns the error of the deserializer.
pub fn deserialize<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Arc<Vec<UpstreamLoad>>, D::Error> {
    let packed = Vec::<Packed>::deserialize(deserializer)?;
    Ok(Arc::new(packed.into_iter().map(unpack).collect()))
}

/// Memory and age are rounded up, so that an upstream neither gets more than it can hold nor seems
/// to have responded later than it did.
fn pack(load: &UpstreamLoad) -> impl Serialize + use<> {
    let UpstreamLoad {
        last_byte_age_ms,
        long_prompt_tokens,
        pending_prefill_tokens,
        running,
    } = *load;
    let packed: Packed = (
        running,
        long_prompt_tokens.div_ceil(TOKENS_UNIT),
        (pending_prefill_tokens + TOKENS_UNIT / 2) / TOKENS_UNIT,
        last_byte_age_ms.map_or(0, |age_ms| age_ms.div_ceil(AGE_UNIT_MS) + 1),
    );
    packed
}

fn unpack((running, long_prompt, pending_prefill, age): Packed) -> UpstreamLoad {
    UpstreamLoad {
        last_byte_age_ms: age
            .checked_sub(1)
            .map(|age| age.saturating_mul(AGE_UNIT_MS)),
        long_prompt_tokens: long_prompt.saturating_mul(TOKENS_UNIT),
        pending_prefill_tokens: pending_prefill.saturating_mul(TOKENS_UNIT),
        running,
    }
}
