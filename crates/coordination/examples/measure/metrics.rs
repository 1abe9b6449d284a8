//! Metrics of a simulation, as the deployments define them.

use crate::simulation::Record;
use crate::simulation::Simulation;
use crate::workload;
use crate::workload::BLOCK_TOKENS;
use crate::workload::Request;
use crate::workload::Scenario;
use coordination::admission;
use state::rank::Rank;

/// Target for the time to first token of urgent requests, in microseconds.
pub const URGENT_TARGET_US: u64 = 330_000;

/// Time of the flood that is counted.
const FLOOD_US: std::ops::Range<u64> = 32_000_000..60_000_000;
const PERCENT: f64 = 100.0;
/// Time that is counted without a flood.
const STEADY_US: std::ops::Range<u64> = 20_000_000..58_000_000;

/// Metrics of the requests of one rank.
#[derive(Clone, Debug, Default)]
pub struct RankMetrics {
    /// Requests served in time, per second.
    pub goodput: f64,
    /// Requests served in time, in percent of all requests.
    pub goodput_percent: f64,
    /// Time to first token in milliseconds: 50th, 95th and 99th percentile.
    pub first_token_ms: [f64; 3],
}

/// Metrics of one simulation.
#[derive(Clone, Debug, Default)]
pub struct Metrics {
    /// Share of background requests in the work done, in percent.
    pub background_percent: f64,
    /// Prompt tokens that the engine had cached, in percent of all.
    pub hit_percent: f64,
    /// Prompt tokens that the engine had cached or imported, in percent of all.
    pub reused_percent: f64,
    /// Prompt tokens that the engine had cached or imported, in percent of what an oracle that
    /// knows every cache would find.
    pub oracle_percent: f64,
    /// Metrics by rank.
    pub ranks: [RankMetrics; 2],
    /// Metrics of small callers, by rank.
    pub small: [RankMetrics; 2],
    /// Prompt tokens that were computed although a live cache had them, in percent of all computed.
    pub wasted_percent: f64,
    /// Least and greatest share of requests served in time of any workspace, in percent.
    pub workspaces_percent: [f64; 2],
}

impl Metrics {
    /// Computes the metrics of `run`; in a flood, from the requests sent during the flood only.
    pub fn of(run: &Simulation, scenario: Scenario) -> Self {
        let counted = |r: &Request| match scenario {
            Scenario::Alone | Scenario::Steady => STEADY_US.contains(&r.sent_us),
            Scenario::BackgroundFlood | Scenario::UrgentFlood => FLOOD_US.contains(&r.sent_us),
        };
        let all: Vec<(&Request, &Record)> = run
            .requests
            .iter()
            .zip(&run.records)
            .filter(|(request, _)| counted(request))
            .collect();
        let ranks = [Rank::Background, Rank::Urgent];
        let of = |wanted: &dyn Fn(&Request) -> bool| {
            let selected: Vec<_> = all.iter().copied().filter(|(r, _)| wanted(r)).collect();
            rank_metrics(&selected)
        };
        let mut metrics = Self {
            ranks: ranks.map(|rank| of(&|r| r.rank == rank)),
            small: ranks.map(|rank| of(&|r| r.rank == rank && r.small)),
            workspaces_percent: [PERCENT, 0.0],
            ..Self::default()
        };
        for workspace in 0..8 {
            let share = of(&|r| r.workspace == workspace).goodput_percent;
            let [least, most] = metrics.workspaces_percent;
            metrics.workspaces_percent = [least.min(share), most.max(share)];
        }
        metrics.add_prefix_metrics(&all);
        metrics.add_work_share(&all);
        metrics
    }

    /// Computes the metrics of the prefix cache from requests that got a first token.
    fn add_prefix_metrics(&mut self, all: &[(&Request, &Record)]) {
        let block = u64::from(BLOCK_TOKENS);
        let [
            mut prompt,
            mut hits,
            mut reused,
            mut best,
            mut computed,
            mut wasted,
        ] = [0; 6];
        for (request, record) in all
            .iter()
            .filter(|(_, record)| record.first_token_us.is_some())
        {
            let whole = request.blocks.len() as u64 * block;
            let cached = u64::from(record.origins.resident) * block;
            let all_reused = cached + u64::from(record.origins.imported) * block;
            let oracle = u64::from(record.best_prefix_blocks) * block;
            prompt += whole;
            hits += cached;
            reused += all_reused.min(oracle);
            best += oracle;
            computed += whole - all_reused.min(whole) + u64::from(request.tail_tokens);
            wasted += oracle.saturating_sub(all_reused);
        }
        self.hit_percent = percent(hits, prompt);
        self.reused_percent = percent(reused, prompt);
        self.oracle_percent = percent(reused, best);
        self.wasted_percent = percent(wasted, computed);
    }

    /// Computes the share of background requests in the work of completed requests.
    fn add_work_share(&mut self, all: &[(&Request, &Record)]) {
        let mut work = [0; 2];
        for (request, record) in all.iter().filter(|(_, record)| record.complete) {
            let reused = record.origins.resident + record.origins.imported;
            let missing = (request.blocks.len() as u32).saturating_sub(reused);
            let tokens = u64::from(missing * BLOCK_TOKENS + request.tail_tokens);
            work[request.rank.index()] += admission::expected_work(tokens, request.output_tokens);
        }
        self.background_percent = percent(work[0], work[0] + work[1]);
    }
}

fn percent(part: u64, whole: u64) -> f64 {
    part as f64 * PERCENT / whole.max(1) as f64
}

/// Returns the metrics of some requests, which are in the order in which they were sent.
fn rank_metrics(requests: &[(&Request, &Record)]) -> RankMetrics {
    let time_to_first_token =
        |(request, record): &(&Request, &Record)| Some(record.first_token_us? - request.sent_us);
    let mut times: Vec<u64> = requests.iter().filter_map(time_to_first_token).collect();
    times.sort_unstable();
    let percentile = |share: f64| {
        let index = (times.len() as f64 * share) as usize;
        let time = times.get(index.min(times.len().saturating_sub(1)));
        time.map_or(f64::NAN, |time| *time as f64 / 1_000.0)
    };
    let served_in_time = |(request, record): &&(&Request, &Record)| {
        let late =
            |first: u64| request.rank == Rank::Urgent && first - request.sent_us > URGENT_TARGET_US;
        record.complete && record.first_token_us.is_some_and(|first| !late(first))
    };
    let served_in_time = requests.iter().filter(served_in_time).count();
    let first = requests.first().map_or(0, |(request, _)| request.sent_us);
    let last = requests.last().map_or(0, |(request, _)| request.sent_us);
    let seconds = (last - first).max(1) as f64 / workload::SECOND_US as f64;
    RankMetrics {
        first_token_ms: [percentile(0.5), percentile(0.95), percentile(0.99)],
        goodput: served_in_time as f64 / seconds,
        goodput_percent: percent(served_in_time as u64, requests.len() as u64),
    }
}
