//! The queue of records that are still to be spread with the messages of the failure detector.

use std::collections::BTreeMap;

/// Maximum number of records in one message.
pub const MAX_UPDATES_PER_MESSAGE: usize = 12;

const SENDS_PER_DOUBLING: u32 = 3;

/// Number of times that each changed record was sent.
///
/// A record is dropped after a number of sends that is logarithmic in the size of the fleet; by
/// then every host has it with high probability.
#[derive(Clone, Debug, Default)]
pub struct DisseminationQueue {
    sends: BTreeMap<String, u32>,
}

impl DisseminationQueue {
    /// Queues the record of `host`, with no sends counted yet.
    pub fn add(&mut self, host: impl Into<String>) {
        self.sends.insert(host.into(), 0);
    }

    /// Returns whether no record is left to spread.
    pub fn is_empty(&self) -> bool {
        self.sends.is_empty()
    }

    /// Returns how many records are left to spread.
    pub fn len(&self) -> usize {
        self.sends.len()
    }

    /// Returns the hosts whose records go into the next message, the least sent first, and counts
    /// the send; `fleet_size` is the number of hosts in the fleet.
    pub fn take_next(&mut self, fleet_size: usize) -> Vec<String> {
        let mut least_sent: Vec<(u32, String)> = self
            .sends
            .iter()
            .map(|(host, sends)| (*sends, host.clone()))
            .collect();
        least_sent.sort();
        least_sent.truncate(MAX_UPDATES_PER_MESSAGE);
        let limit = SENDS_PER_DOUBLING * (usize::BITS - fleet_size.leading_zeros());
        for (sends, host) in &least_sent {
            match sends + 1 >= limit {
                false => self.sends.insert(host.clone(), sends + 1),
                true => self.sends.remove(host),
            };
        }
        least_sent.into_iter().map(|(_, host)| host).collect()
    }
}
