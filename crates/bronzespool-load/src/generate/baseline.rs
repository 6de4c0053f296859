//! Baseline for comparison: round robin over the endpoints without the system, no limits, naive
//! retries.

use {
    crate::generate::{
        LoadRequest, Pool, ResultClass, Target,
        target::{classify_body, round_robin},
    },
    std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration},
    tokio::{
        sync::Semaphore,
        task::spawn_local,
        time::{Instant, timeout, timeout_at},
    },
};

/// Largest number of times that a request is sent.
const ATTEMPTS_MAX: u32 = 3;
/// Time after which an attempt is abandoned.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(1);

/// An endpoint that serves as many requests at once as it has slots and queues the others.
struct Endpoint {
    pool: Pool,
    slots: Semaphore,
}

/// Endpoints called in round robin; a request whose attempt fails or times out is sent to the next
/// endpoint.
///
/// An abandoned attempt keeps its place in the endpoint's queue and its slot, as at an endpoint
/// that does not know the deadline of its caller.
pub struct BaselineTarget {
    endpoints: Vec<Rc<Endpoint>>,
    next: Cell<usize>,
}

impl BaselineTarget {
    /// Creates a baseline over endpoints with `slots` slots each.
    pub fn new(addresses: &[SocketAddr], slots: u32) -> Rc<Self> {
        let endpoint = |address: &SocketAddr| {
            let slots = Semaphore::new(slots as usize);
            Rc::new(Endpoint { pool: Pool::new(*address), slots })
        };
        Rc::new(Self { endpoints: addresses.iter().map(endpoint).collect(), next: Cell::new(0) })
    }
}

impl BaselineTarget {
    /// Fails all requests that wait in the queues of the endpoints.
    pub fn close(&self) {
        self.endpoints.iter().for_each(|e| e.slots.close());
    }
}

impl Endpoint {
    async fn serve(&self, request: &LoadRequest) -> ResultClass {
        let Ok(_slot) = self.slots.acquire().await else {
            return ResultClass::Failed;
        };
        let Ok(http_request) = request.to_http(&request.path()) else {
            return ResultClass::Failed;
        };
        match self.pool.send(http_request).await {
            Ok(response) => classify_body(request, &response),
            Err(_) => ResultClass::Failed,
        }
    }
}

impl Target for BaselineTarget {
    async fn send(&self, request: &LoadRequest) -> ResultClass {
        let end = Instant::now() + request.template.deadline;
        let attempts = async {
            for _ in 0..ATTEMPTS_MAX {
                let endpoint = Rc::clone(round_robin(&self.endpoints, &self.next));
                let request = request.clone();
                let attempt = spawn_local(async move { endpoint.serve(&request).await });
                if let Ok(Ok(class @ (ResultClass::Good | ResultClass::Wrong))) =
                    timeout(ATTEMPT_TIMEOUT, attempt).await
                {
                    return class;
                }
            }
            ResultClass::Failed
        };
        timeout_at(end, attempts).await.unwrap_or(ResultClass::Failed)
    }
}
