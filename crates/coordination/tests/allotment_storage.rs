//! Allotments in log entries and snapshots, and data of versions that knew none.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::Serialize;

use coordination::state_machine::Command;
use coordination::state_machine::StateMachine;
use state::naming::Time;
use state::routing::Allotment;
use state::routing::Route;
use state::routing::Service;
use state::routing::Table;
use state::routing::Unit;
use state::routing::Workspace;

/// A workspace as versions without allotments wrote it.
#[derive(Serialize)]
struct OldWorkspace {
    isolated: bool,
    keys: Vec<[u8; 32]>,
    name: String,
    rank: u32,
}

/// A table as versions without allotments wrote it.
#[derive(Serialize)]
struct OldTable {
    routes: Vec<Route>,
    services: Vec<Service>,
    version: u64,
    workspaces: Vec<OldWorkspace>,
}

/// The position of `Command::Route` among the commands.
const ROUTE: u8 = 4;

fn old_entry() -> Vec<u8> {
    let table = OldTable {
        routes: Vec::new(),
        services: vec![service()],
        version: 3,
        workspaces: ["w1", "w2"].map(old_workspace).into(),
    };
    let mut entry = vec![ROUTE];
    entry.extend(postcard::to_stdvec(&("source", table)).unwrap());
    entry
}

fn old_workspace(name: &str) -> OldWorkspace {
    OldWorkspace {
        isolated: true,
        keys: vec![[7; 32]],
        name: name.to_owned(),
        rank: 1,
    }
}

fn service() -> Service {
    Service {
        connections: 400,
        engine: true,
        memory_tokens: Some(143_828),
        name: "engines".to_owned(),
        store: None,
    }
}

/// The command of [`old_entry`], but with an allotment of `w2`.
fn command(allotment: Option<Allotment>) -> Command {
    let workspaces = [("w1", None), ("w2", allotment)];
    let workspaces = workspaces.map(|(name, allotment)| Workspace {
        allotment,
        isolated: true,
        keys: vec![[7; 32]],
        name: name.to_owned(),
        rank: 1,
    });
    Command::Route {
        source: Arc::new("source".to_owned()),
        table: Arc::new(Table {
            services: vec![service()],
            version: 3,
            workspaces: workspaces.into(),
            ..Table::default()
        }),
    }
}

fn allotment() -> Allotment {
    Allotment {
        burst: 671_225,
        plain_cost: 200,
        rate: 671_225,
        unit: Unit::Tokens,
    }
}

#[test]
fn entries_of_versions_without_allotments_are_read() {
    assert_eq!(Command::decode(old_entry()).unwrap(), command(None));
    let stamped = postcard::to_extend(&77_u64, old_entry()).unwrap();
    let (decoded, unix_ms) = Command::decode_stamped(stamped).unwrap();
    assert_eq!((decoded, unix_ms), (command(None), 77));
}

#[test]
fn a_table_without_allotments_is_stored_as_before() {
    assert_eq!(command(None).encode().unwrap(), old_entry());
    let mut machine = StateMachine::default();
    machine.apply(5, &command(None));
    let whole = machine.snapshot().unwrap();
    let (_, rest): (StateMachine, _) = postcard::take_from_bytes(&whole).unwrap();
    let namings: (BTreeMap<String, BTreeMap<u64, Time>>, &[u8]) =
        postcard::take_from_bytes(rest).unwrap();
    assert_eq!(namings, (BTreeMap::new(), [].as_slice()));
}

#[test]
fn allotments_are_replayed_from_entries_and_restored_from_snapshots() {
    let command = command(Some(allotment()));
    let entry = command.encode_stamped(77).unwrap();
    assert_eq!(
        Command::decode_stamped(entry).unwrap(),
        (command.clone(), 77)
    );
    let mut machine = StateMachine::default();
    machine.apply(5, &command);
    let restored = StateMachine::restore(machine.snapshot().unwrap()).unwrap();
    assert_eq!(restored, machine);
    let allotments = restored.routed().table.allotments();
    assert_eq!(allotments, BTreeMap::from([("w2".to_owned(), allotment())]));
}

/// Snapshots of versions that knew no allotments hold the table in the same bytes.
#[test]
fn snapshots_of_versions_without_allotments_are_read() {
    let mut machine = StateMachine::default();
    machine.apply(5, &command(None));
    let whole = machine.snapshot().unwrap();
    let table = &old_entry()[1..];
    assert!(whole.windows(table.len()).any(|bytes| bytes == table));
    assert_eq!(StateMachine::restore(whole).unwrap(), machine);
}
