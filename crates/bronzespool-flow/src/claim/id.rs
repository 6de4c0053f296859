//! Identifiers of a claim and of the agent process that may run it.

use {
    bronzespool_core::{Digest, Instance, Key, Kind, Service, Team},
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// Length of a [`Fingerprint`] in bytes.
const FINGERPRINT_BYTES: usize = 16;

/// Identifies a protected request. A key is scoped to its team, service and kind.
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
    /// The first 16 bytes of the SHA-256 of all fields, separated by a zero byte, which no field
    /// contains.
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

/// Hash that stands for the id of an expired claim, to save memory.
///
/// If two ids have the same fingerprint, the later request is refused; nothing runs twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fingerprint(pub [u8; FINGERPRINT_BYTES]);

/// One run of the agent process of an instance.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Incarnation {
    /// Instance of the agent.
    pub instance: Instance,
    /// Rises with each start of the agent, and is never reused.
    pub number: u64,
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.instance, self.number)
    }
}
