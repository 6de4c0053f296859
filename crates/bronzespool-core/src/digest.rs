//! Digest of a request body.

use {
    serde::{Deserialize, Serialize},
    sha2::{Digest as _, Sha256},
};

/// SHA-256 of a request body. Distinguishes a retry of a request from the reuse of its idempotency
/// key with another body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Digest([u8; 32]);

impl Digest {
    /// Digest of `body`.
    pub fn of(body: &[u8]) -> Self {
        Self(Sha256::digest(body).into())
    }

    /// The 32 bytes.
    pub const fn bytes(&self) -> &[u8; 32] {
        &self.0
    }
}

impl From<[u8; 32]> for Digest {
    fn from(bytes: [u8; 32]) -> Self {
        Self(bytes)
    }
}
