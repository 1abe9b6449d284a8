//! Assignment: the leading host chooses the engine of each long prompt, for all hosts.
//!
//! Hosts learn of each other's work a tenth of a second late, in which time several of them send
//! long prompts to the engine that looks idle to all. The leading host knows at once what it has
//! assigned. It counts a prompt that it assigned until the host's own report covers it. A host that
//! gets no answer chooses by itself.

use serde::Deserialize;
use serde::Serialize;

use crate::choice::Choice;
use crate::choice::Refusal;
use crate::demand::Demand;
use crate::dispatch::Dispatcher;
use crate::dispatch::InFlight;
use crate::prefix_index::CachedPrefix;
use crate::upstream::Edition;
use crate::upstream::Fleet;
use crate::upstream_load::UpstreamLoads;
use state::time::Instant;

/// Gives how long an assigned prompt counts that no report has covered, in milliseconds; hosts
/// report several times a second, and one that is gone never does.
const UNCOVERED_MS: u64 = 1_000;
/// Gives how old the sum of the hosts' reports may be, in milliseconds; each host reports ten times
/// a second.
const SUM_AGE_MS: u64 = 20;

/// Asks for the engine of a long prompt.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Request {
    /// Lists the engines that take no work from the asking host for now.
    pub unusable: Vec<String>,
    /// Describes what the request needs.
    pub demand: Demand,
}

#[derive(Debug)]
struct Open {
    at: Instant,
    grant: u64,
    run: InFlight,
}

/// Assigns engines while its host leads.
#[derive(Debug)]
pub struct Assigner {
    dispatch: Dispatcher,
    edition: Edition,
    grants: u64,
    open: Vec<Open>,
    summed: Option<Instant>,
}

impl Assigner {
    /// Returns a desk that has assigned nothing; `seed` fixes the jitter and the number from which
    /// assignments count, which must differ from that of other hosts.
    pub fn new(seed: u64) -> Self {
        Self {
            dispatch: Dispatcher::new(seed),
            edition: Edition::default(),
            grants: seed >> 1,
            open: Vec::new(),
            summed: None,
        }
    }

    /// Returns the engine of a long prompt; `loads` sums what all hosts have reported.
    ///
    /// # Errors
    ///
    /// Returns why no engine takes it.
    pub fn assign(
        &mut self,
        now: Instant,
        fleet: &Fleet,
        loads: &UpstreamLoads,
        ask: Request,
    ) -> Result<Choice, Refusal> {
        if self.edition != fleet.edition {
            self.edition = fleet.edition;
            self.dispatch.sync(fleet);
        }
        if self.summed.is_none_or(|at| now.since(at) > SUM_AGE_MS) {
            self.dispatch.set_other_loads(now, loads.clone());
            self.summed = Some(now);
        }
        self.close(|open| now.since(open.at) > UNCOVERED_MS);
        let mut demand = ask.demand;
        demand.tried.extend(ask.unusable);
        let mut choice = self.dispatch.choose(now, fleet, &demand)?;
        self.grants += 1;
        choice.assignment_id = Some(self.grants);
        let run = self.dispatch.record_sent(now, &choice, &demand);
        self.open.push(Open {
            at: now,
            grant: self.grants,
            run,
        });
        Ok(choice)
    }

    /// Notes that a host's report covers assignments, and where the host has seen shared prompts.
    pub fn record_report(&mut self, now: Instant, reported: &[u64], told: &[CachedPrefix]) {
        if !told.is_empty() {
            self.dispatch.record_remote_prefixes(now, told.to_vec());
        }
        if !reported.is_empty() {
            self.close(|open| reported.contains(&open.grant));
            self.summed = None;
        }
    }

    fn close(&mut self, is_over: impl Fn(&Open) -> bool) {
        for open in self.open.extract_if(.., |open| is_over(open)) {
            self.dispatch.record_end(&open.run);
        }
    }
}
