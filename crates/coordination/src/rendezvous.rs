//! Rendezvous hashing: each key ranks all candidates, and a lost candidate moves only its own keys.

/// Returns the score of `candidate` for `key`; the candidate with the highest score is chosen.
pub fn score(key: &[u8], candidate: &str) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&(key.len() as u64).to_le_bytes());
    hasher.update(key);
    hasher.update(candidate.as_bytes());
    let mut score = [0; 8];
    score.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(score)
}

/// Returns the distance of a candidate with this score; the one with the least distance is chosen,
/// as often as its weight says against those of the others.
pub fn weighted_distance(score: u64, weight: u32) -> f64 {
    let share = (score as f64 + 1.0) / (u64::MAX as f64 + 2.0);
    -share.ln() / f64::from(weight.max(1))
}

/// Returns a number that looks random for each `index`, and differs between seeds.
pub fn scatter(seed: u64, index: u64) -> u64 {
    // SplitMix64.
    let mut mixed = seed.wrapping_add(index.wrapping_add(1).wrapping_mul(0x9e37_79b9_7f4a_7c15));
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
