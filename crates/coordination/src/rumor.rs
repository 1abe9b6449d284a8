//! Which reports still travel with the messages.

use std::collections::BTreeMap;

/// Bounds the reports in one message.
pub const UPDATES_PER_MESSAGE: usize = 12;

const SENDS_PER_DOUBLING: u32 = 3;

/// Counts how often each report was sent, until each host has it with high probability.
#[derive(Clone, Debug, Default)]
pub struct Rumors {
    sends: BTreeMap<String, u32>,
}

impl Rumors {
    /// Starts to spread the report about `host` anew.
    pub fn add(&mut self, host: impl Into<String>) {
        self.sends.insert(host.into(), 0);
    }

    /// Returns whether nothing is left to spread.
    pub fn is_empty(&self) -> bool {
        self.sends.is_empty()
    }

    /// Returns how many reports are left to spread.
    pub fn len(&self) -> usize {
        self.sends.len()
    }

    /// Returns the hosts to report in one message to a fleet of `hosts`, the least sent first.
    pub fn next(&mut self, hosts: usize) -> Vec<String> {
        let mut least: Vec<(u32, String)> = self
            .sends
            .iter()
            .map(|(host, sends)| (*sends, host.clone()))
            .collect();
        least.sort();
        least.truncate(UPDATES_PER_MESSAGE);
        let limit = SENDS_PER_DOUBLING * (usize::BITS - hosts.leading_zeros());
        for (sends, host) in &least {
            match sends + 1 >= limit {
                false => self.sends.insert(host.clone(), sends + 1),
                true => self.sends.remove(host),
            };
        }
        least.into_iter().map(|(_, host)| host).collect()
    }
}
