//! Division of a scarce allotment among the kinds of work that a workspace asks for.

use std::collections::BTreeMap;

use crate::allotment::kind::Kind;
use crate::allotment::message::Share;

/// Part of the budget that each kind keeps whatever the others ask for, in percent; with more than
/// five kinds, all have the same part.
const FLOOR_PERCENT: u64 = 20;
/// Bounds of the time after which a refused caller may come back, in milliseconds.
const RETRY_AFTER_MS: (u64, u64) = (500, 8_000);
const MILLIS_PER_SECOND: u64 = 1_000;
const WHOLE: u64 = 1_000;

/// Divides `budget` among kinds by their demands, both in units a second: each kind gets its floor,
/// and the rest goes to the kinds in their order. No kind gets more than it asks for.
pub fn divide(budget: u64, demands: &BTreeMap<Kind, u64>) -> BTreeMap<Kind, u64> {
    let kinds = demands.len().max(1) as u64;
    let floor = (budget * FLOOR_PERCENT / 100).min(budget / kinds);
    let floors = demands.iter().map(|(kind, d)| (*kind, floor.min(*d)));
    let mut parts: BTreeMap<Kind, u64> = floors.collect();
    let mut left = budget - parts.values().sum::<u64>();
    let mut order: Vec<Kind> = demands.keys().copied().collect();
    order.sort_by_key(|kind| kind.order());
    for kind in order {
        let part = parts.entry(kind).or_default();
        let more = left.min(demands[&kind] - *part);
        *part += more;
        left -= more;
    }
    parts
}

/// Returns the share of each kind of which not all requests are taken.
pub fn shares(budget: u64, demands: &BTreeMap<Kind, u64>) -> BTreeMap<Kind, Share> {
    let parts = divide(budget, demands);
    let short = demands.iter().filter(|(kind, d)| parts[kind] < **d);
    short
        .map(|(kind, demand)| (*kind, share(parts[kind], *demand)))
        .collect()
}

/// Returns the share of a kind that gets `part` of its demand. Those who are refused within a
/// second come back over the time that serving them takes.
fn share(part: u64, demand: u64) -> Share {
    let backlog_ms = (demand - part) * MILLIS_PER_SECOND / part.max(1);
    let (least, most) = RETRY_AFTER_MS;
    Share {
        per_mille: (part * WHOLE / demand.max(1)) as u16,
        retry_after_ms: backlog_ms.clamp(least, most) as u32,
    }
}
