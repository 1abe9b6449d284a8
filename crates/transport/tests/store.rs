//! Holds the fault table of a voter's data folder, on a disk that fails and forgets on demand.

use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;

use assert_matches::assert_matches;

use coordination::quorum::MemberId;
use coordination::raft_entry::Entry;
use coordination::raft_entry::HardState;
use coordination::raft_entry::Payload;
use coordination::raft_entry::Position;
use coordination::raft_entry::Record;
use coordination::raft_entry::Recovered;
use coordination::raft_entry::Snapshot;
use coordination::raft_entry::SnapshotMeta;
use transport::disk;
use transport::disk::Disk;
use transport::disk::Folder;
use transport::raft_store::Error;
use transport::raft_store::OpenReport;
use transport::raft_store::RaftStore;

const ME: MemberId = MemberId(7);

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Call {
    Append,
    Any,
    Sync,
}

#[derive(Clone, Default)]
struct File {
    bytes: Vec<u8>,
    synced: Vec<u8>,
}

#[derive(Default)]
struct Platter {
    calls: usize,
    fault: Option<(Call, usize, io::ErrorKind)>,
    files: BTreeMap<String, File>,
    names: BTreeMap<String, File>,
}

/// Keeps files in memory; a power loss takes what was not synced.
#[derive(Clone, Default)]
struct Memory(Arc<Mutex<Platter>>);

impl Memory {
    fn lock(&self) -> MutexGuard<'_, Platter> {
        self.0.lock().expect("no test thread panicked")
    }

    /// Lets the call after `later` calls of this sort fail, and all after it.
    fn fail(&self, call: Call, later: usize, kind: io::ErrorKind) {
        self.lock().fault = Some((call, later, kind));
    }

    fn heal(&self) {
        self.lock().fault = None;
    }

    /// Cuts the power; bytes that were not synced keep their first `kept`.
    fn lose_power(&self, kept: usize) {
        let mut platter = self.lock();
        platter.fault = None;
        let mut names = platter.names.clone();
        for (name, file) in &mut names {
            let mut bytes = file.synced.clone();
            let now = platter.files.get(name).filter(|now| now.synced == bytes);
            let unsynced = now.and_then(|now| now.bytes.get(bytes.len()..));
            bytes.extend(unsynced.unwrap_or_default().iter().take(kept));
            file.bytes.clone_from(&bytes);
            file.synced = bytes;
        }
        platter.files.clone_from(&names);
        platter.names = names;
    }

    fn change(&self, part: &str, change: impl FnOnce(&mut Vec<u8>)) -> String {
        let mut platter = self.lock();
        let name = platter.files.keys().find(|name| name.starts_with(part));
        let name = name.expect("file").clone();
        change(&mut platter.files.get_mut(&name).expect("file").bytes);
        name
    }

    fn enter(&self, call: Call) -> io::Result<MutexGuard<'_, Platter>> {
        let mut platter = self.lock();
        platter.calls += 1;
        match &mut platter.fault {
            Some((sort, 0, kind)) if *sort == call || *sort == Call::Any => {
                return Err((*kind).into());
            }
            Some((sort, later, _)) if *sort == call || *sort == Call::Any => *later -= 1,
            _ => {}
        }
        Ok(platter)
    }
}

impl Disk for Memory {
    fn append(&mut self, file: &str, bytes: &[u8]) -> io::Result<()> {
        match self.enter(Call::Append) {
            Err(error) => {
                let half = &bytes[..bytes.len() / 2];
                let mut platter = self.lock();
                let file = platter.files.get_mut(file).ok_or(io::ErrorKind::NotFound)?;
                file.bytes.extend_from_slice(half);
                Err(error)
            }
            Ok(mut platter) => {
                let file = platter.files.get_mut(file).ok_or(io::ErrorKind::NotFound)?;
                file.bytes.extend_from_slice(bytes);
                Ok(())
            }
        }
    }

    fn create(&mut self, file: &str) -> io::Result<()> {
        let mut platter = self.enter(Call::Any)?;
        platter.files.insert(file.to_owned(), File::default());
        Ok(())
    }

    fn truncate(&mut self, file: &str, length: u64) -> io::Result<()> {
        let mut platter = self.lock();
        let file = platter.files.get_mut(file).ok_or(io::ErrorKind::NotFound)?;
        file.bytes.truncate(length as usize);
        Ok(())
    }

    fn list(&self) -> io::Result<Vec<String>> {
        Ok(self.lock().files.keys().cloned().collect())
    }

    fn read(&self, file: &str) -> io::Result<Vec<u8>> {
        let platter = self.lock();
        let file = platter.files.get(file).ok_or(io::ErrorKind::NotFound)?;
        Ok(file.bytes.clone())
    }

    fn remove(&mut self, file: &str) -> io::Result<()> {
        self.enter(Call::Any)?.files.remove(file);
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let mut platter = self.enter(Call::Any)?;
        let file = platter.files.remove(from).ok_or(io::ErrorKind::NotFound)?;
        platter.files.insert(to.to_owned(), file);
        Ok(())
    }

    fn sync(&mut self, file: &str) -> io::Result<()> {
        let mut platter = self.enter(Call::Sync)?;
        let entry = platter.files.get_mut(file).ok_or(io::ErrorKind::NotFound)?;
        entry.synced.clone_from(&entry.bytes);
        let entry = entry.clone();
        if platter.names.contains_key(file) {
            platter.names.insert(file.to_owned(), entry);
        }
        Ok(())
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        let mut platter = self.enter(Call::Sync)?;
        platter.names = platter.files.clone();
        Ok(())
    }
}

fn entries(first: u64, last: u64) -> Record {
    let entry = |index| Entry {
        log_time_ms: index,
        payload: Payload::Command(vec![index as u8; 40].into()),
        position: Position { term: 1, index },
    };
    Record::Entries((first..=last).map(entry).collect())
}

fn hard(term: u64) -> Record {
    Record::HardState(HardState { term, vote: None })
}

fn snapshot(index: u64) -> Arc<Snapshot> {
    Arc::new(Snapshot {
        data: vec![9; 300].into(),
        meta: SnapshotMeta {
            log_time_ms: index,
            position: Position { term: 1, index },
            ..SnapshotMeta::default()
        },
    })
}

fn script() -> Vec<Vec<Record>> {
    vec![
        vec![hard(1), entries(1, 3)],
        vec![entries(4, 4)],
        vec![Record::Compact(snapshot(3))],
        vec![hard(2), entries(4, 6)],
        vec![Record::Install(snapshot(9))],
        vec![entries(10, 11)],
    ]
}

fn open(disk: &Memory) -> (RaftStore<Memory>, OpenReport) {
    RaftStore::open(disk.clone(), ME).expect("folder opens")
}

fn written(records: &[Vec<Record>]) -> Recovered {
    let mut recovered = Recovered::default();
    for record in records.iter().flatten() {
        recovered.apply(record.clone());
    }
    recovered
}

#[test]
fn what_was_written_is_there_after_a_start() {
    let disk = Memory::default();
    let (mut store, _) = open(&disk);
    for records in script() {
        store.write(records).expect("disk takes it");
    }
    disk.lose_power(0);
    let (store, report) = open(&disk);
    assert_eq!(*store.recovered(), written(&script()));
    assert_eq!(report.entries, 2);
    assert!(!report.torn_tail);
    assert_eq!(store.identity(), ME);
}

#[test]
fn power_loss_at_every_call_keeps_what_was_acknowledged_and_tears_nothing() {
    for kept in [0, 1, 20, 10_000] {
        for call in 0..200 {
            let disk = Memory::default();
            let mut acknowledged = 0;
            disk.fail(Call::Any, call, io::ErrorKind::Other);
            if let Ok((mut store, _)) = RaftStore::open(disk.clone(), ME) {
                for records in script() {
                    if store.write(records).is_err() {
                        break;
                    }
                    acknowledged += 1;
                }
            }
            disk.lose_power(kept);
            let (store, _) = open(&disk);
            let before = written(&script()[..acknowledged]);
            let after = written(&script()[..(acknowledged + 1).min(script().len())]);
            let found = store.recovered();
            assert!(
                *found == before || *found == after,
                "call {call}, kept {kept}"
            );
        }
    }
}

#[test]
fn torn_tail_is_dropped() {
    let disk = Memory::default();
    let (mut store, _) = open(&disk);
    store.write(vec![entries(1, 3)]).expect("disk takes it");
    disk.fail(Call::Sync, 0, io::ErrorKind::Other);
    store.write(vec![entries(4, 4)]).expect_err("sync fails");
    disk.lose_power(30);
    let (store, report) = open(&disk);
    assert_eq!(
        report,
        OpenReport {
            entries: 3,
            torn_tail: true
        }
    );
    assert_eq!(store.recovered().entries.len(), 3);
}

#[test]
fn damage_before_the_tail_is_named_and_nothing_starts() {
    let disk = Memory::default();
    let (mut store, _) = open(&disk);
    store.write(vec![entries(1, 3)]).expect("disk takes it");
    store.write(vec![entries(4, 4)]).expect("disk takes it");
    let name = disk.change("log-", |bytes| bytes[50] ^= 1);
    let error = RaftStore::open(disk.clone(), ME).err();
    assert_matches!(error, Some(Error::Damaged { file, .. }) if file == name);
    let disk = Memory::default();
    open(&disk);
    let name = disk.change("snapshot-", |bytes| bytes[18] ^= 1);
    let error = RaftStore::open(disk.clone(), ME).err();
    assert_matches!(error, Some(Error::Damaged { file, .. }) if file == name);
}

#[test]
fn full_disk_takes_the_same_records_later() {
    for records in script() {
        let disk = Memory::default();
        let (mut store, _) = open(&disk);
        let before = store.recovered().clone();
        disk.fail(Call::Append, 0, io::ErrorKind::StorageFull);
        assert_matches!(store.write(records.clone()), Err(Error::Full));
        assert_matches!(store.write(records.clone()), Err(Error::Full));
        assert_eq!(*store.recovered(), before);
        disk.heal();
        store.write(records.clone()).expect("disk takes it");
        disk.lose_power(0);
        assert_eq!(*open(&disk).0.recovered(), written(&[records]));
    }
}

#[test]
fn failed_sync_is_never_tried_again() {
    for records in script() {
        let disk = Memory::default();
        let (mut store, _) = open(&disk);
        disk.fail(Call::Sync, 0, io::ErrorKind::Other);
        assert_matches!(store.write(records.clone()), Err(Error::Io(_)));
        disk.heal();
        assert_matches!(store.write(records), Err(Error::Poisoned));
    }
}

#[test]
fn folder_of_something_else_is_refused() {
    let mut disk = Memory::default();
    disk.create("photos").expect("disk takes it");
    let error = RaftStore::open(disk, ME).err();
    assert_matches!(error, Some(Error::Foreign { file }) if file == "photos");
}

#[test]
fn folder_of_another_version_is_refused() {
    let mut disk = Memory::default();
    open(&disk);
    let next = transport::disk_frame::encode(&(ME, 2_u32)).expect("format encodes");
    disk::replace_atomically(&mut disk, "format", &next).expect("disk takes it");
    let error = RaftStore::open(disk, ME).err();
    assert_matches!(error, Some(Error::Version { found: 2 }));
}

#[test]
fn folder_in_use_is_refused() {
    let path = std::env::temp_dir().join(format!("folder_in_use_{}", std::process::id()));
    let held = Folder::open(&path).expect("folder opens");
    assert_matches!(Folder::open(&path), Err(disk::Error::Locked { folder }) if folder == path);
    drop(held);
    let (mut store, _) = RaftStore::open(Folder::open(&path).expect("freed"), ME).expect("opens");
    store.write(script().remove(0)).expect("disk takes it");
    let kept = store.recovered().clone();
    drop(store);
    let (store, _) = RaftStore::open(Folder::open(&path).expect("freed"), ME).expect("opens");
    assert_eq!(*store.recovered(), kept);
    drop(store);
    std::fs::remove_dir_all(path).expect("folder goes");
}

#[test]
fn log_goes_on_in_further_segments() {
    let disk = Memory::default();
    let (mut store, _) = open(&disk);
    let large = |index| {
        Record::Entries(vec![Entry {
            log_time_ms: 0,
            payload: Payload::Command(vec![1; 3 << 20].into()),
            position: Position { term: 1, index },
        }])
    };
    for index in 1..=7 {
        store.write(vec![large(index)]).expect("disk takes it");
    }
    let logs = |disk: &Memory| {
        let names = disk.list().expect("disk lists");
        names.iter().filter(|name| name.starts_with("log-")).count()
    };
    assert_eq!(logs(&disk), 3);
    let (store, _) = open(&disk);
    assert_eq!(store.recovered().entries.len(), 7);
    assert_eq!(logs(&disk), 1);
}
