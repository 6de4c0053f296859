//! Readiness of a process: it accepts new connections only while control serves calls.

use {
    crate::{
        batch::leader_client::LeaderClient,
        http::{FullResponse, Handler, text_response},
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

/// Interval between two pings of control.
const PING_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout of one ping, retries included.
const PING_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Failed pings in a row after which the process is not ready. An election alone must not make it
/// unready.
const FAILED_PINGS_MAX: u32 = 3;

/// Pings control and keeps `ready` up to date; never returns. Each ping also tells the leader the
/// address `relay` at which this process relays the calls of others.
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

/// Handler that tells load balancers whether this process accepts new connections.
pub(super) struct Readiness {
    ready: Rc<Cell<bool>>,
}

impl Readiness {
    /// Readiness that reports the value of a shared flag.
    pub(super) const fn new(ready: Rc<Cell<bool>>) -> Self {
        Self { ready }
    }
}

impl Handler for Readiness {
    async fn handle(self: Rc<Self>, _: Request<Incoming>) -> FullResponse {
        text_response(if self.ready.get() { 200 } else { 503 }, String::new())
    }
}
