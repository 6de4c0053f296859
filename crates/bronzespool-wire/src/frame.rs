//! Versioned frames: one version byte, four bytes of CRC-32, then the value encoded by postcard.

use {
    bronzespool_core::Code,
    displaydoc::Display,
    serde::{Serialize, de::DeserializeOwned},
};

/// Version of the messages that this program writes.
pub const VERSION: u8 = 1;
/// Oldest version that this program reads.
pub const VERSION_MIN: u8 = 1;
/// Bytes of version and checksum before the value.
const HEADER_BYTES: usize = 5;

/// Result of decoding a frame.
pub type Result<T> = std::result::Result<T, Error>;

/// Why bytes cannot be decoded as a frame.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Error {
    /// a message of {0} bytes is shorter than its head
    Short(usize),
    /// message version {0} is not known here
    Version(u8),
    /// the message does not match its checksum
    Checksum,
    /// the message's value cannot be read: {0}
    Value(String),
}

impl std::error::Error for Error {}

impl Error {
    /// Result code that answers a message with this error.
    pub const fn code(&self) -> Code {
        match self {
            Self::Version(_) => Code::VersionUnknown,
            _ => Code::MessageCorrupt,
        }
    }
}

/// Encodes a value as a frame.
///
/// # Panics
///
/// If the value's `Serialize` implementation fails; those of the message types never do.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    let mut bytes = vec![0; HEADER_BYTES];
    bytes = postcard::to_extend(value, bytes).expect("message types serialize");
    bytes[0] = VERSION;
    let sum = checksum(&bytes);
    bytes[1..HEADER_BYTES].copy_from_slice(&sum);
    bytes
}

/// Decodes a frame.
///
/// # Errors
///
/// Rejects frames with changed, missing or trailing bytes and frames of an unknown version.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    if bytes.len() < HEADER_BYTES {
        return Err(Error::Short(bytes.len()));
    }
    if checksum(bytes) != bytes[1..HEADER_BYTES] {
        return Err(Error::Checksum);
    }
    if bytes[0] < VERSION_MIN || bytes[0] > VERSION {
        return Err(Error::Version(bytes[0]));
    }
    let (value, rest) = postcard::take_from_bytes(&bytes[HEADER_BYTES..])
        .map_err(|e| Error::Value(e.to_string()))?;
    if rest.is_empty() { Ok(value) } else { Err(Error::Value("trailing bytes".to_owned())) }
}

fn checksum(bytes: &[u8]) -> [u8; 4] {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&bytes[..1]);
    hasher.update(&bytes[HEADER_BYTES..]);
    hasher.finalize().to_le_bytes()
}
