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
