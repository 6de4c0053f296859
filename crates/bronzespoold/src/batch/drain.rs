//! An operator's commands to drain a data centre and to revoke the drain.
//!
//! The state is read first, and the command is based on its revision. A copy of the command that is
//! delayed after that has no effect once another command has been applied. A command that conflicts
//! with another one is not retried on the newer revision; that is left to its sender.
//!
//! A copy that is processed late, for example by a process that was frozen, would read the newer
//! revision. A command is therefore dropped after the read if its sender has closed the connection.

use {
    crate::{
        batch::{CallError, LeaderClient, leader_client::Result},
        http::CallerPresence,
    },
    bronzespool::{
        batch::message::{Call, CenterCommand, Reply},
        core::{Code, Refusal},
    },
    std::{sync::Arc, time::Duration},
};

/// A command for a data centre.
#[derive(Clone, Debug)]
pub struct DrainRequest {
    /// The data centre.
    pub center: Arc<str>,
    /// Whether nothing more is started there from now on.
    pub drained: bool,
    /// Whether the settings of this process name the data centre.
    pub listed: bool,
    /// Whether its sender still waits for the answer.
    pub sender: CallerPresence,
}

impl LeaderClient {
    /// Sends a command for a data centre to the leader; it is in the log once this returns.
    ///
    /// # Errors
    ///
    /// [`CallError::Refused`] with [`Code::UnknownCenter`] if neither the settings nor a worker name
    /// the data centre, with [`Code::DeadlinePassed`] if the sender has closed the connection, and
    /// with [`Code::Conflict`] if another command came first; else as [`LeaderClient::call`].
    pub async fn set_drained(&self, request: DrainRequest, timeout: Duration) -> Result<()> {
        let end = self.clock().now() + timeout;
        let DrainRequest { center, drained, listed, sender } = request;
        let read = self.call(Call::ReadCenter(Arc::clone(&center)), timeout).await?;
        let Reply::Center { state, known } = read else { return Err(mismatch()) };
        if !known && !listed {
            let message = format!("neither the settings nor a worker name data centre {center}");
            return Err(CallError::Refused(Refusal::new(Code::UnknownCenter, message)));
        }
        if sender.is_gone() {
            return Err(CallError::Refused(Code::DeadlinePassed.into()));
        }
        let command = CenterCommand { center, drained, base: state.revision };
        let left = end.since(self.clock().now());
        match self.call(Call::SetCenter(command), left).await? {
            Reply::Done => Ok(()),
            _ => Err(mismatch()),
        }
    }
}

fn mismatch() -> CallError {
    CallError::Refused(Code::Internal.into())
}
