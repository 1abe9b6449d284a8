//! The figures of a run, as the deployments measure them.

use crate::run::Record;
use crate::run::Run;
use crate::work;
use crate::work::BLOCK_TOKENS;
use crate::work::Request;
use crate::work::Scene;
use coordination::admission;
use state::rank::Rank;

/// Gives the time to the first token that urgent work should keep, in microseconds.
pub const URGENT_TARGET_US: u64 = 330_000;

const FLOOD_US: std::ops::Range<u64> = 32_000_000..60_000_000;
const PERCENT: f64 = 100.0;
const STEADY_US: std::ops::Range<u64> = 20_000_000..58_000_000;

/// Holds the figures of one rank.
#[derive(Clone, Debug, Default)]
pub struct Ranked {
    /// Gives the requests served in time, a second.
    pub goodput: f64,
    /// Gives the same as a percentage of those asked for.
    pub goodput_percent: f64,
    /// Gives the times to the first token that 50, 95 and 99 in 100 kept, in milliseconds.
    pub first_ms: [f64; 3],
}

/// Holds the figures of one run.
#[derive(Clone, Debug, Default)]
pub struct Figures {
    /// Gives the share of work that background got, in percent.
    pub background_percent: f64,
    /// Gives the prompt tokens that the engine held, in percent.
    pub hit_percent: f64,
    /// Gives the prompt tokens that the engine held or imported, in percent.
    pub kept_percent: f64,
    /// Gives the same in percent of what an oracle that knows every cache would find.
    pub oracle_percent: f64,
    /// Holds the figures by rank.
    pub ranks: [Ranked; 2],
    /// Holds the figures of small callers, by rank.
    pub small: [Ranked; 2],
    /// Gives the computed prompt tokens that a live cache held, in percent of all computed.
    pub wasted_percent: f64,
    /// Gives the least and the greatest share of requests served in time of any workspace.
    pub workspaces_percent: [f64; 2],
}

impl Figures {
    /// Takes the figures of `run`; in a flood, of the time of the flood only.
    pub fn of(run: &Run, scene: Scene) -> Self {
        let counted = |request: &Request| match scene {
            Scene::Alone | Scene::Steady => STEADY_US.contains(&request.at),
            Scene::BackgroundFlood | Scene::UrgentFlood => FLOOD_US.contains(&request.at),
        };
        let all: Vec<(&Request, &Record)> = run
            .requests
            .iter()
            .zip(&run.records)
            .filter(|(request, _)| counted(request))
            .collect();
        let ranks = [Rank::Background, Rank::Urgent];
        let of = |wanted: &dyn Fn(&Request) -> bool| {
            let some: Vec<_> = all.iter().copied().filter(|(r, _)| wanted(r)).collect();
            ranked(&some)
        };
        let mut figures = Self {
            ranks: ranks.map(|rank| of(&|r| r.rank == rank)),
            small: ranks.map(|rank| of(&|r| r.rank == rank && r.small)),
            workspaces_percent: [PERCENT, 0.0],
            ..Self::default()
        };
        for workspace in 0..8 {
            let share = of(&|r| r.workspace == workspace).goodput_percent;
            let [least, most] = figures.workspaces_percent;
            figures.workspaces_percent = [least.min(share), most.max(share)];
        }
        figures.prefixes(&all);
        figures.shares(&all);
        figures
    }

    fn prefixes(&mut self, all: &[(&Request, &Record)]) {
        let block = u64::from(BLOCK_TOKENS);
        let [
            mut prompt,
            mut hit,
            mut kept,
            mut best,
            mut computed,
            mut wasted,
        ] = [0; 6];
        for (request, record) in all.iter().filter(|(_, record)| record.first.is_some()) {
            let whole = request.blocks.len() as u64 * block;
            let here = u64::from(record.origin.resident) * block;
            let all_kept = here + u64::from(record.origin.imported) * block;
            let oracle = u64::from(record.oracle) * block;
            prompt += whole;
            hit += here;
            kept += all_kept.min(oracle);
            best += oracle;
            computed += whole - all_kept.min(whole) + u64::from(request.tail);
            wasted += oracle.saturating_sub(all_kept);
        }
        self.hit_percent = percent(hit, prompt);
        self.kept_percent = percent(kept, prompt);
        self.oracle_percent = percent(kept, best);
        self.wasted_percent = percent(wasted, computed);
    }

    fn shares(&mut self, all: &[(&Request, &Record)]) {
        let mut work = [0; 2];
        for (request, record) in all.iter().filter(|(_, record)| record.whole) {
            let kept = record.origin.resident + record.origin.imported;
            let missing = (request.blocks.len() as u32).saturating_sub(kept);
            let tokens = u64::from(missing * BLOCK_TOKENS + request.tail);
            work[request.rank.index()] += admission::expected_work(tokens, request.output);
        }
        self.background_percent = percent(work[0], work[0] + work[1]);
    }
}

fn percent(part: u64, whole: u64) -> f64 {
    part as f64 * PERCENT / whole.max(1) as f64
}

fn ranked(requests: &[(&Request, &Record)]) -> Ranked {
    let taken = |(request, record): &(&Request, &Record)| Some(record.first? - request.at);
    let mut times: Vec<u64> = requests.iter().filter_map(taken).collect();
    times.sort_unstable();
    let at = |share: f64| {
        let index = (times.len() as f64 * share) as usize;
        let time = times.get(index.min(times.len().saturating_sub(1)));
        time.map_or(f64::NAN, |time| *time as f64 / 1_000.0)
    };
    let good = |(request, record): &&(&Request, &Record)| {
        let late =
            |first: u64| request.rank == Rank::Urgent && first - request.at > URGENT_TARGET_US;
        record.whole && record.first.is_some_and(|first| !late(first))
    };
    let good = requests.iter().filter(good).count();
    let first = requests.first().map_or(0, |(request, _)| request.at);
    let last = requests.last().map_or(0, |(request, _)| request.at);
    let seconds = (last - first).max(1) as f64 / work::SECOND_US as f64;
    Ranked {
        first_ms: [at(0.5), at(0.95), at(0.99)],
        goodput: good as f64 / seconds,
        goodput_percent: percent(good as u64, requests.len() as u64),
    }
}
