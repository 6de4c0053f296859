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
const PING: Duration = Duration::from_millis(500);
/// Longest wait for such a call.
const PING_TIME: Duration = Duration::from_millis(1_000);
/// Failed calls in a row after which the process is not ready: an election is no reason.
const PINGS_LOST: u32 = 3;

/// Sets `ready` by whether control serves, for as long as this process lives; tells the leader the
/// address at which this process passes on calls.
pub async fn watch_control(
    leader_client: Rc<LeaderClient>,
    relay: Option<SocketAddr>,
    ready: Rc<Cell<bool>>,
) {
    let mut lost = PINGS_LOST;
    let mut answered = Instant::now();
    loop {
        lost = match leader_client.call(Call::Ping(relay), PING_TIME).await {
            Ok(_) => {
                answered = Instant::now();
                0
            }
            Err(_) => lost.saturating_add(1),
        };
        let now = lost < PINGS_LOST;
        if ready.replace(now) != now {
            let silent_ms = answered.elapsed().as_millis() as u64;
            event::ReadinessChanged { ready: now, silent_ms }.emit();
        }
        sleep(PING).await;
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
