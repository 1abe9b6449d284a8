//! Measures the broker against three baselines in virtual time, for the sizes of both deployments.
//!
//! `cargo run --release -p coordination --example measure [SEED [POLICY]]`

mod cache;
mod engine;
mod figures;
mod router;
mod run;
mod size;
mod work;

use strum::IntoEnumIterator;

use crate::figures::Figures;
use crate::router::Policy;
use crate::run::Run;
use crate::work::BLOCK_TOKENS;
use crate::work::Deployment;
use crate::work::Scene;
use state::rank::Rank;

const DEFAULT_SEED: u64 = 1;

const DEPLOYMENTS: [Deployment; 2] = [
    Deployment {
        background_capacity: 30.0,
        cache_blocks: 150,
        engines: 9,
        fan: [2, 6, 8],
        levels: [8, 3, 1],
        name: "Sabaha",
        output: [600, 30],
        store_blocks: 3_000,
        tail: [1_500, 150],
        trade: 70,
        urgent_capacity: 450.0,
    },
    Deployment {
        background_capacity: 45.0,
        cache_blocks: 100,
        engines: 18,
        fan: [2, 10, 12],
        levels: [4, 1, 1],
        name: "Laurentides",
        output: [800, 40],
        store_blocks: 3_000,
        tail: [3_000, 100],
        trade: 20,
        urgent_capacity: 900.0,
    },
];

fn main() {
    let seed = std::env::args().nth(1).and_then(|text| text.parse().ok());
    let seed = seed.unwrap_or(DEFAULT_SEED);
    let only = std::env::args().nth(2);
    size::directory();
    size::decisions(&DEPLOYMENTS[0]);
    println!("\nSeed {seed}, blocks of {BLOCK_TOKENS} tokens.");
    for deployment in &DEPLOYMENTS {
        let alone = alone(deployment, seed);
        for scene in [Scene::Steady, Scene::BackgroundFlood, Scene::UrgentFlood] {
            println!("\n### {}: {scene:?}\n", deployment.name);
            head();
            let wanted = |policy: &Policy| only.as_ref().is_none_or(|o| *o == policy.to_string());
            for policy in Policy::iter().filter(wanted) {
                let run = Run::new(policy, deployment, scene, seed);
                row(policy, &Figures::of(&run, scene), alone);
            }
        }
    }
}

/// Returns what 95 in 100 requests of small urgent callers take on an otherwise idle fleet.
fn alone(deployment: &Deployment, seed: u64) -> f64 {
    let run = Run::new(Policy::Broker, deployment, Scene::Alone, seed);
    let figures = Figures::of(&run, Scene::Alone);
    figures.small[Rank::Urgent.index()].first_ms[1]
}

fn head() {
    println!(
        "| policy | hit % | with import % | of oracle % | wasted % | urgent p50 | p95 | p99 ms \
         | in time /s | % | background p50 | p95 s | whole /s | % | work % | small urgent p95 ms \
         | to alone | small in time % | workspaces % |"
    );
    println!("|---|{}", "--:|".repeat(18));
}

fn row(policy: Policy, figures: &Figures, alone: f64) {
    let [background, urgent] = &figures.ranks;
    let small = &figures.small[Rank::Urgent.index()];
    let [least, most] = figures.workspaces_percent;
    println!(
        "| {policy} | {:.1} | {:.1} | {:.1} | {:.1} | {:.0} | {:.0} | {:.0} | {:.1} | {:.1} \
         | {:.2} | {:.2} | {:.1} | {:.1} | {:.1} | {:.0} | {:.2} | {:.1} | {least:.0}-{most:.0} |",
        figures.hit_percent,
        figures.kept_percent,
        figures.oracle_percent,
        figures.wasted_percent,
        urgent.first_ms[0],
        urgent.first_ms[1],
        urgent.first_ms[2],
        urgent.goodput,
        urgent.goodput_percent,
        background.first_ms[0] / 1_000.0,
        background.first_ms[1] / 1_000.0,
        background.goodput,
        background.goodput_percent,
        figures.background_percent,
        small.first_ms[1],
        small.first_ms[1] / alone,
        small.goodput_percent,
    );
}
