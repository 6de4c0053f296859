//! Storage in the files of one data folder.
//!
//! `log` contains frames of the records since the last snapshot, `snapshot` the last snapshot,
//! and `lock` prevents a second process from opening the folder. A file is replaced by writing a
//! new file under another name, syncing and renaming it, and then syncing the folder. While `clear`
//! exists, the other files do not count.

use {
    super::{
        DurableState, Storage, StorageWrite,
        frame::{self, Record},
    },
    crate::{
        entry::SharedBytes,
        error::{Error, Result},
        snapshot::{Snapshot, SnapshotMeta},
    },
    bronzespool_core::Code,
    std::{
        fs::{self, File, OpenOptions, TryLockError},
        io::{ErrorKind, Write as _},
        path::{Path, PathBuf},
        sync::Arc,
    },
};

const LOG_FILE: &str = "log";
const SNAPSHOT_FILE: &str = "snapshot";
const LOCK_FILE: &str = "lock";
const CLEAR_FILE: &str = "clear";
/// Extension of a replacement file that is not yet complete.
const PARTIAL_EXTENSION: &str = "partial";

/// Storage backed by one data folder.
#[derive(Debug)]
pub struct FileStorage {
    folder: PathBuf,
    log: File,
    /// Copy of the durable state. The entries share their bytes with the replica.
    state: DurableState,
    /// Set once a write has failed. The contents of the files are unknown after that.
    failed: bool,
    _lock: File,
}

impl FileStorage {
    /// Opens a data folder, creating it if missing, and truncates an unfinished last write.
    pub fn open(folder: impl Into<PathBuf>) -> Result<Self> {
        let folder = folder.into();
        fs::create_dir_all(&folder).map_err(storage_error)?;
        sync_folder(folder.parent())?;
        let lock = lock_folder(&folder)?;
        finish_clear(&folder)?;
        let snapshot = read_snapshot(&folder)?;
        let state = read_log(&folder, snapshot)?;
        let log =
            OpenOptions::new().append(true).open(folder.join(LOG_FILE)).map_err(storage_error)?;
        Ok(Self { folder, log, state, failed: false, _lock: lock })
    }

    /// Orders that the folder is emptied when it is next opened. The order is durable on return. A
    /// power loss while files are removed can keep any of them, and a storage that is still open can
    /// write again, so that removal right away could leave a part of the state.
    pub fn clear_at_next_open(folder: &Path) -> Result<()> {
        write_file(folder, CLEAR_FILE, &[])
    }

    fn write_all(&mut self, writes: &[StorageWrite]) -> Result<()> {
        let mut records = Vec::new();
        for write in writes {
            self.state.apply(write);
            match write {
                StorageWrite::HardState(hard_state) => records.push(Record::HardState(*hard_state)),
                StorageWrite::Append(entries) => records.push(Record::Append(entries.clone())),
                StorageWrite::Truncate(from) => records.push(Record::Truncate(*from)),
                StorageWrite::Snapshot(snapshot) => {
                    records.clear();
                    self.write_snapshot(snapshot)?;
                }
            }
        }
        if records.is_empty() {
            return Ok(());
        }
        self.log.write_all(&frame::encode(&records)?).map_err(storage_error)?;
        self.log.sync_data().map_err(storage_error)
    }

    /// Writes the snapshot file, then a log file that starts after the snapshot.
    fn write_snapshot(&mut self, snapshot: &Arc<Snapshot>) -> Result<()> {
        let mut bytes = frame::encode(&snapshot.meta)?;
        bytes.extend_from_slice(&snapshot.state);
        write_file(&self.folder, SNAPSHOT_FILE, &bytes)?;
        let hard_state = self.state.hard_state.map(Record::HardState);
        let entries = Record::Append(self.state.entries.clone());
        let records: Vec<Record> = hard_state.into_iter().chain([entries]).collect();
        write_file(&self.folder, LOG_FILE, &frame::encode(&records)?)?;
        let path = self.folder.join(LOG_FILE);
        self.log = OpenOptions::new().append(true).open(path).map_err(storage_error)?;
        Ok(())
    }
}

impl Storage for FileStorage {
    fn load(&mut self) -> Result<DurableState> {
        Ok(self.state.clone())
    }

    fn write(&mut self, writes: &[StorageWrite]) -> Result<()> {
        if self.failed {
            return Err(Error::fault(Code::StorageFailed, "an earlier write failed"));
        }
        let result = self.write_all(writes);
        self.failed = result.is_err();
        result
    }
}

fn storage_error(error: std::io::Error) -> Error {
    Error::fault(Code::StorageFailed, error.to_string())
}

fn lock_folder(folder: &Path) -> Result<File> {
    let lock = File::create(folder.join(LOCK_FILE)).map_err(storage_error)?;
    match lock.try_lock() {
        Ok(()) => Ok(lock),
        Err(TryLockError::Error(error)) => Err(storage_error(error)),
        Err(TryLockError::WouldBlock) => {
            Err(Error::fault(Code::StorageFailed, "the data folder is in use"))
        }
    }
}

fn sync_folder(folder: Option<&Path>) -> Result<()> {
    let folder = match folder {
        Some(path) if path.as_os_str().is_empty() => Path::new("."),
        Some(path) => path,
        None => return Ok(()),
    };
    File::open(folder).and_then(|f| f.sync_all()).map_err(storage_error)
}

/// Replaces a file atomically.
fn write_file(folder: &Path, name: &str, bytes: &[u8]) -> Result<()> {
    let partial = folder.join(name).with_extension(PARTIAL_EXTENSION);
    let mut file = File::create(&partial).map_err(storage_error)?;
    file.write_all(bytes).map_err(storage_error)?;
    file.sync_all().map_err(storage_error)?;
    fs::rename(&partial, folder.join(name)).map_err(storage_error)?;
    sync_folder(Some(folder))
}

/// Empties the folder if that was ordered.
fn finish_clear(folder: &Path) -> Result<()> {
    if read_file(folder, CLEAR_FILE)?.is_none() {
        return Ok(());
    }
    remove_file(folder, LOG_FILE)?;
    remove_file(folder, SNAPSHOT_FILE)?;
    sync_folder(Some(folder))?;
    remove_file(folder, CLEAR_FILE)?;
    sync_folder(Some(folder))
}

fn remove_file(folder: &Path, name: &str) -> Result<()> {
    match fs::remove_file(folder.join(name)) {
        Err(e) if e.kind() != ErrorKind::NotFound => Err(storage_error(e)),
        _ => Ok(()),
    }
}

fn read_file(folder: &Path, name: &str) -> Result<Option<Vec<u8>>> {
    match fs::read(folder.join(name)) {
        Ok(bytes) => Ok(Some(bytes)),
        Err(e) if e.kind() == ErrorKind::NotFound => Ok(None),
        Err(e) => Err(storage_error(e)),
    }
}

fn read_snapshot(folder: &Path) -> Result<Option<Arc<Snapshot>>> {
    let Some(bytes) = read_file(folder, SNAPSHOT_FILE)? else { return Ok(None) };
    let (meta, state) = frame::decode::<SnapshotMeta>(&bytes, Code::SnapshotCorrupt)?;
    Snapshot::verified(meta, SharedBytes::from(state)).map(Some)
}

/// Reads the log that follows the snapshot and truncates an unfinished last frame.
fn read_log(folder: &Path, snapshot: Option<Arc<Snapshot>>) -> Result<DurableState> {
    let Some(bytes) = read_file(folder, LOG_FILE)? else {
        if snapshot.is_some() {
            return Err(Error::fault(Code::RecordCorrupt, "the log file is missing"));
        }
        write_file(folder, LOG_FILE, &[])?;
        return Ok(DurableState::default());
    };
    let (records, len) = frame::scan(&bytes)?;
    if len < bytes.len() {
        truncate_file(&folder.join(LOG_FILE), len)?;
    }
    let mut state = DurableState::default();
    for record in records {
        state.apply(&match record {
            Record::HardState(hard_state) => StorageWrite::HardState(hard_state),
            Record::Append(entries) => StorageWrite::Append(entries),
            Record::Truncate(from) => StorageWrite::Truncate(from),
        });
    }
    if let Some(snapshot) = snapshot {
        attach_snapshot(&mut state, snapshot);
    }
    Ok(state)
}

/// Combines a log with a snapshot. The log starts right after the snapshot unless the process
/// crashed after it replaced the snapshot file and before it replaced the log file.
fn attach_snapshot(state: &mut DurableState, snapshot: Arc<Snapshot>) {
    let next = snapshot.meta.index + 1;
    if state.entries.first().is_some_and(|e| e.index == next) {
        state.snapshot = Some(snapshot);
    } else {
        state.install_snapshot(&snapshot);
    }
}

fn truncate_file(path: &Path, len: usize) -> Result<()> {
    let file = OpenOptions::new().write(true).open(path).map_err(storage_error)?;
    file.set_len(len as u64).map_err(storage_error)?;
    file.sync_all().map_err(storage_error)
}
