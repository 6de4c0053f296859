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
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Pause where another call may come soon.
const BUSY_PAUSE: Duration = Duration::from_millis(50);
/// Pause where there is nothing to do at all.
const IDLE_PAUSE: Duration = Duration::from_secs(2);

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
    control: SocketAddr,
    kind: ExternalCallKind,
    services: Rc<O>,
) {
    let mut result = None;
    loop {
        let request = ExternalCallRequest { control, kind, result: result.take() };
        match leader_client.call(Call::External(Box::new(request)), CALL_TIMEOUT).await {
            Ok(Reply::External(Ok(call))) => result = execute(&*services, call).await,
            Ok(Reply::External(Err(is_busy))) => {
                sleep(if is_busy { BUSY_PAUSE } else { IDLE_PAUSE }).await;
            }
            Ok(other) => {
                event::ExternalReplyMismatched { reply: format!("{other:?}") }.emit();
                sleep(IDLE_PAUSE).await;
            }
            // The leader client has logged that control cannot be reached.
            Err(_) => sleep(IDLE_PAUSE).await,
        }
    }
}

async fn execute<O: ExternalServices>(services: &O, call: ExternalCall) -> Option<ExternalResult> {
    match call {
        ExternalCall::Ask(question) => {
            services.request_permits(&question).await.map(ExternalResult::Permitted)
        }
        ExternalCall::List => services.list_machines().await.map(ExternalResult::Listed),
        ExternalCall::TakeDown { wave, machine, epoch } => {
            let word = services.take_down(wave, &machine, epoch).await;
            Some(ExternalResult::TakenDown { wave, machine: Arc::clone(&machine), word })
        }
    }
}
