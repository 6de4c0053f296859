//! Makes calls to external services on behalf of the leader. Runs in the process of a control
//! instance.

use {
    crate::{
        batch::leader_client::LeaderClient,
        telemetry::{Event, event},
    },
    bronzespool::batch::message::{
        Call, ExternalCall, ExternalCallKind, ExternalCallRequest, ExternalResult, Machine,
        Permitted, Question, Reply, TakedownResult,
    },
    std::{net::SocketAddr, rc::Rc, time::Duration},
    tokio::time::sleep,
};

/// Timeout of a request to the leader, including the time for which the leader holds it open.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Pause before the next request if the leader expects another call soon.
const BUSY_PAUSE: Duration = Duration::from_millis(50);
/// Pause after a call without an answer, which may have been refused at once.
const FAILURE_PAUSE: Duration = Duration::from_millis(250);
/// Pause before the next request if there is nothing to do, or after a failure.
const IDLE_PAUSE: Duration = Duration::from_secs(2);

/// External services of the platform.
pub trait ExternalServices: 'static {
    /// Asks the advice service which workers may run a step; `None` without an answer.
    fn request_permits(&self, question: &Question) -> impl Future<Output = Option<Permitted>>;
    /// Lists all machines; `None` without an answer.
    fn list_machines(&self) -> impl Future<Output = Option<Vec<Machine>>>;
    /// Takes a machine down for a wave of maintenance.
    fn take_down(
        &self,
        wave: u64,
        machine: &str,
        epoch: u64,
    ) -> impl Future<Output = TakedownResult>;
}

/// Requests external calls of one kind from the leader, makes them and returns their results; never
/// returns itself. `control` is the address of the control instance in this process.
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
            Ok(Reply::External(Ok(call))) => {
                result = execute(&*services, call).await;
                if result.is_none() {
                    sleep(FAILURE_PAUSE).await;
                }
            }
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
            Some(match services.take_down(wave, &machine, epoch).await {
                TakedownResult::Fenced => ExternalResult::Fenced { epoch },
                word => ExternalResult::TakenDown { wave, machine, word },
            })
        }
    }
}
