//! File storage: state left by a crash, and damage that must be refused.

use {
    arbtest::{arbitrary::Unstructured, arbtest},
    bronzespool_consensus::{
        DurableState, Entry, EntryPayload, FileStorage, HardState, Membership, ReplicaId, Result,
        Snapshot, Storage, StorageWrite,
    },
    bronzespool_core::Code,
    std::{fs, path::Path, sync::Arc},
    tempfile::TempDir,
};

const HEADER_BYTES: usize = 13;

fn hard_state(term: u64) -> HardState {
    HardState { id: ReplicaId(7), cluster: 7, term, vote: Some(ReplicaId(9)) }
}

fn entry(index: u64, term: u64) -> Entry {
    let data = vec![index as u8 | 0x80; 30 + index as usize * 7 % 50];
    Entry { index, term, payload: EntryPayload::Command(data.into()) }
}

fn snapshot(index: u64, term: u64) -> Arc<Snapshot> {
    Arc::new(Snapshot::new(index, term, Membership::default(), vec![0x5a; 700]))
}

/// Three batches of writes.
fn batches() -> Vec<Vec<StorageWrite>> {
    vec![
        vec![
            StorageWrite::HardState(hard_state(1)),
            StorageWrite::Append(vec![entry(1, 1), entry(2, 1)]),
        ],
        vec![StorageWrite::Truncate(2), StorageWrite::Append(vec![entry(2, 2), entry(3, 2)])],
        vec![StorageWrite::HardState(hard_state(3)), StorageWrite::Append(vec![entry(4, 3)])],
    ]
}

fn fill(folder: &Path) -> Vec<DurableState> {
    let mut disk = FileStorage::open(folder).unwrap();
    let mut states = vec![DurableState::default()];
    for batch in batches() {
        disk.write(&batch).unwrap();
        states.push(disk.load().unwrap());
    }
    states
}

fn load(folder: &Path) -> Result<DurableState> {
    FileStorage::open(folder)?.load()
}

fn code(result: Result<DurableState>) -> Option<Code> {
    result.err().map(|e| e.code())
}

#[test]
fn load_blank_is_empty() {
    let dir = TempDir::new().unwrap();
    let folder = dir.path().join("a").join("b");
    assert_eq!(load(&folder), Ok(DurableState::default()));
    assert_eq!(load(&folder), Ok(DurableState::default()));
}

#[test]
fn load_written_returns_all() {
    let dir = TempDir::new().unwrap();
    let states = fill(dir.path());
    assert_eq!(states[3].hard_state, Some(hard_state(3)));
    assert_eq!(states[3].entries, [entry(1, 1), entry(2, 2), entry(3, 2), entry(4, 3)]);
    assert_eq!(load(dir.path()).as_ref(), Ok(&states[3]));
}

#[test]
fn load_torn_returns_whole_batches() {
    let dir = TempDir::new().unwrap();
    let states = fill(dir.path());
    let path = dir.path().join("log");
    let bytes_on_disk = fs::read(&path).unwrap();
    let mut seen = vec![0; states.len()];
    for len in 0..bytes_on_disk.len() {
        fs::write(&path, &bytes_on_disk[..len]).unwrap();
        let state = load(dir.path()).unwrap();
        seen[states.iter().position(|s| *s == state).unwrap()] += 1;
        let cut = fs::metadata(&path).unwrap().len();
        assert!(cut <= len as u64);
        let mut disk = FileStorage::open(dir.path()).unwrap();
        disk.write(&[StorageWrite::HardState(hard_state(9))]).unwrap();
        drop(disk);
        assert_eq!(load(dir.path()).unwrap().hard_state, Some(hard_state(9)));
    }
    assert!(seen[..3].iter().all(|&n| n > HEADER_BYTES));
}

#[test]
fn load_unwritten_sectors_cut_last_batch() {
    const SECTOR_BYTES: usize = 512;
    let dir = TempDir::new().unwrap();
    let states = fill(dir.path());
    let path = dir.path().join("log");
    let start = fs::read(&path).unwrap().len();
    let mut disk = FileStorage::open(dir.path()).unwrap();
    disk.write(&[StorageWrite::Append((5..40).map(|i| entry(i, 3)).collect())]).unwrap();
    drop(disk);
    let bytes_on_disk = fs::read(&path).unwrap();
    for from in (0..bytes_on_disk.len()).step_by(SECTOR_BYTES) {
        let (from, to) = (from.max(start), bytes_on_disk.len().min(from + SECTOR_BYTES));
        if from >= to {
            continue;
        }
        let mut bytes = bytes_on_disk.clone();
        bytes[from..to].fill(0);
        fs::write(&path, &bytes).unwrap();
        assert_eq!(load(dir.path()).as_ref(), Ok(&states[3]), "sector at {from}");
    }
}

#[test]
fn load_changed_byte_is_refused() {
    let dir = TempDir::new().unwrap();
    fill(dir.path());
    let path = dir.path().join("log");
    let bytes_on_disk = fs::read(&path).unwrap();
    for case in 1..=1_000_u32 {
        let property = |u: &mut Unstructured<'_>| {
            let mut bytes = bytes_on_disk.clone();
            let at = u.choose_index(bytes.len())?;
            bytes[at] ^= u.int_in_range(1..=255_u8)?;
            fs::write(&path, &bytes).unwrap();
            assert_eq!(code(load(dir.path())), Some(Code::RecordCorrupt), "byte {at}");
            Ok(())
        };
        let seed = u64::from(case.wrapping_mul(0x9e37_79b9));
        arbtest(property).seed(seed << 32 | 64).run();
    }
}

#[test]
fn load_zeroed_bytes_are_refused() {
    let dir = TempDir::new().unwrap();
    fill(dir.path());
    let path = dir.path().join("log");
    let bytes_on_disk = fs::read(&path).unwrap();
    for at in 0..=bytes_on_disk.len() - HEADER_BYTES {
        let mut bytes = bytes_on_disk.clone();
        bytes[at..at + HEADER_BYTES].fill(0);
        fs::write(&path, &bytes).unwrap();
        let result = load(dir.path());
        assert_eq!(code(result), Some(Code::RecordCorrupt), "byte {at}");
    }
}

#[test]
fn load_unknown_version_is_refused() {
    let dir = TempDir::new().unwrap();
    fill(dir.path());
    let path = dir.path().join("log");
    let mut bytes = fs::read(&path).unwrap();
    bytes[0] = 2;
    let crc = crc32fast::hash(&bytes[..9]);
    bytes[9..HEADER_BYTES].copy_from_slice(&crc.to_le_bytes());
    fs::write(&path, &bytes).unwrap();
    assert_eq!(code(load(dir.path())), Some(Code::VersionUnknown));
}

#[test]
fn write_snapshot_starts_log_after_it() {
    let dir = TempDir::new().unwrap();
    fill(dir.path());
    let mut disk = FileStorage::open(dir.path()).unwrap();
    let batch = [StorageWrite::Append(vec![entry(5, 3)]), StorageWrite::Snapshot(snapshot(3, 2))];
    disk.write(&batch).unwrap();
    disk.write(&[StorageWrite::Append(vec![entry(6, 3)])]).unwrap();
    drop(disk);
    let state = load(dir.path()).unwrap();
    assert_eq!(state.snapshot, Some(snapshot(3, 2)));
    assert_eq!(state.entries, [entry(4, 3), entry(5, 3), entry(6, 3)]);
    assert_eq!(state.hard_state, Some(hard_state(3)));
}

#[test]
fn write_snapshot_of_other_history_drops_log() {
    let dir = TempDir::new().unwrap();
    fill(dir.path());
    let mut disk = FileStorage::open(dir.path()).unwrap();
    disk.write(&[StorageWrite::Snapshot(snapshot(3, 3))]).unwrap();
    drop(disk);
    assert_eq!(load(dir.path()).unwrap().entries, []);
}

#[test]
fn load_crash_between_snapshot_and_log_joins_them() {
    let dir = TempDir::new().unwrap();
    fill(dir.path());
    let old = fs::read(dir.path().join("log")).unwrap();
    let mut disk = FileStorage::open(dir.path()).unwrap();
    disk.write(&[StorageWrite::Snapshot(snapshot(3, 2))]).unwrap();
    let state = disk.load().unwrap();
    drop(disk);
    fs::write(dir.path().join("log"), old).unwrap();
    fs::write(dir.path().join("log.partial"), b"unfinished").unwrap();
    assert_eq!(load(dir.path()), Ok(state));
}

#[test]
fn load_changed_snapshot_is_refused() {
    let dir = TempDir::new().unwrap();
    fill(dir.path());
    FileStorage::open(dir.path())
        .unwrap()
        .write(&[StorageWrite::Snapshot(snapshot(3, 2))])
        .unwrap();
    let path = dir.path().join("snapshot");
    let bytes_on_disk = fs::read(&path).unwrap();
    for at in 0..bytes_on_disk.len() {
        let mut bytes = bytes_on_disk.clone();
        bytes[at] ^= 0x10;
        fs::write(&path, &bytes).unwrap();
        assert_eq!(code(load(dir.path())), Some(Code::SnapshotCorrupt), "byte {at}");
        fs::write(&path, &bytes_on_disk[..at]).unwrap();
        assert_eq!(code(load(dir.path())), Some(Code::SnapshotCorrupt), "length {at}");
    }
}

#[test]
fn load_missing_log_beside_snapshot_is_refused() {
    let dir = TempDir::new().unwrap();
    fill(dir.path());
    FileStorage::open(dir.path())
        .unwrap()
        .write(&[StorageWrite::Snapshot(snapshot(3, 2))])
        .unwrap();
    fs::remove_file(dir.path().join("log")).unwrap();
    assert_eq!(code(load(dir.path())), Some(Code::RecordCorrupt));
}

/// A folder with a log and a snapshot.
fn fill_with_snapshot(folder: &Path) {
    fill(folder);
    let mut disk = FileStorage::open(folder).unwrap();
    disk.write(&[StorageWrite::Snapshot(snapshot(3, 2))]).unwrap();
}

#[test]
fn clear_at_next_open_is_blank() {
    let dir = TempDir::new().unwrap();
    fill_with_snapshot(dir.path());
    FileStorage::clear_at_next_open(dir.path()).unwrap();
    assert_eq!(load(dir.path()), Ok(DurableState::default()));
    FileStorage::open(dir.path()).unwrap().write(&batches()[0]).unwrap();
    assert_eq!(load(dir.path()).unwrap().hard_state, Some(hard_state(1)));
}

#[test]
fn clear_at_next_open_power_loss_meanwhile_is_blank() {
    for kept in [&[][..], &["log"], &["snapshot"], &["log", "snapshot"]] {
        let dir = TempDir::new().unwrap();
        fill_with_snapshot(dir.path());
        FileStorage::clear_at_next_open(dir.path()).unwrap();
        for name in ["log", "snapshot"].iter().filter(|name| !kept.contains(*name)) {
            fs::remove_file(dir.path().join(name)).unwrap();
        }
        assert_eq!(load(dir.path()), Ok(DurableState::default()), "kept {kept:?}");
    }
}

#[test]
fn open_twice_is_refused() {
    let dir = TempDir::new().unwrap();
    let _disk = FileStorage::open(dir.path()).unwrap();
    assert_eq!(code(load(dir.path())), Some(Code::StorageFailed));
}

#[test]
fn write_after_failure_is_refused() {
    let dir = TempDir::new().unwrap();
    fill(dir.path());
    let mut disk = FileStorage::open(dir.path()).unwrap();
    fs::create_dir(dir.path().join("snapshot.partial")).unwrap();
    let failed = disk.write(&[StorageWrite::Snapshot(snapshot(3, 2))]).unwrap_err();
    assert_eq!(failed.code(), Code::StorageFailed);
    let refused = disk.write(&[StorageWrite::HardState(hard_state(9))]).unwrap_err();
    assert_eq!(refused.code(), Code::StorageFailed);
}
