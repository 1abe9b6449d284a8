//! Measures what the state and messages of a broker and of a voter cost at the target's size.
//!
//! Everything measured stays alive, so that later parts do not reuse its memory.
//!
//! `cargo run --release -p hibiscushoistd --example role_slopes`

use std::collections::BTreeMap;
use std::fs;
use std::sync::Arc;
use std::time::Instant;

use coordination::broker::Broker;
use coordination::broker::Event;
use coordination::broker::PlacementId;
use coordination::broker::PlacementRequest;
use coordination::broker::ProgressReport;
use coordination::report::LoadReport;
use coordination::report::Progress;
use coordination::state_machine::Answer;
use coordination::state_machine::Command;
use coordination::state_machine::StateMachine;
use protocol::engine;
use state::cache_directory::Batch;
use state::cache_directory::Change;
use state::column::Column;
use state::edit::Action;
use state::edit::Edit;
use state::ident::BlockHash;
use state::ident::Incarnation;
use state::ledger;
use state::ledger::Decision;
use state::ledger::Settlement;
use state::rank::Rank;
use state::row;
use state::sheet::Sheet;
use state::table::Table;
use state::time;

const ASKS: u64 = 20_000;
const BATCH: u64 = 64;
const BLOCKS: u64 = 100_000;
const DIGITS: &str = "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef";
const EDITS: u64 = 1_200;
const EVENTS: u64 = 10_000;
const MODELS: u64 = 4;
const ORDERS: u64 = 20_000;
const PROMPT_BLOCKS: u64 = 16;
const UPSTREAMS: u64 = 4;
const WORKERS: u64 = 1_500;
const WORKSPACES: u64 = 840;

fn main() {
    let kept = (table(), orders(), broker());
    feed();
    drop(kept);
}

fn broker() -> Broker {
    let mut broker = Broker::default();
    let table = Arc::new(filled(UPSTREAMS, 8, 1));
    let owned = None;
    broker.step(time::Instant(0), Event::Table { owned, table });
    for upstream in 0..UPSTREAMS {
        broker.step(time::Instant(1), load(upstream));
    }
    let before = resident_kib();
    let start = Instant::now();
    for first in (0..BLOCKS).step_by(BATCH as usize) {
        for upstream in 0..UPSTREAMS {
            broker.step(time::Instant(2), stored(upstream, first));
        }
    }
    let changes = BLOCKS * UPSTREAMS;
    let each = micros(start) / changes as f64;
    let known = broker.directory().len() as f64;
    println!("cached blocks known         {known:10.0}");
    println!("each cache change           {each:10.3} us");
    println!(
        "directory, own count        {:10.1} bytes a block",
        broker.directory().index_bytes() as f64 / known
    );
    let grown = (resident_kib() - before) * 1024.0 / known;
    println!("directory, resident         {grown:10.1} bytes a block");
    let start = Instant::now();
    let mut granted = 0;
    for number in 0..ASKS {
        let now = time::Instant(10 + number);
        granted += broker.step(now, Event::Arrival(ask(number))).len();
        for progress in [Progress::FirstToken, Progress::Finished] {
            let placement_id = PlacementId(u128::from(number));
            broker.step(
                now,
                Event::Report(ProgressReport {
                    progress,
                    placement_id,
                }),
            );
        }
    }
    println!(
        "each ask, grant and report  {:10.2} us",
        micros(start) / ASKS as f64
    );
    assert!(
        granted as u64 >= ASKS,
        "each ask must be granted: {granted}"
    );
    broker
}

fn feed() {
    let event = |seq| engine::Event {
        block: Some(block(0, seq)),
        change: engine::Change::Stored,
        parent: Some(block(0, seq + 1)),
        seq,
    };
    let events = engine::Events {
        events: (1..=EVENTS).map(event).collect(),
        incarnation: Incarnation(1),
        newest: EVENTS,
        version: "v1".to_owned(),
    };
    let bytes = serde_json::to_vec(&events).unwrap();
    let start = Instant::now();
    let read: engine::Events = serde_json::from_slice(&bytes).unwrap();
    let each = micros(start) / EVENTS as f64;
    assert_eq!(read.events.len() as u64, EVENTS);
    println!(
        "each cache event as JSON    {:10.1} bytes",
        bytes.len() as f64 / EVENTS as f64
    );
    println!("each event read from JSON   {each:10.3} us");
}

fn table() -> Table {
    let before = resident_kib();
    let table = filled(WORKERS, WORKSPACES, MODELS);
    let grown = resident_kib() - before;
    let rows = table.iter().count() as f64;
    let bytes = postcard::to_stdvec(&table).unwrap().len() as f64;
    println!("rows of the whole table     {rows:10.0}");
    println!("whole table in memory       {grown:10.0} KiB");
    println!("whole table as a message    {:10.1} KiB", bytes / 1024.0);
    let mut table = table;
    let start = Instant::now();
    let mut edit_bytes = 0;
    for number in 0..EDITS {
        let row = format!("u{}", number % WORKERS);
        let revision = table.get(Sheet::Upstreams, row.clone()).unwrap().revision;
        let weight = Some((number % 100).to_string());
        let cells = BTreeMap::from([(Column::Weight, weight)]);
        let edit = edit(Sheet::Upstreams, row, revision, Action::Set(cells));
        edit_bytes += postcard::to_stdvec(&edit).unwrap().len();
        let mut next = table.clone();
        next.apply(&edit).unwrap();
        table = next;
    }
    println!(
        "each edit on a copied table {:10.1} us",
        micros(start) / EDITS as f64
    );
    println!(
        "each edit as a message      {:10.1} bytes",
        edit_bytes as f64 / EDITS as f64
    );
    table
}

fn orders() -> StateMachine {
    let limits = ledger::Limits {
        answer_window_ms: u64::MAX / 4,
        max_answers: usize::MAX,
        max_bytes: usize::MAX,
        dedup_window_ms: u64::MAX / 4,
        max_records: usize::MAX,
        max_answer_bytes: 1 << 20,
    };
    let mut machine = StateMachine::new(limits);
    let before = resident_kib();
    let start = Instant::now();
    for number in 0..ORDERS {
        let key = ledger::CallKey {
            idempotency: format!("order-{number:08}"),
            workspace: format!("w{}", number % WORKSPACES),
        };
        let intent = ledger::Intent {
            digest: state::ident::Digest::of(&[&number.to_le_bytes()]),
            timeout_ms: 60_000,
            key: key.clone(),
            intent_id: u128::from(number),
        };
        let Answer::Begin(Decision::Run(attempt)) = machine.apply(number, &Command::Begin(intent))
        else {
            panic!("each order must be let run");
        };
        let outcome = ledger::Outcome::Done(ledger::Response {
            body: vec![b'x'; 256],
            content_type: "application/json".to_owned(),
            status: 200,
        });
        let report = ledger::Report {
            attempt,
            key,
            outcome,
        };
        let settled = machine.apply(number, &Command::Finish(report));
        assert_eq!(settled, Answer::Finish(Settlement::Recorded));
    }
    let each = micros(start) / ORDERS as f64;
    let kept = (resident_kib() - before) * 1024.0 / ORDERS as f64;
    println!("each order, both commands   {each:10.2} us");
    println!("each order kept, 256 B body {kept:10.0} bytes");
    machine
}

fn ask(number: u64) -> PlacementRequest {
    let owner = number % UPSTREAMS;
    let first = number % (BLOCKS - PROMPT_BLOCKS);
    PlacementRequest {
        block_tokens: 4096,
        blocks: (first..first + PROMPT_BLOCKS)
            .map(|n| block(owner, n))
            .collect(),
        deadline_ms: 30_000,
        model: "m0".to_owned(),
        output_tokens: 100,
        prompt_tokens: 4096 * PROMPT_BLOCKS as u32 + 100,
        rank: Rank::Urgent,
        placement_id: PlacementId(u128::from(number)),
        workspace: format!("w{}", number % 8),
        ..PlacementRequest::default()
    }
}

fn block(upstream: u64, number: u64) -> BlockHash {
    let name = (upstream << 40 | number).to_le_bytes();
    BlockHash::default().child(&name)
}

fn edit(sheet: Sheet, row: String, if_revision: u64, action: Action) -> Edit {
    Edit {
        action,
        author: "slopes".to_owned(),
        if_revision,
        key: format!("{row}-{if_revision}"),
        name: row::Name { row, sheet },
    }
}

fn filled(workers: u64, workspaces: u64, models: u64) -> Table {
    let mut table = Table::default();
    let mut add = |sheet, row, cells: &[(Column, &str)]| {
        let cells = cells.iter().map(|(c, text)| (*c, (*text).to_owned()));
        let edit = edit(sheet, row, 0, Action::Add(cells.collect()));
        table.apply(&edit).unwrap();
    };
    for model in 0..models {
        add(
            Sheet::Models,
            format!("m{model}"),
            &[(Column::Version, "v1")],
        );
    }
    for worker in 0..workers {
        let address = format!("192.0.2.{}:{}", worker % 250, 1024 + worker);
        let cells = [
            (Column::Address, address.as_str()),
            (Column::Domain, "d1"),
            (Column::Model, &format!("m{}", worker % models)),
            (Column::Type, "engine"),
        ];
        add(Sheet::Upstreams, format!("u{worker}"), &cells);
    }
    for workspace in 0..workspaces {
        let cells = [(Column::KeyHash, DIGITS), (Column::Weight, "100")];
        add(Sheet::Workspaces, format!("w{workspace}"), &cells);
    }
    table
}

fn load(upstream: u64) -> Event {
    Event::Load {
        report: LoadReport {
            age_ms: 0,
            queued_background_tokens: 0,
            incarnation: Incarnation(1),
            prefill_rate: 10_000_000,
            running: 0,
            slots: 64,
            queued_urgent_tokens: 0,
            version: "v1".to_owned(),
        },
        upstream: format!("u{upstream}"),
    }
}

fn stored(upstream: u64, first: u64) -> Event {
    let numbers = first..(first + BATCH).min(BLOCKS);
    Event::Cache {
        batch: Batch {
            changes: numbers
                .map(|n| Change::Stored(block(upstream, n)))
                .collect(),
            incarnation: Incarnation(1),
            sequence: first,
            version: "v1".to_owned(),
        },
        upstream: format!("u{upstream}"),
    }
}

fn micros(start: Instant) -> f64 {
    start.elapsed().as_secs_f64() * 1e6
}

fn resident_kib() -> f64 {
    let status = fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().next());
    number.and_then(|text| text.parse().ok()).unwrap()
}
