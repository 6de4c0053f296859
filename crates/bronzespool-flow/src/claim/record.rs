//! Log records of the claims, and the answers that they carry.

use {
    super::{ClaimId, Incarnation},
    bronzespool_core::{Code, Digest, Time},
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// One committed change of the claims.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// Log time: see [`super::Claims::clock`].
    pub at: Time,
    /// What changes.
    pub change: ClaimChange,
}

/// What a [`ClaimRecord`] changes.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ClaimChange {
    /// The key is taken for one attempt at one incarnation.
    Claimed {
        /// Claim.
        id: ClaimId,
        /// Digest of the request's body.
        digest: Digest,
        /// The only incarnation that may start this attempt.
        target: Incarnation,
        /// 1 for the first attempt, one more after each release.
        attempt: u32,
        /// End of the time in which the target accepts copies, on the target's clock.
        expires: Time,
    },
    /// The attempt ran and this is its answer.
    Answered {
        /// Claim.
        id: ClaimId,
        /// Attempt that ran.
        attempt: u32,
        /// Answer of the endpoint.
        answer: Answer,
    },
    /// The attempt never ran and never will: its fence succeeded, or it was never sent.
    Released {
        /// Claim.
        id: ClaimId,
        /// Attempt that did not run.
        attempt: u32,
    },
    /// The attempt started and its outcome cannot be learnt.
    OutcomeUnknown {
        /// Claim.
        id: ClaimId,
        /// Attempt that started.
        attempt: u32,
        /// Why the outcome is unknown.
        code: Code,
    },
    /// This incarnation, and every earlier one of the instance, has ended.
    IncarnationGone(Incarnation),
    /// Claims last changed before `records` become fingerprints; fingerprints made before `used`
    /// are forgotten.
    Expired {
        /// Bound for records, in log time.
        records_before: Time,
        /// Bound for fingerprints, in log time.
        keys_before: Time,
    },
}

/// An endpoint's whole answer.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// `Content-Type`, empty if the endpoint sent none.
    pub content_type: Arc<str>,
    /// The body, or what is left of a large one.
    pub body: AnswerBody,
}

/// Body of an [`Answer`].
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum AnswerBody {
    /// Every byte.
    Whole(Arc<[u8]>),
    /// Too large to keep: only the agent that ran the request may still hold it.
    Digest {
        /// Length in bytes.
        len: u64,
        /// Digest of the bytes.
        digest: Digest,
    },
}

impl Answer {
    /// Bytes of the body that are held here.
    pub fn body_bytes(&self) -> usize {
        match &self.body {
            AnswerBody::Whole(bytes) => bytes.len(),
            AnswerBody::Digest { .. } => 0,
        }
    }

    /// The same answer with only the digest of its body.
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
    /// The endpoint answered whole.
    Answered(Answer),
    /// No byte reached the endpoint.
    NotRun(Code),
    /// The endpoint may have run it; the answer cannot be learnt.
    Unknown(Code),
}
