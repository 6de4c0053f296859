//! Publication of configurations.

use {
    crate::control::{
        leader::calls::Leader,
        state::{Command, Effect},
    },
    bronzespool::{
        core::{Code, Digest, Key, Refusal, Service, ServiceSpec},
        flow::config::{ConfigOutcome, ConfigUpdate},
        wire::message::{CallResult, Published, Reply},
    },
};

impl Leader {
    pub(super) async fn publish(
        &self,
        base: Option<u64>,
        operation: Key,
        digest: Digest,
        services: Vec<ServiceSpec>,
        removed: Vec<Service>,
    ) -> CallResult {
        self.replica.read_barrier().await?;
        let known_outcome = self.replica.state().config().outcome(&operation, &digest);
        if let Some(outcome) = known_outcome {
            return reply(outcome);
        }
        let base = base.unwrap_or_else(|| self.replica.state().config().config().revision);
        let change = ConfigUpdate { base, operation, digest, services, removed };
        self.check_guarantees(&change)?;
        let at = self.replica.log_time();
        match self.replica.propose(&Command::Config { at, change }).await? {
            Effect::Config(outcome) => reply(outcome),
            _ => Err(Code::Internal.into()),
        }
    }
}

fn reply(outcome: ConfigOutcome) -> CallResult {
    match outcome {
        ConfigOutcome::Accepted { revision } => Ok(Reply::Published(Published { revision })),
        ConfigOutcome::Conflict { revision, winner } => {
            let winner = winner.map_or_else(String::new, |w| format!(" by operation {w}"));
            let message = format!("revision {revision}{winner} is in force: publish on that base");
            Err(Refusal::new(Code::Conflict, message))
        }
        ConfigOutcome::Reused => Err(Code::OperationReused.into()),
    }
}
