//! Quarantine of prompt parts and of whole requests that crash upstreams.
//!
//! A whole request counts as one more part of itself, which the same request shares when it comes
//! again. What is said of parts holds for it too.
//!
//! A part may crash every engine that begins an answer to a prompt with it, whatever else the
//! prompt holds. Hosts report which parts were at risk at an engine that crashed, and which parts
//! of those were in a prompt that got its whole answer. A part is quarantined after several crashes
//! without a whole answer in between; one that ever had a whole answer needs more than twice the
//! crashes of any part without one beside it. Of the parts that the same crashes leave under
//! suspicion, one is quarantined, and the crashes in which it took part no longer count against the
//! others.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;

use state::ident::Digest;
use state::time::Instant;

/// Crashes without a whole answer in between after which a part is quarantined.
pub const CRASHES_TO_QUARANTINE: u32 = 3;
/// The same, if all crashes are of one upstream, which may be faulty itself.
pub const CRASHES_OF_ONE_UPSTREAM: u32 = 5;
/// Times as many crashes that convict a part with a whole answer, as those of any part without one
/// that took part in them; several deadly parts may stand behind the same sound one.
const ANSWERED_FACTOR: u32 = 2;
/// Length of the first quarantine of a part, in milliseconds; each further one lasts twice as long.
pub const QUARANTINE_MS: u64 = 60_000;
/// Longest quarantine, in milliseconds.
pub const QUARANTINE_LIMIT_MS: u64 = 600_000;
/// How long a crash counts, and how long a quarantine is remembered after its end, in milliseconds.
pub const MEMORY_MS: u64 = 600_000;
/// Time within which reports of a crash of the same upstream mean the same crash, in milliseconds;
/// an engine takes longer to start.
pub const SAME_CRASH_MS: u64 = 2_000;
/// Time within which crashes of several upstreams count once, in milliseconds. The upstreams of a
/// failure domain that dies crash together, whatever they run.
pub const JOINT_CRASH_MS: u64 = 200;
/// The same for a part that had a recent whole answer. In a shorter time its prompts could not have
/// got another one, so that crashes one after the other tell no more than joint ones.
const ANSWERED_JOINT_CRASH_MS: u64 = 1_000;
/// How long before a crash a whole answer counts as recent, in milliseconds. A part that has
/// crashed engines for longer no longer counts as sound.
const RECENT_ANSWER_MS: u64 = 10_000;
/// Time from a crash until it is judged, in milliseconds: within two reports of every host, so that
/// the other hosts' suspects and whole answers are known.
pub const SETTLE_MS: u64 = 500;
/// Least time between two searches for what can be forgotten, in milliseconds.
const EXPIRY_INTERVAL_MS: u64 = 1_000;
/// Most crashes that are kept.
const MAX_CRASHES: usize = 64;
/// Crashes that remain if more than [`MAX_CRASHES`] are known. Many are dropped at once, since the
/// choice looks at all suspects.
const CRASHES_AFTER_CUT: usize = 32;
/// Most suspects of one crash that are kept, those with the oldest whole answers.
const MAX_SUSPECTS: usize = 128;
/// Beginning of the ID of a whole request.
const REQUEST_PREFIX: &str = "request:";
/// Most quarantined parts that are kept.
const MAX_QUARANTINED: usize = 256;
/// Most suspected parts that hosts are told of, the most suspected first.
const MAX_SUSPECTED: usize = 64;

/// A part of a prompt whose answer was about to begin when an engine crashed, or a whole request.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Suspect {
    /// ID of the part or of the request.
    pub part: String,
    /// Number of parts before it in the prompt.
    pub depth: u32,
}

/// A crash of an engine, as one host saw it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Crash {
    /// ID of the upstream.
    pub upstream: String,
    /// Parts of the host's requests there that other requests may share, and the requests.
    pub suspects: Vec<Suspect>,
    /// Time since the crash, in milliseconds.
    pub age_ms: u64,
}

/// The last whole answer to a prompt with a suspected part, as one host saw it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Success {
    /// ID of the part.
    pub part: String,
    /// Time since the answer ended, in milliseconds.
    pub age_ms: u64,
}

/// A quarantined part; after its quarantine it stays on trial, and a single crash renews it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Sentence {
    /// ID of the part.
    pub part: String,
    /// Time since the last crash with the part, in milliseconds.
    pub age_ms: u64,
    /// Length of the quarantine from that crash, in milliseconds.
    pub length_ms: u64,
}

/// A change of the quarantined parts, for the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// A part was quarantined.
    Quarantined {
        /// ID of the part.
        part: String,
        /// Crashes that count against it.
        crashes: u32,
        /// Length of the quarantine, in milliseconds.
        length_ms: u64,
        /// Upstreams that crashed, as far as they are known.
        upstreams: Vec<String>,
        /// Hosts that saw the crashes, as far as they are known.
        hosts: Vec<String>,
    },
    /// A whole answer ended the quarantine of the part with this ID.
    Released(String),
}

/// A crash with the reports of all hosts.
#[derive(Clone, Debug)]
struct KnownCrash {
    at: Instant,
    hosts: BTreeSet<String>,
    judged: bool,
    /// Suspects with their depths.
    suspects: BTreeMap<String, u32>,
    upstream: String,
}

/// A quarantine of a part.
#[derive(Clone, Copy, Debug)]
struct Quarantine {
    crashed_at: Instant,
    length_ms: u64,
}

impl Quarantine {
    fn until(self) -> Instant {
        self.crashed_at + self.length_ms
    }
}

/// What speaks against one part.
#[derive(Clone, Debug, Default)]
struct Suspicion<'a> {
    counted_at: Instant,
    crashes: u32,
    depth: u32,
    /// If the part had a whole answer: most crashes of another without one that took part in these.
    rival_crashes: u32,
    /// Crashes that count, and those that a quarantined part accounts for.
    total: u32,
    total_at: Instant,
    upstreams: BTreeSet<&'a str>,
    hosts: BTreeSet<&'a str>,
}

impl Suspicion<'_> {
    fn is_enough(&self) -> bool {
        let least = match self.upstreams.len() {
            0 | 1 => CRASHES_OF_ONE_UPSTREAM,
            _ => CRASHES_TO_QUARANTINE,
        };
        self.crashes >= least && self.total > ANSWERED_FACTOR * self.rival_crashes
    }
}

/// Evidence on prompt parts, and the quarantines that follow from it. The leading host keeps it for
/// the fleet, and each host for itself.
#[derive(Clone, Debug, Default)]
pub struct PartQuarantine {
    crashes: VecDeque<KnownCrash>,
    expired_at: Instant,
    quarantines: BTreeMap<String, Quarantine>,
    successes: BTreeMap<String, Instant>,
}

impl PartQuarantine {
    /// Records a crash that `host` saw. Returns the quarantines that it renews.
    pub fn record_crash(
        &mut self,
        now: Instant,
        host: impl Into<String>,
        crash: &Crash,
    ) -> Vec<Change> {
        self.expire(now);
        let at = now.before(crash.age_ms);
        let is_same = |known: &KnownCrash| {
            known.upstream == crash.upstream
                && at.since(known.at).max(known.at.since(at)) <= SAME_CRASH_MS
        };
        let index = self.crashes.iter().position(is_same);
        let index = index.unwrap_or_else(|| {
            let later = self.crashes.iter().position(|known| known.at > at);
            let index = later.unwrap_or(self.crashes.len());
            self.crashes.insert(
                index,
                KnownCrash {
                    at,
                    hosts: BTreeSet::new(),
                    judged: false,
                    suspects: BTreeMap::new(),
                    upstream: crash.upstream.clone(),
                },
            );
            index
        });
        let known = &mut self.crashes[index];
        known.hosts.insert(host.into());
        if add_suspects(&mut known.suspects, &crash.suspects, &self.successes) {
            known.judged = false;
        }
        let crashed = known.clone();
        if self.crashes.len() > MAX_CRASHES {
            self.drop_crashes();
        }
        self.renew(&crashed)
    }

    /// Records a whole answer to a prompt with a part, and returns the change if it ends a
    /// quarantine.
    pub fn record_success(&mut self, now: Instant, success: &Success) -> Option<Change> {
        let at = now.before(success.age_ms);
        let part = &success.part;
        // Sound parts that are much in use are known already, and are reported most.
        let is_known = self.successes.contains_key(part)
            || self.quarantines.contains_key(part)
            || self.crashes.iter().any(|c| c.suspects.contains_key(part));
        if !is_known {
            return None;
        }
        let last = self.successes.entry(part.clone()).or_default();
        *last = at.max(*last);
        let is_over = self
            .quarantines
            .get(part)
            .is_some_and(|quarantine| at > quarantine.crashed_at);
        is_over.then(|| {
            self.quarantines.remove(part);
            Change::Released(part.clone())
        })
    }

    /// Quarantines the parts that the settled crashes convict.
    pub fn judge(&mut self, now: Instant) -> Vec<Change> {
        let is_due = |c: &KnownCrash| !c.judged && now.since(c.at) >= SETTLE_MS;
        if !self.crashes.iter().any(is_due) {
            return Vec::new();
        }
        let mut changes = Vec::new();
        let mut due: BTreeSet<String> = BTreeSet::new();
        for crash in self.crashes.iter_mut().filter(|crash| is_due(crash)) {
            crash.judged = true;
            due.extend(crash.suspects.keys().cloned());
        }
        while self.quarantines.len() < MAX_QUARANTINED {
            let suspicions = self.suspicions();
            let convicted = suspicions.into_iter().filter(|(part, suspicion)| {
                suspicion.is_enough()
                    && due.contains(*part)
                    && !self.quarantines.contains_key(*part)
            });
            let convicted = convicted.max_by_key(|(part, suspicion)| self.rank(part, suspicion));
            let Some((part, suspicion)) = convicted else {
                break;
            };
            let part = part.to_owned();
            let quarantine = Quarantine {
                crashed_at: suspicion.counted_at,
                length_ms: QUARANTINE_MS,
            };
            let owned = |names: BTreeSet<&str>| names.into_iter().map(str::to_owned).collect();
            changes.push(Change::Quarantined {
                part: part.clone(),
                crashes: suspicion.crashes,
                length_ms: QUARANTINE_MS,
                upstreams: owned(suspicion.upstreams),
                hosts: owned(suspicion.hosts),
            });
            self.quarantines.insert(part, quarantine);
        }
        changes
    }

    /// Returns how long a part is still quarantined, in milliseconds, if it is. `extra_percent` of
    /// its length is added: hosts that resume at different times try the part one after another.
    pub fn left_ms(&self, now: Instant, part: &str, extra_percent: u64) -> Option<u64> {
        let quarantine = self.quarantines.get(part)?;
        let until = quarantine.until() + quarantine.length_ms * extra_percent / 100;
        let left_ms = until.since(now);
        (left_ms > 0).then_some(left_ms)
    }

    /// Returns whether nothing is known of any part.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.quarantines.is_empty()
    }

    /// Returns the quarantines, those on trial included.
    pub fn sentences(&self, now: Instant) -> Vec<Sentence> {
        let sentence = |(part, quarantine): (&String, &Quarantine)| Sentence {
            part: part.clone(),
            age_ms: now.since(quarantine.crashed_at),
            length_ms: quarantine.length_ms,
        };
        self.quarantines.iter().map(sentence).collect()
    }

    /// Returns the parts that crashes speak against, the most suspected first.
    pub fn suspected(&self) -> Vec<String> {
        let mut suspected: Vec<_> = self.suspicions().into_iter().collect();
        suspected.sort_by_cached_key(|(part, suspicion)| Reverse(self.rank(part, suspicion)));
        suspected.truncate(MAX_SUSPECTED);
        let parts = suspected.into_iter();
        parts.map(|(part, _)| part.to_owned()).collect()
    }

    /// Adds the quarantines of another host, unless a later whole answer is known.
    pub fn merge(&mut self, now: Instant, sentences: &[Sentence]) {
        for sentence in sentences {
            let theirs = Quarantine {
                crashed_at: now.before(sentence.age_ms),
                length_ms: sentence.length_ms.min(QUARANTINE_LIMIT_MS),
            };
            let succeeded = self.successes.get(&sentence.part);
            let is_over = succeeded.is_some_and(|at| *at > theirs.crashed_at);
            let is_full = self.quarantines.len() >= MAX_QUARANTINED;
            if is_over || is_full && !self.quarantines.contains_key(&sentence.part) {
                continue;
            }
            let ours = self.quarantines.entry(sentence.part.clone());
            let ours = ours.or_insert(theirs);
            if theirs.until() > ours.until() {
                *ours = theirs;
            }
        }
    }

    /// Replaces the quarantines by those of the leading host.
    pub fn replace(&mut self, now: Instant, sentences: &[Sentence]) {
        self.quarantines.clear();
        self.merge(now, sentences);
    }

    /// Forgets what is older than [`MEMORY_MS`].
    pub fn expire(&mut self, now: Instant) {
        if now.since(self.expired_at) < EXPIRY_INTERVAL_MS {
            return;
        }
        self.expired_at = now;
        self.crashes.retain(|c| now.since(c.at) < MEMORY_MS);
        self.quarantines
            .retain(|_, quarantine| now.since(quarantine.until()) < MEMORY_MS);
        let Self {
            crashes,
            quarantines,
            successes,
            ..
        } = self;
        successes.retain(|part, _| {
            quarantines.contains_key(part) || crashes.iter().any(|c| c.suspects.contains_key(part))
        });
    }

    /// Drops the crashes that tell the least: those whose suspects took part in the fewest crashes,
    /// then those that came together with others, then the oldest.
    fn drop_crashes(&mut self) {
        let times: Vec<Instant> = self.crashes.iter().map(|crash| crash.at).collect();
        let suspicions = self.suspicions();
        let value = |(index, crash): (usize, &KnownCrash)| {
            let counts = crash.suspects.keys().filter_map(|part| {
                let suspicion = suspicions.get(part.as_str())?;
                Some(suspicion.crashes)
            });
            let follows = index.checked_sub(1).and_then(|before| times.get(before));
            let is_joint = follows.is_some_and(|at| crash.at.since(*at) < JOINT_CRASH_MS);
            (counts.max(), !is_joint, crash.at)
        };
        let values: Vec<_> = self.crashes.iter().enumerate().map(value).collect();
        let mut sorted = values.clone();
        sorted.sort_unstable();
        let least = sorted[sorted.len() - CRASHES_AFTER_CUT];
        let mut values = values.into_iter();
        self.crashes
            .retain(|_| values.next().is_some_and(|value| value >= least));
        while self.crashes.len() > CRASHES_AFTER_CUT {
            self.crashes.pop_back();
        }
    }

    /// Renews the quarantines of the suspects of a crash: one that is over begins again for twice
    /// the time.
    fn renew(&mut self, crash: &KnownCrash) -> Vec<Change> {
        let mut changes = Vec::new();
        for part in crash.suspects.keys() {
            let Some(quarantine) = self.quarantines.get_mut(part) else {
                continue;
            };
            if crash.at <= quarantine.crashed_at {
                continue;
            }
            if crash.at >= quarantine.until() {
                quarantine.length_ms = (quarantine.length_ms * 2).min(QUARANTINE_LIMIT_MS);
                changes.push(Change::Quarantined {
                    part: part.clone(),
                    crashes: 1,
                    length_ms: quarantine.length_ms,
                    upstreams: vec![crash.upstream.clone()],
                    hosts: crash.hosts.iter().cloned().collect(),
                });
            }
            quarantine.crashed_at = crash.at;
        }
        changes
    }

    /// Returns what speaks against each part: the crashes since its last whole answer, except those
    /// that a quarantined part accounts for.
    fn suspicions(&self) -> BTreeMap<&str, Suspicion<'_>> {
        let mut suspicions: BTreeMap<&str, Suspicion<'_>> = BTreeMap::new();
        for crash in &self.crashes {
            let is_explained = self.is_explained(crash);
            for (part, depth) in &crash.suspects {
                if self.has_succeeded_since(part, crash) {
                    continue;
                }
                let joint_ms = self.joint_crash_ms(part, crash);
                let suspicion = suspicions.entry(part).or_default();
                if suspicion.total == 0 || crash.at.since(suspicion.total_at) >= joint_ms {
                    suspicion.total += 1;
                    suspicion.total_at = crash.at;
                }
                if is_explained {
                    continue;
                }
                let is_first = suspicion.crashes == 0;
                if is_first || crash.at.since(suspicion.counted_at) >= joint_ms {
                    suspicion.crashes += 1;
                    suspicion.counted_at = crash.at;
                }
                suspicion.depth = suspicion.depth.max(*depth);
                suspicion.upstreams.insert(&crash.upstream);
                suspicion
                    .hosts
                    .extend(crash.hosts.iter().map(String::as_str));
            }
        }
        suspicions.retain(|_, suspicion| suspicion.crashes > 0);
        self.count_rivals(&mut suspicions);
        suspicions
    }

    /// Returns the time within which crashes count once against a part, in milliseconds.
    fn joint_crash_ms(&self, part: &str, crash: &KnownCrash) -> u64 {
        let answered = self.successes.get(part);
        let is_recent = answered.is_some_and(|at| crash.at.since(*at) <= RECENT_ANSWER_MS);
        match is_recent {
            false => JOINT_CRASH_MS,
            true => ANSWERED_JOINT_CRASH_MS,
        }
    }

    /// Sets the crashes of rivals of the parts that had a whole answer. A whole request is a rival
    /// of other requests alone. It took part in no more crashes than each of its parts, so that it
    /// says nothing for them; one that is deadly itself has no whole answer and goes before them.
    fn count_rivals(&self, suspicions: &mut BTreeMap<&str, Suspicion<'_>>) {
        for crash in &self.crashes {
            if self.is_explained(crash) {
                continue;
            }
            let parts = || crash.suspects.keys().map(String::as_str);
            let mut most = [0; 2];
            for part in parts().filter(|part| !self.successes.contains_key(*part)) {
                let total = suspicions.get(part).map_or(0, |suspicion| suspicion.total);
                let of_kind = &mut most[usize::from(is_request(part))];
                *of_kind = total.max(*of_kind);
            }
            let [of_parts, of_requests] = most;
            for part in parts().filter(|part| self.successes.contains_key(*part)) {
                if self.has_succeeded_since(part, crash) {
                    continue;
                }
                if let Some(suspicion) = suspicions.get_mut(part) {
                    let rivals = match is_request(part) {
                        false => of_parts,
                        true => of_parts.max(of_requests),
                    };
                    suspicion.rival_crashes = suspicion.rival_crashes.max(rivals);
                }
            }
        }
    }

    /// Returns whether a quarantined part accounts for a crash.
    fn is_explained(&self, crash: &KnownCrash) -> bool {
        let mut parts = crash.suspects.keys();
        parts.any(|part| self.quarantines.contains_key(part))
    }

    /// Returns whether a prompt with the part got its whole answer after a crash.
    fn has_succeeded_since(&self, part: &str, crash: &KnownCrash) -> bool {
        let succeeded = self.successes.get(part);
        succeeded.is_some_and(|at| *at >= crash.at)
    }

    /// Returns the order in which suspected parts are quarantined: most crashes, most of those that
    /// the quarantine of another part accounts for, longest without a whole answer, a part rather
    /// than a whole request, shared by the fewest prompts. After a wrong quarantine crashes go on
    /// without the quarantined part, and the deadly one took part in both kinds.
    fn rank(
        &self,
        part: &str,
        suspicion: &Suspicion<'_>,
    ) -> (u32, u32, Reverse<Option<Instant>>, bool, u32) {
        let succeeded = self.successes.get(part).copied();
        let Suspicion {
            crashes,
            total,
            depth,
            ..
        } = *suspicion;
        let is_part = !is_request(part);
        (crashes, total, Reverse(succeeded), is_part, depth)
    }
}

/// Returns the ID of a whole request with the content of this digest.
pub fn request_id(digest: Digest) -> String {
    format!("{REQUEST_PREFIX}{digest}")
}

/// Returns whether an ID is that of a whole request.
pub(crate) fn is_request(id: impl AsRef<str>) -> bool {
    id.as_ref().starts_with(REQUEST_PREFIX)
}

/// Adds the suspects of one crash to those that are known, with the greatest depth of each, and
/// returns whether that changed them. If there are too many, whole requests are dropped first; most
/// of those never come again.
pub(crate) fn add_suspects(
    known: &mut BTreeMap<String, u32>,
    suspects: &[Suspect],
    successes: &BTreeMap<String, Instant>,
) -> bool {
    let mut changed = BTreeSet::new();
    for Suspect { part, depth } in suspects {
        let before = known.get(part).copied();
        if before.is_none_or(|before| before < *depth) {
            known.insert(part.clone(), *depth);
            changed.insert(part);
        }
    }
    if known.len() > MAX_SUSPECTS {
        let mut parts: Vec<String> = known.keys().cloned().collect();
        parts.sort_by_cached_key(|part| {
            let succeeded = successes.get(part).copied();
            (is_request(part), succeeded, changed.contains(part))
        });
        for part in &parts[MAX_SUSPECTS..] {
            known.remove(part);
        }
    }
    changed.into_iter().any(|part| known.contains_key(part))
}
