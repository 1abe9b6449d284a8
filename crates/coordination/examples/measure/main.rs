//! Measures the broker against three baselines in virtual time, for the sizes of both deployments.
//!
//! `cargo run --release -p coordination --example measure [SEED [POLICY]]`

mod broker_cost;
mod cache;
mod engine;
mod metrics;
mod router;
mod simulation;
mod workload;

use strum::IntoEnumIterator;

use crate::metrics::Metrics;
use crate::router::Policy;
use crate::simulation::Simulation;
use crate::workload::BLOCK_TOKENS;
use crate::workload::Deployment;
use crate::workload::Scenario;
use state::rank::Rank;

const DEFAULT_SEED: u64 = 1;

const DEPLOYMENTS: [Deployment; 2] = [
    Deployment {
        background_capacity: 30.0,
        cache_blocks: 150,
        engines: 9,
        fan_out: [2, 6, 8],
        level_blocks: [8, 3, 1],
        name: "Sabaha",
        output_tokens: [600, 30],
        store_blocks: 3_000,
        tail_tokens: [1_500, 150],
        trade: 70,
        urgent_capacity: 450.0,
    },
    Deployment {
        background_capacity: 45.0,
        cache_blocks: 100,
        engines: 18,
        fan_out: [2, 10, 12],
        level_blocks: [4, 1, 1],
        name: "Laurentides",
        output_tokens: [800, 40],
        store_blocks: 3_000,
        tail_tokens: [3_000, 100],
        trade: 20,
        urgent_capacity: 900.0,
    },
];

fn main() {
    let seed = std::env::args().nth(1).and_then(|text| text.parse().ok());
    let seed = seed.unwrap_or(DEFAULT_SEED);
    let policy_filter = std::env::args().nth(2);
    broker_cost::measure_directory();
    broker_cost::measure_placements(&DEPLOYMENTS[0]);
    println!("\nSeed {seed}, blocks of {BLOCK_TOKENS} tokens.");
    for deployment in &DEPLOYMENTS {
        let idle_p95_ms = idle_p95_ms(deployment, seed);
        for scenario in [
            Scenario::Steady,
            Scenario::BackgroundFlood,
            Scenario::UrgentFlood,
        ] {
            println!("\n### {}: {scenario:?}\n", deployment.name);
            print_header();
            let wanted = |p: &Policy| policy_filter.as_ref().is_none_or(|o| *o == p.to_string());
            for policy in Policy::iter().filter(wanted) {
                let run = Simulation::new(policy, deployment, scenario, seed);
                print_row(policy, &Metrics::of(&run, scenario), idle_p95_ms);
            }
        }
    }
}

/// Returns the 95th percentile of the time to first token of small urgent callers on an otherwise
/// idle fleet, in milliseconds.
fn idle_p95_ms(deployment: &Deployment, seed: u64) -> f64 {
    let run = Simulation::new(Policy::Broker, deployment, Scenario::Alone, seed);
    let metrics = Metrics::of(&run, Scenario::Alone);
    metrics.small[Rank::Urgent.index()].first_token_ms[1]
}

/// Prints the header of a table.
fn print_header() {
    println!(
        "| policy | hit % | with import % | of oracle % | wasted % | urgent p50 | p95 | p99 ms \
         | in time /s | % | background p50 | p95 s | whole /s | % | work % | small urgent p95 ms \
         | to alone | small in time % | workspaces % |"
    );
    println!("|---|{}", "--:|".repeat(18));
}

/// Prints a row of the table: the metrics of one policy.
fn print_row(policy: Policy, metrics: &Metrics, idle_p95_ms: f64) {
    let [background, urgent] = &metrics.ranks;
    let small = &metrics.small[Rank::Urgent.index()];
    let [least, most] = metrics.workspaces_percent;
    println!(
        "| {policy} | {:.1} | {:.1} | {:.1} | {:.1} | {:.0} | {:.0} | {:.0} | {:.1} | {:.1} \
         | {:.2} | {:.2} | {:.1} | {:.1} | {:.1} | {:.0} | {:.2} | {:.1} | {least:.0}-{most:.0} |",
        metrics.hit_percent,
        metrics.reused_percent,
        metrics.oracle_percent,
        metrics.wasted_percent,
        urgent.first_token_ms[0],
        urgent.first_token_ms[1],
        urgent.first_token_ms[2],
        urgent.goodput,
        urgent.goodput_percent,
        background.first_token_ms[0] / 1_000.0,
        background.first_token_ms[1] / 1_000.0,
        background.goodput,
        background.goodput_percent,
        metrics.background_percent,
        small.first_token_ms[1],
        small.first_token_ms[1] / idle_p95_ms,
        small.goodput_percent,
    );
}
