//! Tests of patient prompts in bursts. The pattern they answer: for some seconds far more long
//! prompts than engines can begin, whose answers are of use to their callers also when they are
//! late, but not without end.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use coordination::queue::line::Line;
use coordination::queue::line::Urgency;
use coordination::queue::pace::Engines;
use coordination::queue::patience::Patience;
use coordination::queue::returning::Returns;
use coordination::queue::ticket::Ticket;
use state::time::Instant;

const ENGINES: usize = 12;
const PATIENCE: Patience = Patience {
    goal_ms: 1_200,
    is_patient: true,
};
/// Time from the end of a prefill to the first byte, in milliseconds.
const FIRST_BYTE_MS: u64 = 40;
/// Part of the engines' time for prompts in the order in which their callers leave, in percent.
const DUE_PERCENT: u64 = 50;
const TICK_MS: u64 = 20;
const END_MS: u64 = 20_000;

#[derive(Clone, Copy, Debug)]
struct Prompt {
    at: u64,
    id: u64,
    work_ms: u64,
    workspace: u64,
}

impl Prompt {
    fn ticket(&self, is_returning: bool) -> Ticket {
        let arrived = Instant(self.at);
        Ticket {
            arrived,
            is_patient: true,
            is_repeat: false,
            is_returning,
            goal_ms: PATIENCE.goal_ms,
            late_at: arrived + PATIENCE.goal_ms.saturating_sub(self.work_ms),
            rank: 0,
            until: arrived + PATIENCE.wait_left_ms(0),
            work_ms: self.work_ms,
            workspace: Some(format!("w{}", self.workspace)),
        }
    }
}

/// Random numbers that repeat for a seed.
fn random(state: &mut u64) -> u64 {
    *state = state
        .wrapping_mul(6_364_136_223_846_793_005)
        .wrapping_add(1_442_695_040_888_963_407);
    *state >> 33
}

/// Returns the prompts of a load in percent of what the engines can begin, which lasts until the
/// given moment, and another one after it. A prompt has 100 to 500 ms of work, one
/// of forty more than it can be on time with.
fn prompts(seed: u64, loads: &[(u64, u64)]) -> Vec<Prompt> {
    let mut state = seed;
    let mut prompts = Vec::new();
    let mut due_ms = 0;
    for at in (0..END_MS).step_by(TICK_MS as usize) {
        let load = loads.iter().find(|(until, _)| at < *until);
        due_ms += load.map_or(0, |(_, load)| load * ENGINES as u64 * TICK_MS / 100);
        while due_ms >= 500 {
            let work_ms = match random(&mut state) % 40 {
                0 => 1_300,
                _ => 100 + random(&mut state) % 401,
            };
            due_ms -= due_ms.min(work_ms);
            prompts.push(Prompt {
                at,
                id: prompts.len() as u64,
                work_ms,
                workspace: random(&mut state) % 4,
            });
        }
    }
    prompts
}

/// What became of the prompts of a burst, by their ids.
#[derive(Debug, Default)]
struct Outcome {
    expired: BTreeSet<u64>,
    in_time: BTreeSet<u64>,
    rejected: BTreeMap<u64, u64>,
    /// Those rejected that would have begun in time behind those that came before them.
    rejected_in_vain: usize,
    rejected_again: BTreeSet<u64>,
    returned: BTreeSet<u64>,
    served: BTreeSet<u64>,
}

/// Returns whether engines could begin a prompt before its caller leaves, after those of `ahead`,
/// in the time that is not kept for newer prompts.
fn could_begin(now: u64, free_at: &[u64], ahead: &[&Prompt], prompt: &Prompt) -> bool {
    let mut free_at = free_at.to_vec();
    let leaves = |prompt: &Prompt| prompt.at + PATIENCE.wait_left_ms(0);
    let mut taken_at = now;
    for prompt in ahead.iter().copied().chain([prompt]) {
        let engine = free_at.iter_mut().min().unwrap();
        // The others take the rest of the engines' time.
        let work_ms = prompt.work_ms * 100 / DUE_PERCENT;
        let ready_at = now.max(*engine) + work_ms;
        let room_ms = PATIENCE.first_byte_left_ms(0, prompt.work_ms, Urgency::Due);
        taken_at = now.max((ready_at + FIRST_BYTE_MS).saturating_sub(room_ms));
        *engine = ready_at;
    }
    taken_at <= leaves(prompt)
}

fn engines(now: u64, free_at: &[u64]) -> Engines {
    Engines {
        backlog_ms: free_at.iter().map(|at| at.saturating_sub(now)).sum(),
        count: free_at.len(),
    }
}

/// Plays prompts. Their callers come back once if `comes_back`.
fn play(prompts: &[Prompt], comes_back: bool) -> Outcome {
    let mut outcome = Outcome::default();
    let mut arrivals: BTreeMap<(u64, u64), Prompt> =
        prompts.iter().map(|p| ((p.at, p.id), *p)).collect();
    let mut free_at = [0_u64; ENGINES];
    let mut line: Line<Prompt> = Line::default();
    let mut returns = Returns::default();
    let mut waiting: BTreeMap<(bool, u64, u64), Prompt> = BTreeMap::new();
    let key = |p: &Prompt, returned: &BTreeSet<u64>| (!returned.contains(&p.id), p.at, p.id);
    for tick in (0..END_MS).step_by(TICK_MS as usize) {
        let now = Instant(tick);
        let later = arrivals.split_off(&(tick + 1, 0));
        for prompt in std::mem::replace(&mut arrivals, later).into_values() {
            waiting.insert(key(&prompt, &outcome.returned), prompt);
            let ticket = prompt.ticket(returns.is_returning(now, prompt.id));
            line.push(ticket.clone(), ticket.until, prompt).unwrap();
        }
        let load = engines(tick, &free_at);
        let served = line.serve(now, load, 4, |prompt, urgency| {
            let left_ms = PATIENCE.first_byte_left_ms(tick - prompt.at, prompt.work_ms, urgency);
            let engine = free_at.iter_mut().min().unwrap();
            let ready_at = tick.max(*engine) + prompt.work_ms;
            let has_room = ready_at + FIRST_BYTE_MS <= tick + left_ms;
            has_room.then(|| {
                *engine = ready_at;
                ready_at + FIRST_BYTE_MS
            })
        });
        for (prompt, begins_at) in served {
            waiting.remove(&key(&prompt, &outcome.returned));
            outcome.served.insert(prompt.id);
            if begins_at <= prompt.at + PATIENCE.goal_ms {
                outcome.in_time.insert(prompt.id);
            }
        }
        for prompt in line.expire(now) {
            waiting.remove(&key(&prompt, &outcome.returned));
            outcome.expired.insert(prompt.id);
        }
        for prompt in line.reject(now, engines(tick, &free_at)) {
            let key = key(&prompt, &outcome.returned);
            let ahead: Vec<&Prompt> = waiting.range(..key).map(|(_, ahead)| ahead).collect();
            let in_vain = could_begin(tick, &free_at, &ahead, &prompt);
            outcome.rejected_in_vain += usize::from(in_vain);
            waiting.remove(&key);
            let after_ms = returns.refuse(now, prompt.id, prompt.work_ms, ENGINES);
            let waited_ms = tick - prompt.at;
            if outcome.rejected.insert(prompt.id, waited_ms).is_some() {
                outcome.rejected_again.insert(prompt.id);
            } else if comes_back {
                outcome.returned.insert(prompt.id);
                let at = tick + after_ms;
                arrivals.insert((at, prompt.id), Prompt { at, ..prompt });
            }
        }
    }
    outcome
}

/// Seeds and loads: a flash crowd, a long burst, and one that hardly ends.
fn bursts() -> Vec<Vec<Prompt>> {
    let mut bursts = Vec::new();
    for seed in 0..4 {
        bursts.push(prompts(seed, &[(2_000, 60), (5_000, 250), (18_000, 60)]));
        bursts.push(prompts(seed, &[(8_000, 180), (18_000, 50)]));
        bursts.push(prompts(seed, &[(4_000, 300), (18_000, 80)]));
    }
    bursts
}

fn percent(part: usize, whole: usize) -> usize {
    part * 100 / whole.max(1)
}

#[test]
fn what_is_admitted_begins_before_its_caller_leaves() {
    for burst in bursts() {
        let outcome = play(&burst, false);
        let (missed, served) = (outcome.expired.len(), outcome.served.len());
        assert!(
            missed * 20 <= missed + served,
            "{missed} of {served} missed"
        );
    }
}

#[test]
fn few_of_those_rejected_could_have_been_served() {
    let (mut in_vain, mut rejected) = (0, 0);
    for burst in bursts() {
        let outcome = play(&burst, false);
        in_vain += outcome.rejected_in_vain;
        rejected += outcome.rejected.len();
    }
    assert!(rejected >= 500, "{rejected}");
    assert!(in_vain * 20 <= rejected, "{in_vain} of {rejected}");
}

#[test]
fn callers_who_come_back_as_told_are_served() {
    for burst in bursts() {
        let outcome = play(&burst, true);
        let (again, returned) = (outcome.rejected_again.len(), outcome.returned.len());
        assert!(again * 10 <= returned, "{again} of {returned}");
    }
}

/// The prompts of a burst must not make those late that come once the last of its callers has left.
#[test]
fn prompts_after_a_burst_are_on_time_again() {
    for seed in 0..4 {
        let burst = prompts(seed, &[(2_000, 60), (5_000, 250), (18_000, 60)]);
        let outcome = play(&burst, false);
        let after: Vec<&Prompt> = burst.iter().filter(|p| p.at >= 9_000).collect();
        let in_time = after.iter().filter(|p| outcome.in_time.contains(&p.id));
        let in_time = percent(in_time.count(), after.len());
        assert!(in_time >= 90, "{in_time} percent");
    }
}

/// One workspace asks nine times as much as three others together could begin.
#[test]
fn a_hot_workspace_does_not_cost_the_others() {
    let mut burst = prompts(7, &[(2_000, 60), (7_000, 300), (18_000, 60)]);
    for prompt in &mut burst {
        prompt.workspace = match prompt.id % 10 {
            0 => 1 + prompt.id / 10 % 3,
            _ => 0,
        };
    }
    let outcome = play(&burst, false);
    let is_quiet = |prompt: &&Prompt| prompt.workspace > 0;
    let quiet: Vec<&Prompt> = burst.iter().filter(is_quiet).collect();
    let in_time = quiet.iter().filter(|p| outcome.in_time.contains(&p.id));
    let in_time = percent(in_time.count(), quiet.len());
    assert!(in_time >= 95, "{in_time} percent");
}
