//! Identity of a claim and of the agent process that it names.

use {
    bronzespool_core::{Digest, Instance, Key, Kind, Service, Team},
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// Bytes in a [`Fingerprint`].
const FINGERPRINT_BYTES: usize = 16;

/// Identity of a protected request: a key means something only to its team, service and kind.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ClaimId {
    /// Team of the caller.
    pub team: Team,
    /// Service that was called.
    pub service: Service,
    /// Kind of the request.
    pub kind: Kind,
    /// Key chosen by the caller.
    pub key: Key,
}

impl ClaimId {
    /// First 16 bytes of the SHA-256 of the parts, separated by a byte that no part contains.
    pub fn fingerprint(&self) -> Fingerprint {
        let text = format!("{}\0{}\0{}\0{}", self.team, self.service, self.kind, self.key);
        let digest = Digest::of(text.as_bytes());
        let mut bytes = [0; FINGERPRINT_BYTES];
        bytes.copy_from_slice(&digest.bytes()[..FINGERPRINT_BYTES]);
        Fingerprint(bytes)
    }
}

impl fmt::Display for ClaimId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}/{}", self.team, self.service, self.kind, self.key)
    }
}

/// Compact stand-in for the id of an expired claim.
///
/// Two ids with one fingerprint are confused; the later one is then refused, never run twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fingerprint(pub [u8; FINGERPRINT_BYTES]);

/// One process of the agent beside an instance.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Incarnation {
    /// Instance of the agent.
    pub instance: Instance,
    /// Rises with each start of the agent; a number is never used again.
    pub number: u64,
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.instance, self.number)
    }
}
