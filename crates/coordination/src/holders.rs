//! Holders: which engines have read which shared prompts, and whether the store was sent them.
//!
//! A host notes a prompt once an engine has begun to answer a request with it, and tells the
//! others. An engine that lacks a prompt fetches it from one that has it in a tenth of the time of
//! reading it. What is noted is a hint: an engine may have dropped the prompt since, which costs it
//! the reading that it would have done anyway.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::rendezvous;
use state::time::Instant;

/// Gives for how long a prompt that an engine has read is expected there, in milliseconds: engines
/// keep some ten prompts of full length, and each reads about one a second under load.
const HELD_MS: u64 = 10_000;
/// Gives the time after which a prompt goes to the store again, in milliseconds, as the store may
/// have dropped it or was down.
const SAVED_MS: u64 = 10_000;
/// Bounds what waits to be told to the others; a host sends fewer long prompts between two asks.
const UNTOLD: usize = 256;

/// Names a shared prompt as engines cache it: for one version of the weights, and within one
/// workspace where that is isolated.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Prompt {
    /// Names its last part, and the workspace that it must not leave, where there is one.
    pub part: String,
    /// Gives the version of the weights.
    pub weights: u64,
}

/// Names what has a prompt.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Place {
    /// Is an engine, by its name.
    Engine(String),
    /// Is the store.
    Store,
}

/// Tells that a place has a prompt.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Holding {
    /// Names the place.
    pub place: Place,
    /// Names the prompt.
    pub prompt: Prompt,
}

/// Returns the store that keeps a prompt: every host finds the same one, so that each prompt is
/// kept once and all stores fill.
pub fn store(stores: &[SocketAddr], prompt: &Prompt) -> Option<SocketAddr> {
    let score = |store: &&SocketAddr| rendezvous::score(prompt.part.as_bytes(), &store.to_string());
    stores.iter().max_by_key(score).copied()
}

/// Keeps which places have which prompts.
#[derive(Clone, Debug, Default)]
pub struct Holders {
    places: BTreeMap<Prompt, BTreeMap<Place, Instant>>,
    told: VecDeque<(Instant, Holding)>,
    untold: Vec<Holding>,
}

impl Holders {
    /// Notes what this host has seen, to be told to the others.
    pub fn saw(&mut self, now: Instant, holding: Holding) {
        if self.untold.len() < UNTOLD {
            self.untold.push(holding.clone());
        }
        self.note(now, holding);
    }

    /// Notes what other hosts have seen.
    pub fn heard(&mut self, now: Instant, holdings: Vec<Holding>) {
        for holding in holdings {
            self.note(now, holding);
        }
    }

    /// Returns what the others were not told yet.
    pub fn tell(&mut self, now: Instant) -> Vec<Holding> {
        let untold = std::mem::take(&mut self.untold);
        let told = untold.iter().cloned().map(|holding| (now, holding));
        self.told.extend(told);
        let old = self.told.len().saturating_sub(UNTOLD);
        self.told.drain(..old);
        untold
    }

    /// Has what is not too old to count told once more.
    pub fn tell_again(&mut self, now: Instant) {
        let told = std::mem::take(&mut self.told);
        let young = told.into_iter().filter(|(at, _)| now.since(*at) <= HELD_MS);
        let later = std::mem::take(&mut self.untold);
        self.untold = young.map(|(_, holding)| holding).chain(later).collect();
        self.untold.truncate(UNTOLD);
    }

    /// Returns the engines that have a prompt, the last that read it first.
    pub fn engines(&self, now: Instant, prompt: &Prompt) -> Vec<&str> {
        let places = self.places.get(prompt).into_iter().flatten();
        let mut engines: Vec<(Instant, &str)> = places
            .filter(|(_, at)| now.since(**at) <= HELD_MS)
            .filter_map(|(place, at)| match place {
                Place::Engine(id) => Some((*at, id.as_str())),
                Place::Store => None,
            })
            .collect();
        engines.sort_by(|a, b| b.cmp(a));
        engines.into_iter().map(|(_, id)| id).collect()
    }

    /// Returns whether a prompt should go to the store, and notes that it does.
    pub fn save(&mut self, now: Instant, prompt: &Prompt) -> bool {
        let saved = self.places.get(prompt);
        let saved = saved.and_then(|places| places.get(&Place::Store));
        let due = saved.is_none_or(|at| now.since(*at) > SAVED_MS);
        if due {
            self.saw(
                now,
                Holding {
                    place: Place::Store,
                    prompt: prompt.clone(),
                },
            );
        }
        due
    }

    /// Forgets what is too old to count.
    pub fn forget(&mut self, now: Instant) {
        let most = HELD_MS.max(SAVED_MS);
        self.places.retain(|_, places| {
            places.retain(|_, at| now.since(*at) <= most);
            !places.is_empty()
        });
    }

    fn note(&mut self, now: Instant, holding: Holding) {
        let places = self.places.entry(holding.prompt).or_default();
        places.insert(holding.place, now);
    }
}
