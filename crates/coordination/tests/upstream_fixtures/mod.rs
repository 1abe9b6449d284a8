//! Fleets of engines and their loads, for the tests of routed services.

#![allow(dead_code)]

use std::collections::BTreeMap;
use std::net::SocketAddr;

use coordination::upstream::Edition;
use coordination::upstream::Fleet;
use coordination::upstream::ListedUpstream;
use coordination::upstream::Standing;
use coordination::upstream::Upstream;
use coordination::upstream_load::UpstreamLoad;

/// Returns an address that is derived from `id`.
pub fn address(id: &str) -> SocketAddr {
    let sum = id
        .bytes()
        .fold(0_u32, |sum, byte| (sum * 31 + u32::from(byte)) % 60_000);
    SocketAddr::from(([127, 0, 0, 1], 1_000 + sum as u16))
}

/// Returns an engine as an entry of the platform's list.
pub fn listed_upstream(id: &str, model: &str, version: u64) -> ListedUpstream {
    ListedUpstream {
        address: address(id),
        domain: "a".to_owned(),
        id: id.to_owned(),
        leaving: false,
        service: "engines".to_owned(),
        slots: 64,
        started: 1,
        weights: BTreeMap::from([(model.to_owned(), version)]),
    }
}

/// Returns a fleet of ready engines from their ids and weights versions.
pub fn fleet(engines: &[(&str, u64)]) -> Fleet {
    let upstream = |(id, version): &(&str, u64)| Upstream {
        address: address(id),
        domain: "a".to_owned(),
        id: (*id).to_owned(),
        service: "engines".to_owned(),
        slots: 64,
        standing: Standing::Ready,
        started: 1,
        weights: BTreeMap::from([("m".to_owned(), *version)]),
    };
    Fleet {
        edition: Edition { term: 1, number: 1 },
        min_weights: BTreeMap::new(),
        upstreams: engines.iter().map(upstream).collect(),
    }
}

/// Returns a fleet of `count` ready engines with the ids `e0`, `e1` and so on.
pub fn engines(count: usize) -> Fleet {
    let names: Vec<String> = (0..count).map(|engine| format!("e{engine}")).collect();
    let engines: Vec<(&str, u64)> = names.iter().map(|name| (name.as_str(), 1)).collect();
    fleet(&engines)
}

/// Returns the load of an engine with one request that has `tokens` tokens of pending prefill.
pub fn pending_prefill(tokens: u64) -> UpstreamLoad {
    UpstreamLoad {
        long_prompt_tokens: 0,
        last_byte_age_ms: None,
        running: 1,
        pending_prefill_tokens: tokens,
    }
}
