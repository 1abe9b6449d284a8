//! The routing policies that are compared: the broker and three baselines.

use std::collections::BTreeMap;
use std::sync::Arc;

use strum::Display;
use strum::EnumIter;

use crate::workload;
use crate::workload::Deployment;
use crate::workload::Request;
use coordination::broker::Broker;
use coordination::broker::Effect;
use coordination::broker::Event;
use coordination::placement_request::PlacementId;
use coordination::placement_request::PlacementRequest;
use state::column::Column;
use state::edit::Action;
use state::edit::Edit;
use state::ident::BlockHash;
use state::row;
use state::sheet::Sheet;
use state::table::Table;
use state::time::Instant;

/// Number of upper levels of a prompt that the sticky hash covers.
const STICKY_HASH_LEVELS: usize = 2;
const WORKSPACES: usize = 8;

/// A routing policy.
#[derive(Clone, Copy, Debug, Display, EnumIter, Eq, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Policy {
    /// The broker of this crate.
    Broker,
    /// The engine with the fewest requests in flight.
    LeastLoad,
    /// Each engine in turn.
    RoundRobin,
    /// The engine with the highest hash of itself and the upper levels of the prompt (rendezvous
    /// hashing).
    StickyHash,
}

/// Chooses engines for requests.
pub struct Router {
    /// The broker; idle under the baselines.
    pub broker: Broker,
    /// Number of requests in flight at each engine.
    pub in_flight: Vec<u32>,
    /// Whether each engine is believed to be up.
    pub usable: Vec<bool>,
    next: usize,
    policy: Policy,
    sticky_blocks: usize,
}

impl Router {
    /// Returns a router for a deployment.
    pub fn new(policy: Policy, deployment: &Deployment) -> Self {
        let mut broker = Broker::default();
        let table = Arc::new(table(deployment));
        broker.step(Instant(0), Event::Table { owned: None, table });
        Self {
            broker,
            in_flight: vec![0; deployment.engines],
            next: 0,
            policy,
            sticky_blocks: deployment.level_blocks[..STICKY_HASH_LEVELS].iter().sum(),
            usable: vec![true; deployment.engines],
        }
    }

    /// Chooses an engine under a baseline; returns `None` under the broker, which answers with a
    /// grant later.
    pub fn choose(&mut self, request: &Request) -> Option<usize> {
        let usable: Vec<usize> = (0..self.usable.len()).filter(|e| self.usable[*e]).collect();
        self.next += 1;
        match self.policy {
            Policy::Broker => None,
            Policy::LeastLoad => usable.into_iter().min_by_key(|e| (self.in_flight[*e], *e)),
            Policy::RoundRobin => usable.get(self.next % usable.len().max(1)).copied(),
            Policy::StickyHash => {
                let root = request.blocks[..self.sticky_blocks].last()?;
                usable
                    .into_iter()
                    .max_by_key(|engine| engine_score(*root, *engine))
            }
        }
    }

    /// Passes an event to the broker; does nothing under a baseline. `now` is in microseconds.
    pub fn step(&mut self, now: u64, event: Event) -> Vec<Effect> {
        match self.policy {
            Policy::Broker => self.broker.step(Instant(now / 1_000), event),
            _ => Vec::new(),
        }
    }
}

/// Returns the placement request for a request.
pub fn placement_request(
    request: &Request,
    placement_id: PlacementId,
    deadline_ms: u64,
    excluded: Vec<String>,
) -> PlacementRequest {
    let tokens_in_blocks = request.blocks.len() as u32 * workload::BLOCK_TOKENS;
    PlacementRequest {
        block_tokens: workload::BLOCK_TOKENS,
        blocks: request.blocks.to_vec(),
        caller: format!("c{}", request.caller),
        deadline_ms,
        domain: "d0".to_owned(),
        excluded,
        kind: request.rank.to_string(),
        model: "m".to_owned(),
        output_tokens: request.output_tokens,
        prompt_tokens: tokens_in_blocks + request.tail_tokens,
        rank: request.rank,
        placement_id,
        version: None,
        workspace: workload::workspace_name(request.workspace),
    }
}

/// Returns the name of an engine, which is its index after one letter.
pub fn engine_name(index: usize) -> String {
    format!("e{index:02}")
}

/// Returns the weight of an engine in rendezvous hashing.
fn engine_score(block: BlockHash, engine: usize) -> u128 {
    block.child(&engine.to_le_bytes()).0
}

/// Returns the table of a deployment: its engines, a KV store, workspaces and kinds of requests.
fn table(deployment: &Deployment) -> Table {
    let mut table = Table::default();
    for index in 0..deployment.engines {
        let domain = format!("d{}", index % 3);
        let cells = [
            (Column::Address, "192.0.2.1:1"),
            (Column::Domain, domain.as_str()),
            (Column::Model, "m"),
            (Column::Type, "engine"),
        ];
        add(&mut table, Sheet::Upstreams, engine_name(index), &cells);
    }
    let cells = [(Column::Address, "192.0.2.1:2"), (Column::Type, "kv_store")];
    add(&mut table, Sheet::Upstreams, "store".to_owned(), &cells);
    let trade = deployment.trade.to_string();
    let hash = "0".repeat(64);
    for index in 0..WORKSPACES {
        let cells = [(Column::KeyHash, hash.as_str()), (Column::Trade, &trade)];
        add(
            &mut table,
            Sheet::Workspaces,
            workload::workspace_name(index),
            &cells,
        );
    }
    for (name, floor) in [("background", "20"), ("urgent", "0")] {
        let cells = [(Column::Rank, name), (Column::Floor, floor)];
        add(&mut table, Sheet::Kinds, name.to_owned(), &cells);
    }
    table
}

/// Adds a row to the table.
fn add(table: &mut Table, sheet: Sheet, row: String, cells: &[(Column, &str)]) {
    let cells = cells.iter().map(|(c, text)| (*c, (*text).to_owned()));
    let edit = Edit {
        action: Action::Add(cells.collect::<BTreeMap<_, _>>()),
        author: "measure".to_owned(),
        if_revision: 0,
        key: String::new(),
        name: row::Name { row, sheet },
    };
    table.apply(&edit).expect("the table is valid");
}
