//! Claims of protected requests, which run at most once.

use {
    crate::{
        control::{
            leader::calls::Leader,
            replica::Result,
            state::{Command, Effect},
        },
        telemetry::{Event as _, event},
    },
    bronzespool::{
        core::{Code, Refusal},
        flow::claim::{
            self, ClaimChange, ClaimId, ClaimOutcome, ClaimRequest, Completion, Decision,
            Incarnation,
        },
        wire::message::{CallResult, ClaimResult, Reply},
    },
    std::time::Duration,
};

/// Retry delay that callers are given while the claim table is full.
const FULL_RETRY_DELAY: Duration = Duration::from_secs(5);

impl Leader {
    pub(super) async fn claim(&self, request: &ClaimRequest) -> CallResult {
        let now = self.replica.log_time();
        let decision = self.replica.state().claims().decide(&self.retention, now, request);
        match decision {
            Decision::New(record) => self.commit_new_claim(record).await,
            Decision::Existing(existing) => {
                self.replica.read_barrier().await?;
                Ok(Reply::Claimed(ClaimResult::Existing(existing)))
            }
            Decision::Refused(code) => {
                self.replica.read_barrier().await?;
                Err(refusal(code))
            }
        }
    }

    async fn commit_new_claim(&self, record: claim::ClaimRecord) -> CallResult {
        match self.commit_claim(record).await? {
            ClaimOutcome::Claimed { attempt } => Ok(Reply::Claimed(ClaimResult::New { attempt })),
            ClaimOutcome::Existing(existing) => Ok(Reply::Claimed(ClaimResult::Existing(existing))),
            ClaimOutcome::Refused(code) => Err(refusal(code)),
            _ => Err(Code::Internal.into()),
        }
    }

    pub(super) async fn lookup_claim(&self, id: &ClaimId) -> CallResult {
        self.replica.read_barrier().await?;
        let state = self.replica.state();
        if state.claims().is_expired(id) {
            return Err(Code::KeyExpired.into());
        }
        Ok(Reply::Claim(state.claims().get(id).cloned()))
    }

    pub(super) async fn complete(
        &self,
        id: &ClaimId,
        attempt: u32,
        completion: &Completion,
    ) -> CallResult {
        self.replica.read_barrier().await?;
        let now = self.replica.log_time();
        let record =
            self.replica.state().claims().complete(&self.retention, now, id, attempt, completion);
        if let Some(record) = record {
            self.commit_claim(record).await?;
        }
        Ok(Reply::Acknowledged)
    }

    /// Releases the open claims of an incarnation that stops as planned. Claims that name it are
    /// refused from now on.
    pub(super) async fn leave(&self, incarnation: Incarnation) -> CallResult {
        let instance = incarnation.instance.clone();
        let change = ClaimChange::IncarnationLeft(incarnation);
        let record = claim::ClaimRecord { at: self.replica.log_time(), change };
        if let ClaimOutcome::Released(ids) = self.commit_claim(record).await? {
            event::AgentLeft { instance, released: ids.len() as u64 }.emit();
        }
        Ok(Reply::Acknowledged)
    }

    /// Expires the claims whose retention time has passed.
    pub(super) async fn expire_claims(&self) -> Result<()> {
        let now = self.replica.log_time();
        let record = self.replica.state().claims().expire(&self.retention, now);
        if let Some(record) = record {
            self.commit_claim(record).await?;
        }
        Ok(())
    }

    async fn commit_claim(&self, record: claim::ClaimRecord) -> Result<ClaimOutcome> {
        match self.replica.propose(&Command::Claim(record)).await? {
            Effect::Claim(applied) => Ok(applied),
            _ => Err(Code::Internal.into()),
        }
    }
}

fn refusal(code: Code) -> Refusal {
    let refusal = Refusal::from(code);
    if code == Code::Overloaded { refusal.retry_after(FULL_RETRY_DELAY) } else { refusal }
}
