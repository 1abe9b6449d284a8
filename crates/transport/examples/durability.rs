//! Measures how long syncs and recovery take, and the size of durable state.
//!
//! Run with `cargo run --release -p transport --example durability [FOLDER]`; the folder must be on
//! the disk to measure and is removed afterwards.

use std::collections::BTreeMap;
use std::fs;
use std::path::Path;
use std::path::PathBuf;
use std::time::Instant;

use coordination::quorum::MemberId;
use coordination::raft_entry::Entry;
use coordination::raft_entry::Payload;
use coordination::raft_entry::Position;
use coordination::raft_entry::Record;
use coordination::state_machine::Command;
use coordination::state_machine::StateMachine;
use state::column::Column;
use state::edit::Action;
use state::edit::Edit;
use state::ident::Digest;
use state::ledger::Attempt;
use state::ledger::CallKey;
use state::ledger::Intent;
use state::ledger::Limits;
use state::ledger::Outcome;
use state::ledger::Report;
use state::ledger::Response;
use state::row::Name;
use state::sheet::Sheet;
use transport::disk::Folder;
use transport::raft_store::RaftStore;

const BATCH_SIZES: [u64; 4] = [1, 16, 128, 1_024];
const CALL_COUNT: u64 = 200_000;
const LOG_LENGTHS: [u64; 4] = [100, 1_000, 10_000, 100_000];
const ROW_COUNT: u64 = 2_340;
const WRITE_COUNT: u64 = 300;

fn main() {
    let folder = std::env::args().nth(1).map(PathBuf::from);
    let folder = folder.unwrap_or_else(|| std::env::temp_dir().join("durability"));
    measure_ledger();
    measure_table();
    measure_syncs(&folder);
    measure_recovery(&folder);
    fs::remove_dir_all(&folder).expect("the folder is removed");
}

/// Opens a store in a new folder, in place of an older one.
fn new_store(folder: &Path, name: &str) -> RaftStore<Folder> {
    let path = folder.join(name);
    let _ = fs::remove_dir_all(&path);
    let disk = Folder::open(path).expect("the folder opens");
    RaftStore::open(disk, MemberId(1))
        .expect("the folder is empty")
        .0
}

/// Measures the rate and latency of writes for each batch size.
fn measure_syncs(folder: &Path) {
    for batch in BATCH_SIZES {
        let mut store = new_store(folder, "syncs");
        let mut index = 0;
        let mut times = Vec::new();
        let start = Instant::now();
        for _ in 0..WRITE_COUNT {
            let entries = (0..batch).map(|offset| entry(index + offset + 1));
            let records = vec![Record::Entries(entries.collect())];
            let started = Instant::now();
            store.write(records).expect("the write succeeds");
            times.push(started.elapsed().as_micros());
            index += batch;
        }
        let rate = index as f64 / start.elapsed().as_secs_f64();
        times.sort_unstable();
        let (p50, p99) = (times[times.len() / 2], times[times.len() * 99 / 100]);
        println!("sync: batch {batch}: {rate:.0} entries/s, p50 {p50} us, p99 {p99} us");
    }
}

/// Measures how long it takes to read a log and to apply its entries.
fn measure_recovery(folder: &Path) {
    for length in LOG_LENGTHS {
        let mut store = new_store(folder, "recovery");
        let entries = (1..=length).map(entry).collect();
        store
            .write(vec![Record::Entries(entries)])
            .expect("the write succeeds");
        drop(store);
        let started = Instant::now();
        let disk = Folder::open(folder.join("recovery")).expect("the folder opens");
        let (store, report) = RaftStore::open(disk, MemberId(1)).expect("the log is whole");
        let read_time = started.elapsed();
        let mut machine = StateMachine::default();
        for entry in &store.recovered().entries {
            if let Payload::Command(bytes) = &entry.payload {
                let command = Command::decode(bytes).expect("command decodes");
                machine.apply(entry.log_time_ms, &command);
            }
        }
        let total = started.elapsed();
        assert_eq!(report.entries as u64, length);
        println!("recovery: {length} entries: read {read_time:?}, read and applied {total:?}");
    }
}

/// Measures the bytes of a row in the table, and of a row and its edit in a snapshot.
fn measure_table() {
    let mut machine = StateMachine::default();
    for number in 0..ROW_COUNT {
        machine.apply(number, &edit(number));
    }
    let table = postcard::to_stdvec(&**machine.table()).expect("the table encodes");
    let snapshot = machine.snapshot().expect("the state encodes");
    let (per_row, per_edit) = (
        table.len() as u64 / ROW_COUNT,
        snapshot.len() as u64 / ROW_COUNT,
    );
    println!(
        "table: {ROW_COUNT} rows: {per_row} bytes a row, {per_edit} with its edit in the history"
    );
}

/// Measures the memory and snapshot bytes of a call with an answer, and its snapshot bytes once the
/// answer has expired.
fn measure_ledger() {
    let limits = Limits {
        max_answers: CALL_COUNT as usize,
        ..Limits::default()
    };
    let mut machine = StateMachine::new(limits.clone());
    let before = resident_bytes();
    for number in 0..CALL_COUNT {
        machine.apply(0, &begin(number));
        machine.apply(0, &finish(number));
    }
    let memory_bytes = (resident_bytes() - before) / CALL_COUNT;
    let started = Instant::now();
    let data = machine.snapshot().expect("the state encodes");
    let encode = started.elapsed();
    let started = Instant::now();
    drop(StateMachine::restore(&data).expect("the snapshot decodes"));
    let decode = started.elapsed();
    let call_bytes = data.len() as u64 / CALL_COUNT;
    println!(
        "ledger: {CALL_COUNT} answered calls of 128 bytes: {memory_bytes} bytes each in memory"
    );
    println!(
        "ledger: {call_bytes} bytes each in a snapshot, written in {encode:?}, read in {decode:?}"
    );
    machine.apply(limits.answer_window_ms, &begin(CALL_COUNT));
    let data = machine.snapshot().expect("the state encodes");
    println!(
        "ledger: {} bytes each once the answer is gone",
        data.len() as u64 / CALL_COUNT
    );
}

fn begin(number: u64) -> Command {
    Command::Begin(Intent {
        digest: Digest::of(&[&number.to_le_bytes()]),
        timeout_ms: 60_000,
        key: key(number),
        intent_id: u128::from(number),
    })
}

fn finish(number: u64) -> Command {
    Command::Finish(Report {
        attempt: Attempt(number + 1),
        key: key(number),
        outcome: Outcome::Done(Response {
            body: vec![b'x'; 112],
            content_type: "application/json".to_owned(),
            status: 201,
        }),
    })
}

fn key(number: u64) -> CallKey {
    CallKey {
        idempotency: format!("{number:032x}"),
        workspace: "workspace".to_owned(),
    }
}

fn edit(number: u64) -> Command {
    let text = |text: &str| text.to_owned();
    let cells = BTreeMap::from([
        (Column::Address, text("192.0.2.1:8000")),
        (Column::Domain, text("harbour")),
        (Column::Limit, text("64")),
        (Column::Model, text("m")),
        (Column::Standing, text("serving")),
        (Column::Type, text("engine")),
        (Column::Weight, text("100")),
    ]);
    Command::Edit(Edit {
        action: Action::Add(cells),
        author: text("operator"),
        if_revision: 0,
        key: format!("{number:032x}"),
        name: Name {
            row: format!("upstream-{number}"),
            sheet: Sheet::Upstreams,
        },
    })
}

fn entry(index: u64) -> Entry {
    let command = begin(index).encode().expect("command encodes");
    Entry {
        log_time_ms: index,
        payload: Payload::Command(command.into()),
        position: Position { term: 1, index },
    }
}

/// Returns the resident memory of this process, in bytes.
fn resident_bytes() -> u64 {
    const PAGE_BYTES: u64 = 4_096;
    let text = fs::read_to_string("/proc/self/statm").expect("the system reports the memory");
    let pages = text
        .split(' ')
        .nth(1)
        .and_then(|pages| pages.parse::<u64>().ok());
    pages.expect("a number") * PAGE_BYTES
}
