//! Baseline to compare with: round robin straight to the endpoints, no limits, naive retries.

use {
    crate::generate::{
        Class, Pool, Target, Wish,
        target::{plain_class, turn},
    },
    std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration},
    tokio::{
        sync::Semaphore,
        task::spawn_local,
        time::{Instant, timeout, timeout_at},
    },
};

/// Most times that a request is sent.
const TRIES: u32 = 3;
/// Time after which a try is given up.
const TRY_TIME: Duration = Duration::from_secs(1);

/// An endpoint that works on as many requests at once as it has slots and queues the others.
struct Endpoint {
    pool: Pool,
    slots: Semaphore,
}

/// Endpoints called in turn; a try that fails or takes too long is sent to the next endpoint.
///
/// A try that its caller has given up keeps its place in the endpoint's queue and its slot, as at
/// an endpoint that does not know of its caller's deadline.
pub struct Baseline {
    endpoints: Vec<Rc<Endpoint>>,
    next: Cell<usize>,
}

impl Baseline {
    /// A baseline over endpoints with `slots` slots each.
    pub fn new(addresses: &[SocketAddr], slots: u32) -> Rc<Self> {
        let endpoint = |address: &SocketAddr| {
            let slots = Semaphore::new(slots as usize);
            Rc::new(Endpoint { pool: Pool::new(*address), slots })
        };
        Rc::new(Self { endpoints: addresses.iter().map(endpoint).collect(), next: Cell::new(0) })
    }
}

impl Baseline {
    /// Drops what waits in the endpoints' queues.
    pub fn close(&self) {
        self.endpoints.iter().for_each(|e| e.slots.close());
    }
}

impl Endpoint {
    async fn work(&self, wish: &Wish) -> Class {
        let Ok(_slot) = self.slots.acquire().await else {
            return Class::Failed;
        };
        let Ok(request) = wish.request(&wish.path()) else {
            return Class::Failed;
        };
        match self.pool.send(request).await {
            Ok(reply) => plain_class(wish, &reply),
            Err(_) => Class::Failed,
        }
    }
}

impl Target for Baseline {
    async fn send(&self, wish: &Wish) -> Class {
        let end = Instant::now() + wish.item.deadline;
        let tries = async {
            for _ in 0..TRIES {
                let endpoint = Rc::clone(turn(&self.endpoints, &self.next));
                let copy = wish.clone();
                let work = spawn_local(async move { endpoint.work(&copy).await });
                if let Ok(Ok(class @ (Class::Good | Class::Wrong))) = timeout(TRY_TIME, work).await
                {
                    return class;
                }
            }
            Class::Failed
        };
        timeout_at(end, tries).await.unwrap_or(Class::Failed)
    }
}
