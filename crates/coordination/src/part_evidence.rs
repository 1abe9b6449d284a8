//! Exchange of evidence on prompt parts and whole requests between each host and the leading host.
//!
//! A host sends its crashes and whole answers with its requests for routing updates, and obeys the
//! quarantines in the answers. While no leader answers, it judges by its own evidence. A new leader
//! gets the evidence and the quarantines again from every host.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;

use crate::part_quarantine::Change;
use crate::part_quarantine::Crash;
use crate::part_quarantine::PartQuarantine;
use crate::part_quarantine::SAME_CRASH_MS;
use crate::part_quarantine::Sentence;
use crate::part_quarantine::Success;
use crate::part_quarantine::Suspect;
use crate::part_quarantine::add_suspects;
use crate::part_quarantine::is_request;
use state::time::Instant;

/// Time without an answer of the leader after which a host judges by its own evidence, in
/// milliseconds.
const ALONE_AFTER_MS: u64 = 1_000;
/// How long the crashes that a host saw are kept for a new leader, in milliseconds.
const CRASH_MEMORY_MS: u64 = 30_000;
/// Most crashes that a host keeps for a new leader.
const MAX_CRASHES: usize = 64;
/// Most parts whose last whole answer a host remembers.
const MAX_SUCCESSES: usize = 4_096;
/// Random extra length of quarantines at a host, at most, in percent.
const MAX_EXTRA_PERCENT: u64 = 25;
/// Least time between two judgements, in milliseconds; each looks at all crashes and suspects.
const JUDGE_INTERVAL_MS: u64 = 500;
/// Least time between two reports of whole answers to prompts with the same part, in milliseconds.
/// Parts that are much in use get whole answers all the time.
const SUCCESS_INTERVAL_MS: u64 = 250;
/// Least time between two versions of the verdict without a change of quarantines, in milliseconds;
/// each looks at all crashes and suspects.
const VERDICT_INTERVAL_MS: u64 = 1_000;
/// Parts of a prompt that are looked at; further ones are ignored, so that memory is bounded.
const MAX_PARTS: usize = 128;
/// Suspects in one report after which further crashes wait for the next one.
const MAX_REPORTED_SUSPECTS: usize = 2_048;
/// Length to which IDs of parts are cut, in bytes.
const MAX_ID_BYTES: usize = 64;

/// Version of the leader's verdict that a host has.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Position {
    /// Term of the leader.
    pub term: u64,
    /// Number of the verdict within the term.
    pub number: u64,
}

/// What a host reports to the leader.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Evidence {
    /// Crashes since the last report.
    pub crashes: Vec<Crash>,
    /// Version of the verdict that the host has.
    pub position: Position,
    /// Quarantines that the host obeys, for a leader that may not know them.
    pub sentences: Vec<Sentence>,
    /// Whole answers to prompts with suspected parts since the last report.
    pub successes: Vec<Success>,
}

/// What the leader makes of the evidence of all hosts.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Verdict {
    /// Version of the verdict.
    pub position: Position,
    /// All quarantines.
    pub sentences: Vec<Sentence>,
    /// Parts whose whole answers hosts report.
    pub suspected: Vec<String>,
}

/// Evidence of all hosts, as the leading host keeps it.
#[derive(Clone, Debug, Default)]
pub struct EvidenceCollector {
    changed: bool,
    judged_at: Instant,
    quarantine: PartQuarantine,
    stated_at: Instant,
    verdict: Verdict,
}

impl EvidenceCollector {
    /// Records the evidence of `host`. Returns the verdict, if the host lacks it, and the changes
    /// of quarantines for the log.
    pub fn exchange(
        &mut self,
        now: Instant,
        term: u64,
        host: impl Into<String>,
        evidence: &Evidence,
    ) -> (Option<Verdict>, Vec<Change>) {
        let host = host.into();
        let has_evidence = !evidence.crashes.is_empty()
            || !evidence.successes.is_empty()
            || !evidence.sentences.is_empty();
        let is_known = evidence.position != Position::default() || self.verdict.position.number > 0;
        if !has_evidence && !is_known {
            return (None, Vec::new());
        }
        let mut changes = Vec::new();
        for success in &evidence.successes {
            changes.extend(self.quarantine.record_success(now, success));
        }
        self.quarantine.merge(now, &evidence.sentences);
        for crash in &evidence.crashes {
            changes.extend(self.quarantine.record_crash(now, host.clone(), crash));
        }
        if now.since(self.judged_at) >= JUDGE_INTERVAL_MS {
            self.judged_at = now;
            changes.extend(self.quarantine.judge(now));
        }
        self.changed |= has_evidence || !changes.is_empty();
        let is_new_term = self.verdict.position.term != term;
        let is_due = !changes.is_empty() || now.since(self.stated_at) >= VERDICT_INTERVAL_MS;
        if is_new_term || self.changed && is_due {
            self.state_verdict(now, term);
        }
        let lacks = evidence.position != self.verdict.position;
        (lacks.then(|| self.current(now)), changes)
    }

    /// Computes the verdict anew.
    fn state_verdict(&mut self, now: Instant, term: u64) {
        self.quarantine.expire(now);
        self.changed = false;
        self.stated_at = now;
        self.verdict = Verdict {
            position: Position {
                term,
                number: self.verdict.position.number + 1,
            },
            sentences: Vec::new(),
            suspected: self.quarantine.suspected(),
        };
    }

    /// Returns the verdict with the current ages of the quarantines.
    fn current(&self, now: Instant) -> Verdict {
        Verdict {
            sentences: self.quarantine.sentences(now),
            ..self.verdict.clone()
        }
    }
}

/// A crash that this host saw, with the parts of all its requests there.
#[derive(Clone, Debug)]
struct OwnCrash {
    at: Instant,
    is_reported: bool,
    /// Suspects with their depths.
    suspects: BTreeMap<String, u32>,
    upstream: String,
}

/// Evidence and quarantines of one host.
#[derive(Clone, Debug, Default)]
pub struct PartMonitor {
    answered_at: Instant,
    crashes: VecDeque<OwnCrash>,
    extra_percent: u64,
    hands_over: bool,
    position: Position,
    quarantine: PartQuarantine,
    reported: BTreeMap<String, Instant>,
    successes: BTreeMap<String, Instant>,
    suspected: BTreeSet<String>,
}

impl PartMonitor {
    /// Returns a monitor without evidence; `random` makes hosts end quarantines at different times.
    pub fn new(random: u64) -> Self {
        Self {
            extra_percent: random % (MAX_EXTRA_PERCENT + 1),
            ..Self::default()
        }
    }

    /// Records that an upstream crashed while a request with these parts waited there for an
    /// answer, or had just got its beginning. The last part is that of the request alone, or the ID
    /// of the whole request; see [`request_id`](crate::part_quarantine::request_id).
    pub fn record_crash(
        &mut self,
        now: Instant,
        host: impl Into<String>,
        upstream: impl Into<String>,
        parts: impl IntoIterator<Item = impl Into<String>>,
    ) {
        let suspects: Vec<Suspect> = repeatable_ids(parts)
            .zip(0..)
            .map(|(part, depth)| Suspect { part, depth })
            .collect();
        let upstream = upstream.into();
        let crash = Crash {
            upstream: upstream.clone(),
            suspects: suspects.clone(),
            age_ms: 0,
        };
        self.quarantine.record_crash(now, host, &crash);
        let is_same =
            |own: &OwnCrash| own.upstream == upstream && now.since(own.at) <= SAME_CRASH_MS;
        let index = self.crashes.iter().rposition(is_same);
        let index = index.unwrap_or_else(|| {
            if self.crashes.len() >= MAX_CRASHES {
                self.crashes.pop_front();
            }
            self.crashes.push_back(OwnCrash {
                at: now,
                is_reported: false,
                suspects: BTreeMap::new(),
                upstream,
            });
            self.crashes.len() - 1
        });
        let own = &mut self.crashes[index];
        if add_suspects(&mut own.suspects, &suspects, &self.successes) {
            own.is_reported = false;
        }
    }

    /// Records a whole answer to a request with these parts. Returns the parts whose quarantine it
    /// ends.
    pub fn record_success(
        &mut self,
        now: Instant,
        parts: impl IntoIterator<Item = impl Into<String>>,
    ) -> Vec<Change> {
        let mut changes = Vec::new();
        for part in repeatable_ids(parts) {
            let success = Success { part, age_ms: 0 };
            changes.extend(self.quarantine.record_success(now, &success));
            if !is_request(&success.part) || self.is_suspected(&success.part) {
                self.successes.insert(success.part, now);
            }
        }
        if self.successes.len() > MAX_SUCCESSES {
            let mut times: Vec<Instant> = self.successes.values().copied().collect();
            let middle = times.len() / 2;
            let (_, median, _) = times.select_nth_unstable(middle);
            let median = *median;
            self.successes.retain(|_, at| *at > median);
        }
        changes
    }

    /// Returns whether crashes that this host or another one saw speak against a part. Whole
    /// answers to other requests are not remembered, since most requests never come again and would
    /// crowd out the parts.
    fn is_suspected(&self, part: &str) -> bool {
        let mut crashes = self.crashes.iter();
        self.suspected.contains(part) || crashes.any(|crash| crash.suspects.contains_key(part))
    }

    /// Returns whether nothing is known of any part, as long as no engine crashes.
    pub fn is_empty(&self) -> bool {
        self.quarantine.is_empty()
    }

    /// Returns the part of a request that is quarantined longest, and for how many more
    /// milliseconds, if one is.
    pub fn quarantined(
        &mut self,
        now: Instant,
        parts: impl IntoIterator<Item = impl Into<String>>,
    ) -> Option<(String, u64)> {
        if self.quarantine.is_empty() {
            return None;
        }
        let left = repeatable_ids(parts).filter_map(|part| {
            let left_ms = self.quarantine.left_ms(now, &part, self.extra_percent)?;
            Some((part, left_ms))
        });
        left.max_by_key(|(_, left_ms)| *left_ms)
    }

    /// Judges by this host's own evidence, if no leader has answered lately.
    pub fn judge_alone(&mut self, now: Instant) -> Vec<Change> {
        match now.since(self.answered_at) > ALONE_AFTER_MS {
            false => Vec::new(),
            true => self.quarantine.judge(now),
        }
    }

    /// Takes the evidence that was not reported yet.
    pub fn take_evidence(&mut self, now: Instant) -> Evidence {
        self.crashes
            .retain(|crash| now.since(crash.at) < CRASH_MEMORY_MS);
        let mut crashes = Vec::new();
        let mut suspects = 0;
        for crash in self.crashes.iter_mut().filter(|crash| !crash.is_reported) {
            if suspects >= MAX_REPORTED_SUSPECTS {
                break;
            }
            suspects += crash.suspects.len();
            crash.is_reported = true;
            crashes.push(crash.report(now));
        }
        let mut successes = Vec::new();
        for part in &self.suspected {
            let Some(at) = self.successes.get(part) else {
                continue;
            };
            let reported = self.reported.get(part);
            if reported.is_some_and(|reported| at.since(*reported) < SUCCESS_INTERVAL_MS) {
                continue;
            }
            self.reported.insert(part.clone(), *at);
            successes.push(Success {
                part: part.clone(),
                age_ms: now.since(*at),
            });
        }
        let hands_over = std::mem::take(&mut self.hands_over);
        Evidence {
            crashes,
            position: self.position,
            sentences: match hands_over {
                false => Vec::new(),
                true => self.quarantine.sentences(now),
            },
            successes,
        }
    }

    /// Reports all evidence again, because the last report was not answered or a new leader may
    /// lack earlier ones.
    pub fn requeue_evidence(&mut self) {
        self.hands_over = true;
        self.reported.clear();
        for crash in &mut self.crashes {
            crash.is_reported = false;
        }
    }

    /// Records an answer of the leader, with the verdict if this host lacked it.
    pub fn adopt(&mut self, now: Instant, verdict: Option<Verdict>) {
        self.answered_at = now;
        let Some(verdict) = verdict else {
            return;
        };
        match verdict.position.term == self.position.term {
            false => {
                self.quarantine.merge(now, &verdict.sentences);
                self.requeue_evidence();
            }
            true => self.quarantine.replace(now, &verdict.sentences),
        }
        self.position = verdict.position;
        self.suspected = verdict.suspected.into_iter().collect();
        let quarantined = self.quarantine.sentences(now);
        let quarantined = quarantined.into_iter().map(|sentence| sentence.part);
        self.suspected.extend(quarantined);
        self.reported
            .retain(|part, _| self.suspected.contains(part));
    }
}

impl OwnCrash {
    fn report(&self, now: Instant) -> Crash {
        let suspect = |(part, depth): (&String, &u32)| Suspect {
            part: part.clone(),
            depth: *depth,
        };
        Crash {
            upstream: self.upstream.clone(),
            suspects: self.suspects.iter().map(suspect).collect(),
            age_ms: now.since(self.at),
        }
    }
}

/// Returns the IDs of what other requests may share: the parts without the last one, and the whole
/// request if the last one is its ID.
fn repeatable_ids(
    parts: impl IntoIterator<Item = impl Into<String>>,
) -> impl Iterator<Item = String> {
    let mut parts: Vec<String> = parts.into_iter().map(Into::into).collect();
    let request = parts.pop().filter(|last| is_request(last));
    parts.truncate(MAX_PARTS);
    parts.into_iter().chain(request).map(|mut part| {
        let end = part.floor_char_boundary(MAX_ID_BYTES.min(part.len()));
        part.truncate(end);
        part
    })
}
