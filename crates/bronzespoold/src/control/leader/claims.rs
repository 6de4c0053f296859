//! Claims of protected requests.

use {
    crate::control::{
        leader::calls::Leader,
        replica::Result,
        state::{Command, Effect},
    },
    bronzespool::{
        core::{Code, Refusal},
        flow::claim::{self, ClaimId, ClaimOutcome, ClaimRequest, Completion, Decision},
        wire::message::{Answered, Claimed, Reply},
    },
    std::time::Duration,
};

/// When to come back if the claims are full.
const FULL_RETRY: Duration = Duration::from_secs(5);

impl Leader {
    pub(super) async fn claim(&self, request: &ClaimRequest) -> Answered {
        let now = self.replica.log_time();
        let decision = self.replica.state().claims().decide(&self.horizon, now, request);
        match decision {
            Decision::New(record) => self.claimed(record).await,
            Decision::Existing(existing) => {
                self.replica.read().await?;
                Ok(Reply::Claimed(Claimed::Existing(existing)))
            }
            Decision::Refused(code) => {
                self.replica.read().await?;
                Err(refusal(code))
            }
        }
    }

    async fn claimed(&self, record: claim::ClaimRecord) -> Answered {
        match self.commit_claim(record).await? {
            ClaimOutcome::Claimed { attempt } => Ok(Reply::Claimed(Claimed::New { attempt })),
            ClaimOutcome::Existing(existing) => Ok(Reply::Claimed(Claimed::Existing(existing))),
            ClaimOutcome::Refused(code) => Err(refusal(code)),
            _ => Err(Code::Internal.into()),
        }
    }

    pub(super) async fn look(&self, id: &ClaimId) -> Answered {
        self.replica.read().await?;
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
    ) -> Answered {
        self.replica.read().await?;
        let now = self.replica.log_time();
        let record =
            self.replica.state().claims().complete(&self.horizon, now, id, attempt, completion);
        if let Some(record) = record {
            self.commit_claim(record).await?;
        }
        Ok(Reply::Noted)
    }

    /// Expires what is past the horizon.
    pub(super) async fn expire_claims(&self) -> Result<()> {
        let now = self.replica.log_time();
        let record = self.replica.state().claims().expire(&self.horizon, now);
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
    if code == Code::Overloaded { refusal.retry_after(FULL_RETRY) } else { refusal }
}
