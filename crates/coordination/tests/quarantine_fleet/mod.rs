//! A fleet whose hosts exchange evidence on parts of prompts with their leading host.

#![allow(dead_code, reason = "each test file uses a part of it")]

use coordination::part_evidence::EvidenceCollector;
use coordination::part_evidence::PartMonitor;
use coordination::part_quarantine::Change;
use state::time::Instant;

/// Hosts of a test fleet, with the leading host that they report to.
pub struct Fleet {
    pub hosts: Vec<PartMonitor>,
    pub leader: EvidenceCollector,
    pub now: Instant,
    pub term: u64,
}

impl Fleet {
    pub fn new(hosts: u64) -> Self {
        Self {
            hosts: (0..hosts).map(|_| PartMonitor::new(0)).collect(),
            leader: EvidenceCollector::default(),
            now: Instant(10_000),
            term: 1,
        }
    }

    /// Lets every host poll the leader, ten times a second.
    pub fn run(&mut self, millis: u64) -> Vec<Change> {
        let mut changes = Vec::new();
        for _ in 0..millis / 100 {
            self.now = self.now + 100;
            for (index, host) in self.hosts.iter_mut().enumerate() {
                let evidence = host.take_evidence(self.now);
                let name = format!("h{index}");
                let (verdict, new) = self.leader.exchange(self.now, self.term, name, &evidence);
                changes.extend(new);
                host.adopt(self.now, verdict);
            }
        }
        changes
    }

    pub fn crash(&mut self, host: usize, upstream: &str, parts: &[&str]) {
        let parts = parts.iter().copied();
        self.hosts[host].record_crash(self.now, format!("h{host}"), upstream, parts);
    }

    pub fn quarantined(&mut self, parts: &[&str]) -> Vec<bool> {
        let now = self.now;
        let is_quarantined =
            |host: &mut PartMonitor| host.quarantined(now, parts.iter().copied()).is_some();
        self.hosts.iter_mut().map(is_quarantined).collect()
    }
}
