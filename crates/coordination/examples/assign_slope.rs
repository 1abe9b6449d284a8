//! Measures the time of assigning an engine to a long prompt, by the size of the fleet.
//!
//! `cargo run --release -p coordination --example assign_slope`

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Instant;

use coordination::assignment::Assigner;
use coordination::assignment::Request;
use coordination::demand::Demand;
use coordination::prefix_index::CacheLocation;
use coordination::prefix_index::CachedPrefix;
use coordination::prefix_index::PrefixKey;
use coordination::upstream::Edition;
use coordination::upstream::Fleet;
use coordination::upstream::Standing;
use coordination::upstream::Upstream;
use coordination::upstream_load::UpstreamLoad;
use coordination::upstream_load::UpstreamLoads;
use state::time;

/// Fleet sizes: those of the grown sites, of a sweep and of the target.
const ENGINES: [usize; 4] = [68, 150, 300, 1_500];
const ASSIGNMENTS: u64 = 2_000;
/// Number of hosts that report in turn.
const HOSTS: u64 = 40;
const PROMPTS: u64 = 400;

fn main() {
    for engines in ENGINES {
        let fleet = fleet(engines);
        let mut assigner = Assigner::new(1);
        let loads = loads(engines);
        let mut reported_ids = Vec::new();
        let start = Instant::now();
        for number in 0..ASSIGNMENTS {
            let now = time::Instant(number * 10);
            if let Ok(choice) = assigner.assign(now, &fleet, &loads, request(number)) {
                reported_ids.extend(choice.assignment_id);
                let cached_prefix = cached_prefix(number, choice.upstream.id);
                if number % HOSTS == 0 {
                    assigner.record_report(
                        now,
                        &std::mem::take(&mut reported_ids),
                        &[cached_prefix],
                    );
                }
            }
        }
        let each = start.elapsed().as_secs_f64() * 1e6 / ASSIGNMENTS as f64;
        println!("{engines:5} engines: {each:8.1} us for each assignment");
    }
}

fn fleet(engines: usize) -> Fleet {
    let upstream = |engine: usize| Upstream {
        address: SocketAddr::from((Ipv4Addr::from(engine as u32), 8_000)),
        domain: format!("domain-{}", engine % 12),
        id: id(engine),
        service: "engines".to_owned(),
        slots: 32,
        standing: Standing::Ready,
        started: 1,
        weights: BTreeMap::from([("m".to_owned(), 7)]),
    };
    Fleet {
        edition: Edition { term: 1, number: 1 },
        min_weights: BTreeMap::new(),
        upstreams: (0..engines).map(upstream).collect(),
    }
}

fn id(engine: usize) -> String {
    format!("i-{engine:010x}")
}

fn loads(engines: usize) -> UpstreamLoads {
    let load = |engine: usize| UpstreamLoad {
        long_prompt_tokens: 17_000,
        last_byte_age_ms: None,
        running: 12,
        pending_prefill_tokens: (engine as u64 % 7) * 3_000,
    };
    (0..engines)
        .map(|engine| (id(engine), load(engine)))
        .collect()
}

fn request(number: u64) -> Request {
    let prefix_id = format!("part-{}", number % PROMPTS);
    Request {
        demand: Demand {
            domain: "domain-1".to_owned(),
            first_byte_left_ms: 1_000,
            left_ms: 12_000,
            memory_tokens: Some(160_000),
            model: Some("m".to_owned()),
            newest_weights: 7,
            prompt_tokens: 17_000,
            service: "engines".to_owned(),
            shared_prefix: Some((prefix_id, 13_300)),
            ..Demand::default()
        },
        ..Request::default()
    }
}

fn cached_prefix(number: u64, engine: String) -> CachedPrefix {
    CachedPrefix {
        location: CacheLocation::Engine(engine),
        prefix: PrefixKey::new(format!("part-{}", number % PROMPTS), 7),
    }
}
