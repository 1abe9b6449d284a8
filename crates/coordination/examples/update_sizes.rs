//! Measures the encoded size of routing updates, by field, in a fleet where prompts, loads and
//! weights change all the time: `cargo run --release -p coordination --example update_sizes`.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::Serialize;

use coordination::fleet_log::FleetLog;
use coordination::prefix_index::CacheLocation;
use coordination::prefix_index::CachedPrefix;
use coordination::prefix_index::PrefixKey;
use coordination::prefix_log;
use coordination::prefix_log::Position;
use coordination::prefix_log::PrefixLog;
use coordination::upstream::Edition;
use coordination::upstream::Standing;
use coordination::upstream::Upstream;
use coordination::upstream_load::LoadAggregator;
use coordination::upstream_load::UpstreamLoad;
use coordination::upstream_load::UpstreamLoads;
use state::time::Instant;

const HOSTS: usize = 250;
const UPSTREAMS: usize = 300;
/// Time between two polls of a host, in milliseconds.
const POLL_MS: u64 = 250;
const ROUNDS: u64 = 40;
/// Long prompts in the whole fleet, in the time of one poll.
const PROMPTS_PER_ROUND: usize = 100;
/// Upstreams that begin or end to load weights in the time of one poll.
const RELOADS_PER_ROUND: usize = 15;
/// Upstreams at which a host has requests in flight.
const BUSY_UPSTREAMS: usize = 20;
const PREFIXES: u64 = 2_000;

fn main() {
    let mut fleet_log = FleetLog::default();
    let mut aggregator = LoadAggregator::default();
    let mut prefix_log = PrefixLog::default();
    let (mut edition, mut position) = (Edition::default(), Position::default());
    let mut sizes: BTreeMap<&str, usize> = BTreeMap::new();
    for round in 0..ROUNDS {
        let now = Instant(round * POLL_MS);
        if let Some(newer) = fleet_log.publish(1, upstreams(round), BTreeMap::new()) {
            fleet_log = newer;
        }
        let fleet = fleet_log.fleet().clone();
        for host in 1..HOSTS {
            let (name, loads) = (name(host), loads(host, round));
            let _ = aggregator.exchange(now, &name, round + 1, loads, &fleet);
            let _ = prefix_log.exchange(1, &name, cached_prefixes(host, round), position);
        }
        let (loads, _) = aggregator.exchange(now, name(0), round + 1, loads(0, round), &fleet);
        let (cached_prefixes, newest) = prefix_log.exchange(1, name(0), Vec::new(), position);
        let update = fleet_log.update_after(edition);
        let (first, rest) = ("whole fleet, once", "differences of the fleet");
        let fields = [
            (if round == 0 { first } else { rest }, size(&update)),
            (
                "cached prefixes",
                size(&prefix_log::announce(&fleet, cached_prefixes)),
            ),
            ("loads", size(&loads)),
        ];
        for (field, size) in fields {
            *sizes.entry(field).or_default() += size;
        }
        (edition, position) = (fleet.edition, newest);
    }
    println!("{HOSTS} hosts, {UPSTREAMS} upstreams, a poll each {POLL_MS} ms");
    for (field, size) in sizes {
        let per_s = size as u64 * 1_000 / (ROUNDS * POLL_MS);
        println!("{field}: {size} bytes in all, {per_s} a second and host");
    }
}

fn size(message: &impl Serialize) -> usize {
    postcard::to_stdvec(message).map_or(0, |bytes| bytes.len())
}

fn name(host: usize) -> String {
    format!("10.1.{}.{}", host / 250, host % 250)
}

fn id(upstream: usize) -> String {
    format!("i-{:08x}", upstream as u64 * 0x0123_4567 % 0xffff_fffb)
}

/// Returns the upstreams; in each round others load the next weights.
fn upstreams(round: u64) -> Vec<Upstream> {
    let upstream = |number: usize| {
        let turn = (round as usize * RELOADS_PER_ROUND + number) / UPSTREAMS;
        let is_loading = (round as usize * RELOADS_PER_ROUND + number) % UPSTREAMS;
        Upstream {
            address: SocketAddr::from(([10, 128, (number / 250) as u8, number as u8], 8_080)),
            domain: format!("domain-{}", number % 3),
            id: id(number),
            service: "service-1".to_owned(),
            slots: 32,
            standing: match is_loading < RELOADS_PER_ROUND {
                false => Standing::Ready,
                true => Standing::Loading,
            },
            started: 1_780_000_000_000,
            weights: BTreeMap::from([("model-0001".to_owned(), turn as u64 + 1)]),
        }
    };
    (0..UPSTREAMS).map(upstream).collect()
}

fn loads(host: usize, round: u64) -> UpstreamLoads {
    let load = |index: usize| {
        let upstream = (host * 37 + round as usize * 11 + index * 13) % UPSTREAMS;
        let is_long = (host + index).is_multiple_of(8);
        let load = UpstreamLoad {
            long_prompt_tokens: if is_long { 17_020 } else { 0 },
            last_byte_age_ms: Some((host as u64 * 7 + index as u64 * 31) % 400),
            running: 1,
            pending_prefill_tokens: if is_long { 3_720 } else { 291 },
        };
        (id(upstream), load)
    };
    (0..BUSY_UPSTREAMS).map(load).collect()
}

/// Returns the prefixes that a host has seen cached since its last poll.
fn cached_prefixes(host: usize, round: u64) -> Vec<CachedPrefix> {
    let announced = (0..PROMPTS_PER_ROUND).filter(|prompt| prompt % (HOSTS - 1) + 1 == host);
    let entry = |prompt: usize| {
        let number = round * PROMPTS_PER_ROUND as u64 + prompt as u64;
        CachedPrefix {
            location: CacheLocation::Engine(id(prompt * 3 % UPSTREAMS)),
            prefix: PrefixKey::new(format!("{:08x}@+0123456789abcdef", number % PREFIXES), 7),
        }
    };
    announced.map(entry).collect()
}
