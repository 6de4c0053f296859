//! Log records of claims, and the answers that they carry.

use {
    super::{ClaimId, Incarnation},
    bronzespool_core::{Code, Digest, Time},
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// One log record of the claims.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// Log time of the record; see [`super::Claims::clock`].
    pub at: Time,
    /// The change.
    pub change: ClaimChange,
}

/// The change that a [`ClaimRecord`] makes.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ClaimChange {
    /// Claims the key for one attempt at one incarnation.
    Claimed {
        /// Id of the claim.
        id: ClaimId,
        /// Digest of the request's body.
        digest: Digest,
        /// The only incarnation that may start this attempt.
        target: Incarnation,
        /// 1 for the first attempt, and one more after each release.
        attempt: u32,
        /// Time on the target's clock from which the target accepts no copy.
        expires: Time,
    },
    /// The attempt ran, and this is its answer.
    Answered {
        /// Id of the claim.
        id: ClaimId,
        /// Attempt that ran.
        attempt: u32,
        /// Answer of the endpoint.
        answer: Answer,
    },
    /// The attempt never ran and never will, because it was fenced or never sent.
    Released {
        /// Id of the claim.
        id: ClaimId,
        /// Attempt that did not run.
        attempt: u32,
    },
    /// The attempt started, and its outcome cannot be determined.
    OutcomeUnknown {
        /// Id of the claim.
        id: ClaimId,
        /// Attempt that started.
        attempt: u32,
        /// Why the outcome is unknown.
        code: Code,
    },
    /// This incarnation and every earlier one of the instance have ended.
    IncarnationGone(Incarnation),
    /// Replaces claims that last changed before `records_before` by fingerprints, and drops
    /// fingerprints made before `keys_before`.
    Expired {
        /// Bound for claims, in log time.
        records_before: Time,
        /// Bound for fingerprints, in log time.
        keys_before: Time,
    },
    /// This incarnation has stopped as planned: it has reported the outcome of every attempt that
    /// it started, and starts no other.
    IncarnationLeft(Incarnation),
}

/// A complete answer of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// `Content-Type`; empty if the endpoint sent none.
    pub content_type: Arc<str>,
    /// The body, or the digest of a large one.
    pub body: AnswerBody,
}

/// Body of an [`Answer`].
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum AnswerBody {
    /// All bytes.
    Whole(Arc<[u8]>),
    /// Too large to keep here. The agent that ran the request may still hold the body.
    Digest {
        /// Length in bytes.
        len: u64,
        /// Digest of the bytes.
        digest: Digest,
    },
}

impl Answer {
    /// Size of the body held here in bytes.
    pub fn body_bytes(&self) -> usize {
        match &self.body {
            AnswerBody::Whole(bytes) => bytes.len(),
            AnswerBody::Digest { .. } => 0,
        }
    }

    /// The same answer with the digest in place of the body.
    #[must_use]
    pub fn without_body(&self) -> Self {
        let body = match &self.body {
            AnswerBody::Whole(bytes) => {
                AnswerBody::Digest { len: bytes.len() as u64, digest: Digest::of(bytes) }
            }
            body @ AnswerBody::Digest { .. } => body.clone(),
        };
        Self { status: self.status, content_type: Arc::clone(&self.content_type), body }
    }
}

/// How a started attempt ended at its agent.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Completion {
    /// The endpoint answered completely.
    Answered(Answer),
    /// The request did not run: no byte of it reached the endpoint.
    NotRun(Code),
    /// The endpoint may have run the request, but its answer is not known.
    Unknown(Code),
}
