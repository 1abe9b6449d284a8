//! A broker with its table, which tests drive in virtual time.

#![allow(dead_code)]

use std::collections::BTreeMap;
use std::sync::Arc;

use coordination::admission::Reason;
use coordination::broker::Broker;
use coordination::broker::Effect;
use coordination::broker::Event;
use coordination::broker::Grant;
use coordination::engine_load::Standing;
use coordination::placement_request::PlacementId;
use coordination::placement_request::PlacementRequest;
use coordination::report::LoadReport;
use coordination::report::Progress;
use coordination::report::ProgressReport;
use state::cache_directory::Batch;
use state::cache_directory::Change;
use state::column::Column;
use state::edit::Action;
use state::edit::Edit;
use state::ident::BlockHash;
use state::ident::Incarnation;
use state::rank::Rank;
use state::row;
use state::sheet::Sheet;
use state::table::Table;
use state::time::Instant;

pub const PREFILL_RATE: u32 = 20_000;
pub const SLOTS: u32 = 8;

/// A broker, its table and a virtual clock.
pub struct BrokerHarness {
    pub broker: Broker,
    pub now: u64,
    table: Table,
}

impl BrokerHarness {
    pub fn new(upstreams: &[&str]) -> Self {
        let mut harness = Self {
            broker: Broker::default(),
            now: 1_000,
            table: Table::default(),
        };
        for name in upstreams {
            harness.add_engine(name);
        }
        harness
    }

    pub fn add_engine(&mut self, name: &str) {
        self.set_row(
            Sheet::Upstreams,
            name,
            &[
                (Column::Address, "127.0.0.1:1"),
                (Column::Domain, "d1"),
                (Column::Model, "m"),
                (Column::Type, "engine"),
            ],
        );
        self.report_load(name, 1);
    }

    pub fn set_row(&mut self, sheet: Sheet, name: &str, cells: &[(Column, &str)]) {
        let cells: BTreeMap<Column, String> = cells
            .iter()
            .map(|(c, text)| (*c, (*text).to_owned()))
            .collect();
        let row = self.table.get(sheet, name);
        let edit = Edit {
            action: match row {
                Some(_) => Action::Set(cells.into_iter().map(|(c, t)| (c, Some(t))).collect()),
                None => Action::Add(cells),
            },
            author: "tests".to_owned(),
            if_revision: row.map_or(0, |row| row.revision),
            key: String::new(),
            name: row::Name {
                row: name.to_owned(),
                sheet,
            },
        };
        self.table.apply(&edit).unwrap();
        let table = Arc::new(self.table.clone());
        self.step(Event::Table { owned: None, table });
    }

    pub fn set_workspace(&mut self, name: &str, cells: &[(Column, &str)]) {
        let hash = "0".repeat(64);
        let mut all = vec![(Column::KeyHash, hash.as_str())];
        all.extend(cells);
        self.set_row(Sheet::Workspaces, name, &all);
    }

    pub fn step(&mut self, event: Event) -> Vec<Effect> {
        self.broker.step(Instant(self.now), event)
    }

    pub fn report_load(&mut self, upstream: &str, incarnation: u64) -> Vec<Effect> {
        self.send_load_report(upstream, incarnation, "v1", 0)
    }

    pub fn report_version(&mut self, upstream: &str, incarnation: u64, version: &str) {
        self.send_load_report(upstream, incarnation, version, 0);
    }

    pub fn report_running(&mut self, upstream: &str, running: u32) -> Vec<Effect> {
        self.send_load_report(upstream, 1, "v1", running)
    }

    fn send_load_report(
        &mut self,
        upstream: &str,
        incarnation: u64,
        version: &str,
        running: u32,
    ) -> Vec<Effect> {
        self.step(Event::Load {
            report: LoadReport {
                age_ms: 0,
                queued_background_tokens: 0,
                incarnation: Incarnation(incarnation),
                prefill_rate: PREFILL_RATE,
                running,
                slots: SLOTS,
                queued_urgent_tokens: 0,
                version: version.to_owned(),
            },
            upstream: upstream.to_owned(),
        })
    }

    pub fn report_cached(
        &mut self,
        upstream: &str,
        incarnation: u64,
        sequence: u64,
        blocks: &[BlockHash],
    ) {
        self.step(Event::Cache {
            batch: Batch {
                changes: blocks.iter().map(|block| Change::Stored(*block)).collect(),
                incarnation: Incarnation(incarnation),
                sequence,
                version: "v1".to_owned(),
            },
            upstream: upstream.to_owned(),
        });
    }

    pub fn set_standing(&mut self, upstream: &str, standing: Standing) {
        self.step(Event::Standing {
            standing,
            upstream: upstream.to_owned(),
        });
    }

    pub fn submit(&mut self, request: PlacementRequest) -> Vec<Effect> {
        self.step(Event::Arrival(request))
    }

    pub fn report_progress(
        &mut self,
        placement_id: PlacementId,
        progress: Progress,
    ) -> Vec<Effect> {
        self.step(Event::Report(ProgressReport {
            progress,
            placement_id,
        }))
    }

    pub fn advance(&mut self, millis: u64) -> Vec<Effect> {
        self.now += millis;
        self.step(Event::Tick)
    }
}

pub fn prompt_blocks(workspace: &str, blocks: usize) -> Vec<BlockHash> {
    BlockHash::root(workspace, "m", "v1").chain(&vec![7; blocks], 1)
}

pub fn request(
    serial: u128,
    rank: Rank,
    workspace: &str,
    caller: &str,
    blocks: usize,
) -> PlacementRequest {
    PlacementRequest {
        block_tokens: 4_096,
        blocks: prompt_blocks(workspace, blocks),
        caller: caller.to_owned(),
        deadline_ms: 10_000,
        domain: "d1".to_owned(),
        kind: rank.to_string(),
        model: "m".to_owned(),
        output_tokens: 50,
        prompt_tokens: blocks as u32 * 4_096 + 100,
        rank,
        placement_id: PlacementId(serial),
        workspace: workspace.to_owned(),
        ..PlacementRequest::default()
    }
}

pub fn grants(effects: &[Effect]) -> Vec<Grant> {
    let grant = |effect: &Effect| match effect {
        Effect::Grant(grant) => Some((**grant).clone()),
        _ => None,
    };
    effects.iter().filter_map(grant).collect()
}

pub fn upstreams(effects: &[Effect]) -> Vec<String> {
    grants(effects)
        .into_iter()
        .map(|grant| grant.upstream)
        .collect()
}

pub fn refusals(effects: &[Effect]) -> Vec<Reason> {
    let reason = |effect: &Effect| match effect {
        Effect::Refuse(refusal) => Some(refusal.reason),
        _ => None,
    };
    effects.iter().filter_map(reason).collect()
}
