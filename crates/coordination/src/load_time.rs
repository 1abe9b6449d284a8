//! Learns how long engines take to load weights, so that an engine is read when its load is due
//! and returns to service as soon as it has ended.
//!
//! Classes of engines differ by a factor of ten. A load that is read too late keeps its engine off
//! work and its turn from the next one; one that is read too early costs another read.

use std::collections::BTreeMap;
use std::collections::VecDeque;

/// Time until the first read while no load of the service has ended yet, in milliseconds: about as
/// long as the fastest engines take.
const PRIOR_MS: u64 = 250;
/// Least and greatest time until the first read, in milliseconds, whatever engines report.
const FIRST_READ_RANGE_MS: (u64, u64) = (100, 20_000);
/// Number of loads that are remembered for a service.
const LOADS_LIMIT: usize = 16;
/// Time between two reads of an engine that loads, as a divisor of the time since its order: an
/// engine stays off work for a small part of its load at most, and long loads cost few reads.
const READ_INTERVAL_DIVISOR: u64 = 8;
/// Least time between two reads, in milliseconds; reports lag about as long.
const MIN_READ_INTERVAL_MS: u64 = 150;
/// Share of the expected time after which an engine is read first, in percent. A load is seen no
/// sooner than it is read, so the expectation would never shorten without it.
const FIRST_READ_PERCENT: u64 = 90;

/// Returns the time until an engine that still loads is read again, in milliseconds; its order was
/// sent `elapsed_ms` ago.
pub fn next_read_ms(elapsed_ms: u64) -> u64 {
    (elapsed_ms / READ_INTERVAL_DIVISOR).max(MIN_READ_INTERVAL_MS)
}

/// The times of the last loads, and of the waits before them, by service.
#[derive(Clone, Debug, Default)]
pub struct LoadTimes {
    /// Times from an order until the load was seen to have ended, in milliseconds.
    loads: BTreeMap<String, VecDeque<u64>>,
    /// Times from the end of new work until an engine was ready for its order, in milliseconds.
    waits: BTreeMap<String, VecDeque<u64>>,
}

/// Adds a time to those of a service, and drops the oldest one.
fn push(times: &mut BTreeMap<String, VecDeque<u64>>, service: String, ms: u64) {
    let times = times.entry(service).or_default();
    times.push_back(ms);
    if times.len() > LOADS_LIMIT {
        times.pop_front();
    }
}

/// Returns the value below which `quarters` quarters of the times lie.
fn quantile(times: Option<&VecDeque<u64>>, quarters: usize) -> Option<u64> {
    let mut sorted: Vec<u64> = times?.iter().copied().collect();
    sorted.sort_unstable();
    sorted.get(sorted.len() * quarters / 4).copied()
}

impl LoadTimes {
    /// Records that a load was seen to have ended `took_ms` after its order.
    pub fn record(&mut self, service: impl Into<String>, took_ms: u64) {
        push(&mut self.loads, service.into(), took_ms);
    }

    /// Records that an engine was ready for its order `waited_ms` after it was taken off new work.
    pub fn record_wait(&mut self, service: impl Into<String>, waited_ms: u64) {
        push(&mut self.waits, service.into(), waited_ms);
    }

    /// Returns how many engines should wait for their order while `loading` others load, so that a
    /// load begins when another one ends: as many as there are loads in the time of a wait, but not
    /// more than load.
    pub fn waiting_engines(&self, service: &str, loading: usize) -> usize {
        let wait_ms = quantile(self.waits.get(service), 2);
        let load_ms = quantile(self.loads.get(service), 2);
        let Some((wait_ms, load_ms)) = wait_ms.zip(load_ms) else {
            return loading;
        };
        let waiting = (loading as u64 * wait_ms).div_ceil(load_ms.max(1));
        (waiting as usize).clamp(1, loading.max(1))
    }

    /// Returns the time after an order until the engine should be read first, in milliseconds. The
    /// lower quartile of the last loads decides, so that neither a few slow engines nor one that
    /// claims to be done at once move it far.
    pub fn first_read_ms(&self, service: &str) -> u64 {
        let quartile = quantile(self.loads.get(service), 1);
        let expected_ms = quartile.map_or(PRIOR_MS, |ms| ms * FIRST_READ_PERCENT / 100);
        let (least, most) = FIRST_READ_RANGE_MS;
        expected_ms.clamp(least, most)
    }
}
