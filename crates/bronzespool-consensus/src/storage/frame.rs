//! Frames of the log file: batches of records with a length, a version and checksums.
//!
//! A frame is written only after the previous one is durable, so only the last frame can be
//! unfinished. The sectors of it that were not written read as zeros or lie beyond the end of the
//! file.

use {
    super::HardState,
    crate::{
        entry::{Entry, Index},
        error::{Error, Result},
    },
    bronzespool_core::Code,
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    std::ops::Range,
};

/// Version of the file format.
const VERSION: u8 = 1;
/// Length of a header: version, body length, body checksum and header checksum.
const HEADER_BYTES: usize = 13;
/// Offset of the header checksum, which covers the header bytes before it.
const HEADER_CRC_OFFSET: usize = 9;
/// Unit in bytes that a disk writes atomically.
const SECTOR_BYTES: usize = 512;

/// A record in a frame of the log file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum Record {
    HardState(HardState),
    Append(Vec<Entry>),
    Truncate(Index),
}

struct Header {
    version: u8,
    len: usize,
    crc: u32,
}

/// Result of reading a frame at an offset.
enum FrameRead {
    Frame(Range<usize>),
    /// Unfinished write with nothing after it.
    Torn,
    Corrupt,
    UnknownVersion(u8),
}

/// Encodes a value as a single frame.
pub(super) fn encode<T: Serialize + ?Sized>(value: &T) -> Result<Vec<u8>> {
    let internal = |e: &dyn std::fmt::Display| Error::fault(Code::Internal, format!("frame: {e}"));
    let bytes = vec![0; HEADER_BYTES];
    let mut bytes = postcard::to_extend(value, bytes).map_err(|e| internal(&e))?;
    let body = &bytes[HEADER_BYTES..];
    let len = u32::try_from(body.len()).map_err(|e| internal(&e))?;
    let crc = crc32fast::hash(body);
    bytes[0] = VERSION;
    bytes[1..5].copy_from_slice(&len.to_le_bytes());
    bytes[5..HEADER_CRC_OFFSET].copy_from_slice(&crc.to_le_bytes());
    let header_crc = crc32fast::hash(&bytes[..HEADER_CRC_OFFSET]);
    bytes[HEADER_CRC_OFFSET..HEADER_BYTES].copy_from_slice(&header_crc.to_le_bytes());
    Ok(bytes)
}

/// Decodes the frame at the start. Returns the value and the remaining bytes.
pub(super) fn decode<T: DeserializeOwned>(bytes: &[u8], code: Code) -> Result<(T, &[u8])> {
    match read_frame(bytes, 0) {
        FrameRead::Frame(body) => Ok((parse(&bytes[body.clone()], code)?, &bytes[body.end..])),
        FrameRead::UnknownVersion(version) => Err(unknown_version(version)),
        FrameRead::Torn | FrameRead::Corrupt => Err(Error::fault(code, "checksum")),
    }
}

/// Reads all frames. Returns the records and the length without an unfinished last frame.
pub(super) fn scan(bytes: &[u8]) -> Result<(Vec<Record>, usize)> {
    let mut records = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        match read_frame(bytes, at) {
            FrameRead::Frame(body) => {
                records.extend(parse::<Vec<Record>>(&bytes[body.clone()], Code::RecordCorrupt)?);
                at = body.end;
            }
            FrameRead::Torn => break,
            FrameRead::UnknownVersion(version) => return Err(unknown_version(version)),
            FrameRead::Corrupt => {
                return Err(Error::fault(Code::RecordCorrupt, format!("frame at byte {at}")));
            }
        }
    }
    Ok((records, at))
}

fn unknown_version(version: u8) -> Error {
    Error::fault(Code::VersionUnknown, format!("file version {version}"))
}

fn parse<T: DeserializeOwned>(body: &[u8], code: Code) -> Result<T> {
    match postcard::take_from_bytes(body) {
        Ok((value, [])) => Ok(value),
        Ok(_) => Err(Error::fault(code, "trailing bytes")),
        Err(e) => Err(Error::fault(code, e.to_string())),
    }
}

/// Reads the header at an offset, or `None` if its checksum does not match.
fn read_header(bytes: &[u8], at: usize) -> Option<Header> {
    let header = bytes.get(at..at + HEADER_BYTES)?;
    let word =
        |i: usize| u32::from_le_bytes([header[i], header[i + 1], header[i + 2], header[i + 3]]);
    if crc32fast::hash(&header[..HEADER_CRC_OFFSET]) != word(HEADER_CRC_OFFSET) {
        return None;
    }
    Some(Header { version: header[0], len: usize::try_from(word(1)).ok()?, crc: word(5) })
}

fn read_frame(bytes: &[u8], at: usize) -> FrameRead {
    let start = at + HEADER_BYTES;
    let Some(header) = read_header(bytes, at) else {
        let is_short = start > bytes.len();
        let sectors_end = start.next_multiple_of(SECTOR_BYTES).min(bytes.len());
        let is_torn = is_short || has_zeroed_sector(bytes, at..sectors_end);
        return if is_torn && !has_later_frame(bytes, at) {
            FrameRead::Torn
        } else {
            FrameRead::Corrupt
        };
    };
    if header.version != VERSION {
        return FrameRead::UnknownVersion(header.version);
    }
    let end = start.saturating_add(header.len);
    let Some(body) = bytes.get(start..end) else { return FrameRead::Torn };
    if crc32fast::hash(body) == header.crc {
        return FrameRead::Frame(start..end);
    }
    let is_torn = end == bytes.len() && has_zeroed_sector(bytes, at..end);
    if is_torn { FrameRead::Torn } else { FrameRead::Corrupt }
}

/// Whether the range contains only zeros in some sector, as if that sector was not written.
fn has_zeroed_sector(bytes: &[u8], range: Range<usize>) -> bool {
    let first = range.start / SECTOR_BYTES;
    let last = (range.end - 1) / SECTOR_BYTES;
    (first..=last).any(|sector| {
        let from = range.start.max(sector * SECTOR_BYTES);
        let to = range.end.min((sector + 1) * SECTOR_BYTES);
        bytes[from..to].iter().all(|&b| b == 0)
    })
}

/// Whether a valid frame starts at any later offset.
fn has_later_frame(bytes: &[u8], at: usize) -> bool {
    (at + 1..bytes.len()).any(|next| match read_header(bytes, next) {
        Some(h) => {
            let start = next + HEADER_BYTES;
            bytes.get(start..start + h.len).is_some_and(|body| crc32fast::hash(body) == h.crc)
        }
        None => false,
    })
}
