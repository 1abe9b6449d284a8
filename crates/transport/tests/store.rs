//! Tests that a voter's data survives lost power, full disks, failed syncs and damage, with an
//! in-memory disk that injects these faults.

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

const IDENTITY: MemberId = MemberId(7);

/// Kind of operation that fails: appends, syncs of files and of the folder, or any operation but
/// reads and truncations.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Operation {
    Append,
    Any,
    Sync,
}

#[derive(Clone, Default)]
struct File {
    bytes: Vec<u8>,
    synced_bytes: Vec<u8>,
}

/// State of the disk: `files` as programs see them, `durable_files` as a power loss leaves them.
#[derive(Default)]
struct DiskState {
    operations: usize,
    fault: Option<(Operation, usize, io::ErrorKind)>,
    files: BTreeMap<String, File>,
    durable_files: BTreeMap<String, File>,
}

/// Disk in memory that loses what was not synced when the power fails.
#[derive(Clone, Default)]
struct MemoryDisk(Arc<Mutex<DiskState>>);

impl MemoryDisk {
    fn lock(&self) -> MutexGuard<'_, DiskState> {
        self.0.lock().expect("no test thread panicked")
    }

    /// Fails all operations of this kind with an error of `kind`, after `skipped` successful ones.
    fn fail(&self, operation: Operation, skipped: usize, kind: io::ErrorKind) {
        self.lock().fault = Some((operation, skipped, kind));
    }

    fn repair(&self) {
        self.lock().fault = None;
    }

    /// Fails the power; of the unsynced bytes of a file, the first `unsynced_bytes` stay.
    fn lose_power(&self, unsynced_bytes: usize) {
        let mut state = self.lock();
        state.fault = None;
        let mut durable_files = state.durable_files.clone();
        for (name, file) in &mut durable_files {
            let mut bytes = file.synced_bytes.clone();
            let current = state
                .files
                .get(name)
                .filter(|current| current.synced_bytes == bytes);
            let unsynced = current.and_then(|current| current.bytes.get(bytes.len()..));
            bytes.extend(unsynced.unwrap_or_default().iter().take(unsynced_bytes));
            file.bytes.clone_from(&bytes);
            file.synced_bytes = bytes;
        }
        state.files.clone_from(&durable_files);
        state.durable_files = durable_files;
    }

    /// Changes the bytes of the first file whose name starts with `prefix`, and returns its name.
    fn change(&self, prefix: &str, change: impl FnOnce(&mut Vec<u8>)) -> String {
        let mut state = self.lock();
        let name = state.files.keys().find(|name| name.starts_with(prefix));
        let name = name.expect("file").clone();
        change(&mut state.files.get_mut(&name).expect("file").bytes);
        name
    }

    /// Counts an operation, and fails it if a fault is due.
    fn begin(&self, op: Operation) -> io::Result<MutexGuard<'_, DiskState>> {
        let mut state = self.lock();
        state.operations += 1;
        match &mut state.fault {
            Some((faulty, 0, kind)) if *faulty == op || *faulty == Operation::Any => {
                return Err((*kind).into());
            }
            Some((faulty, left, _)) if *faulty == op || *faulty == Operation::Any => *left -= 1,
            _ => {}
        }
        Ok(state)
    }
}

impl Disk for MemoryDisk {
    fn append(&mut self, file: &str, bytes: &[u8]) -> io::Result<()> {
        match self.begin(Operation::Append) {
            Err(error) => {
                let half = &bytes[..bytes.len() / 2];
                let mut state = self.lock();
                let file = state.files.get_mut(file).ok_or(io::ErrorKind::NotFound)?;
                file.bytes.extend_from_slice(half);
                Err(error)
            }
            Ok(mut state) => {
                let file = state.files.get_mut(file).ok_or(io::ErrorKind::NotFound)?;
                file.bytes.extend_from_slice(bytes);
                Ok(())
            }
        }
    }

    fn create(&mut self, file: &str) -> io::Result<()> {
        let mut state = self.begin(Operation::Any)?;
        state.files.insert(file.to_owned(), File::default());
        Ok(())
    }

    fn truncate(&mut self, file: &str, length: u64) -> io::Result<()> {
        let mut state = self.lock();
        let file = state.files.get_mut(file).ok_or(io::ErrorKind::NotFound)?;
        file.bytes.truncate(length as usize);
        Ok(())
    }

    fn list(&self) -> io::Result<Vec<String>> {
        Ok(self.lock().files.keys().cloned().collect())
    }

    fn read(&self, file: &str) -> io::Result<Vec<u8>> {
        let state = self.lock();
        let file = state.files.get(file).ok_or(io::ErrorKind::NotFound)?;
        Ok(file.bytes.clone())
    }

    fn remove(&mut self, file: &str) -> io::Result<()> {
        self.begin(Operation::Any)?.files.remove(file);
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let mut state = self.begin(Operation::Any)?;
        let file = state.files.remove(from).ok_or(io::ErrorKind::NotFound)?;
        state.files.insert(to.to_owned(), file);
        Ok(())
    }

    fn sync(&mut self, file: &str) -> io::Result<()> {
        let mut state = self.begin(Operation::Sync)?;
        let entry = state.files.get_mut(file).ok_or(io::ErrorKind::NotFound)?;
        entry.synced_bytes.clone_from(&entry.bytes);
        let entry = entry.clone();
        if state.durable_files.contains_key(file) {
            state.durable_files.insert(file.to_owned(), entry);
        }
        Ok(())
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        let mut state = self.begin(Operation::Sync)?;
        state.durable_files = state.files.clone();
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

fn hard_state(term: u64) -> Record {
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

/// Returns batches of records of each kind, in an order that a voter may write them.
fn record_batches() -> Vec<Vec<Record>> {
    vec![
        vec![hard_state(1), entries(1, 3)],
        vec![entries(4, 4)],
        vec![Record::Compact(snapshot(3))],
        vec![hard_state(2), entries(4, 6)],
        vec![Record::Install(snapshot(9))],
        vec![entries(10, 11)],
    ]
}

fn open(disk: &MemoryDisk) -> (RaftStore<MemoryDisk>, OpenReport) {
    RaftStore::open(disk.clone(), IDENTITY).expect("folder opens")
}

/// Returns the state after all of these records.
fn applied(records: &[Vec<Record>]) -> Recovered {
    let mut recovered = Recovered::default();
    for record in records.iter().flatten() {
        recovered.apply(record.clone());
    }
    recovered
}

#[test]
fn written_records_survive_a_restart() {
    let disk = MemoryDisk::default();
    let (mut store, _) = open(&disk);
    for records in record_batches() {
        store.write(records).expect("write succeeds");
    }
    disk.lose_power(0);
    let (store, report) = open(&disk);
    assert_eq!(*store.recovered(), applied(&record_batches()));
    assert_eq!(report.entries, 2);
    assert!(!report.torn_tail);
    assert_eq!(store.identity(), IDENTITY);
}

/// A power loss at any operation may keep any part of an unsynced write: acknowledged batches must
/// stay, and a batch that was not acknowledged must be there whole or not at all.
#[test]
fn power_loss_at_any_operation_keeps_acknowledged_batches_whole() {
    for unsynced_bytes in [0, 1, 20, 10_000] {
        for operation in 0..200 {
            let disk = MemoryDisk::default();
            let mut acknowledged = 0;
            disk.fail(Operation::Any, operation, io::ErrorKind::Other);
            if let Ok((mut store, _)) = RaftStore::open(disk.clone(), IDENTITY) {
                for records in record_batches() {
                    if store.write(records).is_err() {
                        break;
                    }
                    acknowledged += 1;
                }
            }
            disk.lose_power(unsynced_bytes);
            let (store, _) = open(&disk);
            let before = applied(&record_batches()[..acknowledged]);
            let after =
                applied(&record_batches()[..(acknowledged + 1).min(record_batches().len())]);
            let found = store.recovered();
            assert!(
                *found == before || *found == after,
                "operation {operation}, unsynced bytes kept {unsynced_bytes}"
            );
        }
    }
}

/// A power loss during a write leaves an unfinished frame at the end of the log.
#[test]
fn unfinished_write_at_the_end_of_the_log_is_dropped() {
    let disk = MemoryDisk::default();
    let (mut store, _) = open(&disk);
    store.write(vec![entries(1, 3)]).expect("write succeeds");
    disk.fail(Operation::Sync, 0, io::ErrorKind::Other);
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

/// Acknowledged entries must not be dropped like an unfinished write, so damage before the end of
/// the log or in a snapshot prevents the start.
#[test]
fn damage_before_the_end_of_the_log_prevents_opening_and_names_the_file() {
    let disk = MemoryDisk::default();
    let (mut store, _) = open(&disk);
    store.write(vec![entries(1, 3)]).expect("write succeeds");
    store.write(vec![entries(4, 4)]).expect("write succeeds");
    let name = disk.change("log-", |bytes| bytes[50] ^= 1);
    let error = RaftStore::open(disk.clone(), IDENTITY).err();
    assert_matches!(error, Some(Error::Damaged { file, .. }) if file == name);
    let disk = MemoryDisk::default();
    open(&disk);
    let name = disk.change("snapshot-", |bytes| bytes[18] ^= 1);
    let error = RaftStore::open(disk.clone(), IDENTITY).err();
    assert_matches!(error, Some(Error::Damaged { file, .. }) if file == name);
}

#[test]
fn records_refused_by_a_full_disk_can_be_written_later() {
    for records in record_batches() {
        let disk = MemoryDisk::default();
        let (mut store, _) = open(&disk);
        let before = store.recovered().clone();
        disk.fail(Operation::Append, 0, io::ErrorKind::StorageFull);
        assert_matches!(store.write(records.clone()), Err(Error::Full));
        assert_matches!(store.write(records.clone()), Err(Error::Full));
        assert_eq!(*store.recovered(), before);
        disk.repair();
        store.write(records.clone()).expect("write succeeds");
        disk.lose_power(0);
        assert_eq!(*open(&disk).0.recovered(), applied(&[records]));
    }
}

/// After a failed sync the system may drop the dirty pages and report success for the next sync.
/// Guards against voters that end for good, one after another, because their disks were full for a
/// moment: a file system that allocates late tells so in a sync, and a full folder in a rename.
#[test]
fn a_disk_that_is_full_at_any_operation_is_written_to_once_it_has_room() {
    for operation in [Operation::Append, Operation::Any, Operation::Sync] {
        for skipped in 0..6 {
            let disk = MemoryDisk::default();
            let mut store = open(&disk).0;
            let mut expected = Vec::new();
            for (number, records) in record_batches().into_iter().enumerate() {
                disk.fail(operation, skipped, io::ErrorKind::StorageFull);
                let context = format!("{operation:?} after {skipped}, batch {number}");
                for _ in 0..2 {
                    match store.write(records.clone()) {
                        Err(error) => assert_matches!(error, Error::Full, "{context}"),
                        Ok(()) => break,
                    }
                }
                disk.repair();
                store.write(records.clone()).expect(&context);
                expected.push(records);
                disk.lose_power(0);
                let recovered = open(&disk).0.recovered().clone();
                assert_eq!(recovered, applied(&expected), "{context}");
                store = open(&disk).0;
            }
        }
    }
}

#[test]
fn store_refuses_writes_after_a_failed_sync() {
    for records in record_batches() {
        let disk = MemoryDisk::default();
        let (mut store, _) = open(&disk);
        disk.fail(Operation::Sync, 0, io::ErrorKind::Other);
        assert_matches!(store.write(records.clone()), Err(Error::Io(_)));
        disk.repair();
        assert_matches!(store.write(records), Err(Error::Poisoned));
    }
}

#[test]
fn folder_with_files_of_another_program_is_refused() {
    let mut disk = MemoryDisk::default();
    disk.create("photos").expect("file is created");
    let error = RaftStore::open(disk, IDENTITY).err();
    assert_matches!(error, Some(Error::Foreign { file }) if file == "photos");
}

#[test]
fn folder_of_another_format_version_is_refused() {
    let mut disk = MemoryDisk::default();
    open(&disk);
    let next = transport::disk_frame::encode(&(IDENTITY, 2_u32)).expect("format encodes");
    disk::replace_atomically(&mut disk, "format", &next).expect("write succeeds");
    let error = RaftStore::open(disk, IDENTITY).err();
    assert_matches!(error, Some(Error::Version { found: 2 }));
}

/// Two processes that write one folder would corrupt it.
#[test]
fn folder_in_use_is_refused() {
    let path = std::env::temp_dir().join(format!("folder_in_use_{}", std::process::id()));
    let locked = Folder::open(&path).expect("folder opens");
    assert_matches!(Folder::open(&path), Err(disk::Error::Locked { folder }) if folder == path);
    drop(locked);
    let (mut store, _) =
        RaftStore::open(Folder::open(&path).expect("lock was released"), IDENTITY).expect("opens");
    store
        .write(record_batches().remove(0))
        .expect("write succeeds");
    let recovered = store.recovered().clone();
    drop(store);
    let (store, _) =
        RaftStore::open(Folder::open(&path).expect("lock was released"), IDENTITY).expect("opens");
    assert_eq!(*store.recovered(), recovered);
    drop(store);
    std::fs::remove_dir_all(path).expect("folder is removed");
}

#[test]
fn full_segment_is_followed_by_another_until_the_next_generation() {
    let disk = MemoryDisk::default();
    let (mut store, _) = open(&disk);
    let large_record = |index| {
        Record::Entries(vec![Entry {
            log_time_ms: 0,
            payload: Payload::Command(vec![1; 3 << 20].into()),
            position: Position { term: 1, index },
        }])
    };
    for index in 1..=7 {
        store
            .write(vec![large_record(index)])
            .expect("write succeeds");
    }
    let segment_count = |disk: &MemoryDisk| {
        let names = disk.list().expect("disk lists");
        names.iter().filter(|name| name.starts_with("log-")).count()
    };
    assert_eq!(segment_count(&disk), 3);
    let (store, _) = open(&disk);
    assert_eq!(store.recovered().entries.len(), 7);
    assert_eq!(segment_count(&disk), 1);
}
