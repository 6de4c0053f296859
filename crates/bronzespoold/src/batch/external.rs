//! Does chores for the leader at services outside of the system, beside a control instance.

use {
    crate::{
        batch::leader_client::LeaderClient,
        telemetry::{Event, event},
    },
    bronzespool::batch::message::{
        Call, ExternalCall, ExternalCallKind, ExternalCallRequest, ExternalResult, Machine,
        Permitted, Question, Reply, TakedownResult,
    },
    std::{net::SocketAddr, rc::Rc, sync::Arc, time::Duration},
    tokio::time::sleep,
};

/// Longest wait for the leader, its own wait included.
const CALL_TIME: Duration = Duration::from_millis(1_500);
/// Pause where another chore may come soon.
const SOON: Duration = Duration::from_millis(50);
/// Pause where there is nothing to do at all.
const IDLE: Duration = Duration::from_secs(2);

/// Services outside of the system.
pub trait ExternalServices: 'static {
    /// Asks which workers may run a step; none without an answer.
    fn request_permits(&self, question: &Question) -> impl Future<Output = Option<Permitted>>;
    /// Lists all machines; none without an answer.
    fn list_machines(&self) -> impl Future<Output = Option<Vec<Machine>>>;
    /// Takes a machine down for a wave of maintenance.
    fn take_down(
        &self,
        wave: u64,
        machine: &str,
        epoch: u64,
    ) -> impl Future<Output = TakedownResult>;
}

/// Does chores of one kind for as long as this process lives; `own` is the address of the control
/// instance that it runs.
pub async fn run_external_calls<O: ExternalServices>(
    leader_client: Rc<LeaderClient>,
    own: SocketAddr,
    duty: ExternalCallKind,
    outside: Rc<O>,
) {
    let mut outcome = None;
    loop {
        let helper = ExternalCallRequest { control: own, kind: duty, result: outcome.take() };
        match leader_client.call(Call::External(Box::new(helper)), CALL_TIME).await {
            Ok(Reply::External(Ok(chore))) => outcome = carry_out(&*outside, chore).await,
            Ok(Reply::External(Err(soon))) => sleep(if soon { SOON } else { IDLE }).await,
            Ok(other) => {
                event::ExternalReplyMismatched { reply: format!("{other:?}") }.emit();
                sleep(IDLE).await;
            }
            // The leader client has logged that control cannot be reached.
            Err(_) => sleep(IDLE).await,
        }
    }
}

async fn carry_out<O: ExternalServices>(
    outside: &O,
    chore: ExternalCall,
) -> Option<ExternalResult> {
    match chore {
        ExternalCall::Ask(question) => {
            outside.request_permits(&question).await.map(ExternalResult::Permitted)
        }
        ExternalCall::List => outside.list_machines().await.map(ExternalResult::Listed),
        ExternalCall::TakeDown { wave, machine, epoch } => {
            let word = outside.take_down(wave, &machine, epoch).await;
            Some(ExternalResult::TakenDown { wave, machine: Arc::clone(&machine), word })
        }
    }
}
