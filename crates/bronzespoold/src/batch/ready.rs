//! Whether a process should take new connections: while control serves.

use {
    crate::{
        batch::leader_client::LeaderClient,
        http::{Answer, Handle, text},
        telemetry::{Event as _, event},
    },
    bronzespool::batch::message::Call,
    hyper::{Request, body::Incoming},
    std::{
        cell::Cell,
        net::SocketAddr,
        rc::Rc,
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

/// Time between two calls that tell whether control serves.
const PING_INTERVAL: Duration = Duration::from_millis(500);
/// Longest wait for such a call.
const PING_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Failed calls in a row after which the process is not ready: an election is no reason.
const FAILED_PINGS_MAX: u32 = 3;

/// Sets `ready` by whether control serves, for as long as this process lives; tells the leader the
/// address at which this process passes on calls.
pub async fn watch_control(
    leader_client: Rc<LeaderClient>,
    relay: Option<SocketAddr>,
    ready: Rc<Cell<bool>>,
) {
    let mut failed = FAILED_PINGS_MAX;
    let mut last_answer = Instant::now();
    loop {
        failed = match leader_client.call(Call::Ping(relay), PING_TIMEOUT).await {
            Ok(_) => {
                last_answer = Instant::now();
                0
            }
            Err(_) => failed.saturating_add(1),
        };
        let is_ready = failed < FAILED_PINGS_MAX;
        if ready.replace(is_ready) != is_ready {
            let silent_ms = last_answer.elapsed().as_millis() as u64;
            event::ReadinessChanged { ready: is_ready, silent_ms }.emit();
        }
        sleep(PING_INTERVAL).await;
    }
}

/// Tells balancers whether this process takes new connections.
pub(super) struct Readiness {
    ready: Rc<Cell<bool>>,
}

impl Readiness {
    /// Readiness that follows a flag.
    pub(super) const fn new(ready: Rc<Cell<bool>>) -> Self {
        Self { ready }
    }
}

impl Handle for Readiness {
    async fn handle(self: Rc<Self>, _: Request<Incoming>) -> Answer {
        text(if self.ready.get() { 200 } else { 503 }, String::new())
    }
}
