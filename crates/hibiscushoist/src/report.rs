//! The report of a load run.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::grid::Grid;
use crate::grid::or_dash;
use crate::mix;
use crate::tally::Group;
use crate::tally::Sum;
use crate::tally::Tally;
use state::rank::Rank;

/// Reports how a run's traffic was served.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Gives the time from the first request to the last answer, in seconds.
    pub elapsed_s: f64,
    /// Lists the groups by rank, then by workspace.
    pub groups: Vec<Line>,
    /// Names the mix.
    pub mix: mix::Name,
    /// Lists the sums by rank.
    pub ranks: Vec<Line>,
    /// Gives the seed.
    pub seed: u64,
    /// Counts the arrivals that were not sent because too many requests were in flight.
    pub skipped: u64,
    /// Sums up all groups.
    pub total: Line,
}

/// Reports one group of requests; times are in milliseconds.
#[derive(Clone, Debug, Serialize)]
pub struct Line {
    /// Counts the answers lost after their request was sent.
    pub broken: u64,
    /// Counts the answers that ended without their end mark.
    pub cut: u64,
    /// Counts the answers that came whole.
    pub done: u64,
    /// Describes the times to the first token.
    pub first_token_ms: Percentiles,
    /// Counts the whole answers whose first token met the target.
    pub good: u64,
    /// Gives the tokens of good answers a second.
    pub good_tokens_per_s: f64,
    /// Gives the share of prompt tokens that engines had cached, where the answers tell.
    pub hit_rate: Option<f64>,
    /// Names the rank; absent in sums over ranks.
    pub rank: Option<Rank>,
    /// Counts the refusals by reason.
    pub refused: BTreeMap<String, u64>,
    /// Counts the requests.
    pub sent: u64,
    /// Describes the times between tokens.
    pub token_gap_ms: Percentiles,
    /// Counts the tokens of all answers.
    pub tokens: u64,
    /// Counts the requests that no address took.
    pub unreachable: u64,
    /// Names the workspace; absent in sums over workspaces.
    pub workspace: Option<String>,
}

/// Describes a distribution of times, in milliseconds.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Percentiles {
    /// Counts the times.
    pub count: u64,
    /// Gives the longest time.
    pub max: f64,
    /// Gives the time that 50 in 100 do not exceed.
    pub p50: f64,
    /// Gives the time that 95 in 100 do not exceed.
    pub p95: f64,
    /// Gives the time that 99 in 100 do not exceed.
    pub p99: f64,
}

/// Describes a run apart from its requests.
#[derive(Clone, Copy, Debug)]
pub struct Run {
    /// Gives the time from the first request to the last answer, in seconds.
    pub elapsed_s: f64,
    /// Names the mix.
    pub mix: mix::Name,
    /// Gives the seed.
    pub seed: u64,
    /// Counts the arrivals that were not sent.
    pub skipped: u64,
}

impl Report {
    /// Reports `tally`, whose workspaces have `names`.
    pub fn new(run: Run, tally: &Tally, names: &[String]) -> Self {
        let line = |rank, workspace, sum: &Sum| Line::new(rank, workspace, sum, run.elapsed_s);
        let group = |(group, sum): (&Group, &Sum)| {
            let name = names[group.workspace].clone();
            line(Some(group.rank), Some(name), sum)
        };
        let rank = |rank| {
            let sum = tally.total(|group| group.rank == rank);
            line(Some(rank), None, &sum)
        };
        Self {
            elapsed_s: run.elapsed_s,
            groups: tally.groups.iter().map(group).collect(),
            mix: run.mix,
            ranks: [Rank::Background, Rank::Urgent].map(rank).into(),
            seed: run.seed,
            skipped: run.skipped,
            total: line(None, None, &tally.total(|_| true)),
        }
    }

    /// Returns the report as text for a terminal.
    pub fn text(&self) -> String {
        let lines = || self.groups.iter().chain(&self.ranks).chain([&self.total]);
        format!(
            "mix {}, seed {}, {:.1} s, {} arrivals skipped\n\n{}\n{}",
            self.mix,
            self.seed,
            self.elapsed_s,
            self.skipped,
            counts(lines()),
            times(lines()),
        )
    }
}

impl Line {
    fn new(rank: Option<Rank>, workspace: Option<String>, sum: &Sum, elapsed_s: f64) -> Self {
        let told = sum.prompt_tokens > 0;
        Self {
            broken: sum.broken,
            cut: sum.cut,
            done: sum.done,
            first_token_ms: Percentiles::of(&sum.first_us),
            good: sum.good,
            good_tokens_per_s: sum.good_tokens as f64 / elapsed_s,
            hit_rate: told.then(|| sum.cached_tokens as f64 / sum.prompt_tokens as f64),
            rank,
            refused: sum.refused.clone(),
            sent: sum.sent,
            token_gap_ms: Percentiles::of(&sum.gap_us),
            tokens: sum.tokens,
            unreachable: sum.unreachable,
            workspace,
        }
    }

    fn name(&self) -> [String; 2] {
        let all = || "all".to_owned();
        [
            self.workspace.clone().unwrap_or_else(all),
            self.rank.map_or_else(all, |rank| rank.to_string()),
        ]
    }

    fn refusals(&self) -> String {
        let pairs = self.refused.iter().map(|(r, n)| format!("{r}={n}"));
        let text = pairs.collect::<Vec<_>>().join(" ");
        or_dash((!text.is_empty()).then_some(text))
    }
}

impl Percentiles {
    fn of(micros: &Histogram<u64>) -> Self {
        let millis = |value: u64| value as f64 / 1000.0;
        Self {
            count: micros.len(),
            max: millis(micros.max()),
            p50: millis(micros.value_at_quantile(0.50)),
            p95: millis(micros.value_at_quantile(0.95)),
            p99: millis(micros.value_at_quantile(0.99)),
        }
    }
}

fn counts<'a>(lines: impl Iterator<Item = &'a Line>) -> String {
    let mut grid = Grid::new(&[
        "workspace",
        "rank",
        "sent",
        "done",
        "good",
        "cut",
        "broken",
        "unreachable",
        "refused",
    ]);
    for line in lines {
        let numbers = [
            line.sent,
            line.done,
            line.good,
            line.cut,
            line.broken,
            line.unreachable,
        ];
        let numbers = numbers.iter().map(u64::to_string);
        grid.push(
            line.name()
                .into_iter()
                .chain(numbers)
                .chain([line.refusals()]),
        );
    }
    grid.text()
}

fn times<'a>(lines: impl Iterator<Item = &'a Line>) -> String {
    let mut grid = Grid::new(&[
        "workspace",
        "rank",
        "first p50",
        "p95",
        "p99 ms",
        "gap p50",
        "p95",
        "p99 ms",
        "good tokens/s",
        "hit rate",
    ]);
    for line in lines {
        let (first, gap) = (line.first_token_ms, line.token_gap_ms);
        let millis = [first.p50, first.p95, first.p99, gap.p50, gap.p95, gap.p99];
        let millis = millis.iter().map(|millis| format!("{millis:.1}"));
        let hit = line.hit_rate.map(|rate| format!("{rate:.3}"));
        let rest = [format!("{:.0}", line.good_tokens_per_s), or_dash(hit)];
        grid.push(line.name().into_iter().chain(millis).chain(rest));
    }
    grid.text()
}
