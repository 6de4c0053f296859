//! Sends messages of the log to the other replicas.

use {
    crate::{
        control::addresses::Addresses,
        telemetry::{Event as _, event},
    },
    bronzespool::{
        consensus::Message,
        core::{HashMap, Instance},
        wire::{
            bronzespool_capnp::control,
            link::{Link, Result},
        },
    },
    std::{cell::RefCell, collections::VecDeque, rc::Rc, time::Duration},
    tokio::{sync::Notify, task::spawn_local, time::sleep},
};

/// Messages that wait for one replica; older ones are dropped, the log sends them again.
const QUEUE_MAX: usize = 256;
/// Pause after a failed delivery.
const PAUSE: Duration = Duration::from_millis(30);

/// Outboxes of the other replicas.
pub(super) struct Peers {
    own: Instance,
    addresses: Addresses,
    silence: Duration,
    boxes: RefCell<HashMap<Instance, Rc<Outbox>>>,
}

struct Outbox {
    own: Instance,
    link: Link<control::Client>,
    queue: RefCell<VecDeque<Vec<u8>>>,
    filled: Notify,
    silence: Duration,
}

impl Peers {
    /// Senders to the other replicas, started on first use; a delivery unanswered for `silence`
    /// ends its connection.
    pub(super) fn new(own: &Instance, addresses: Addresses, silence: Duration) -> Self {
        Self { own: own.clone(), addresses, silence, boxes: RefCell::default() }
    }

    fn outbox(&self, to: &Instance) -> Option<Rc<Outbox>> {
        if let Some(known) = self.boxes.borrow().get(to) {
            return Some(Rc::clone(known));
        }
        let outbox = Rc::new(Outbox {
            own: self.own.clone(),
            link: Link::new(self.addresses.get(to)?),
            queue: RefCell::default(),
            filled: Notify::new(),
            silence: self.silence,
        });
        spawn_local(Rc::clone(&outbox).run());
        self.boxes.borrow_mut().insert(to.clone(), Rc::clone(&outbox));
        Some(outbox)
    }

    /// Queues a message.
    pub(super) fn send(&self, to: &Instance, message: &Message) {
        let Some(outbox) = self.outbox(to) else {
            return;
        };
        match message.encode() {
            Ok(bytes) => outbox.push(bytes),
            Err(error) => event::MessageUnwritten { error: error.to_string() }.emit(),
        }
    }
}

impl Outbox {
    fn push(&self, bytes: Vec<u8>) {
        let mut queue = self.queue.borrow_mut();
        if queue.len() >= QUEUE_MAX {
            queue.pop_front();
        }
        queue.push_back(bytes);
        self.filled.notify_one();
    }

    async fn run(self: Rc<Self>) {
        loop {
            let batch: Vec<_> = self.queue.borrow_mut().drain(..).collect();
            if batch.is_empty() {
                self.filled.notified().await;
                continue;
            }
            if let Err(error) = self.deliver(&batch).await {
                log::debug!(peer:% = self.link.address(), error:%; "messages were not delivered");
                sleep(PAUSE).await;
            }
        }
    }

    async fn deliver(&self, batch: &[Vec<u8>]) -> Result<()> {
        let own = self.own.as_str();
        self.link
            .call(self.silence, |client| async move {
                let mut request = client.deliver_request();
                let mut params = request.get();
                params.set_from(own);
                let count = u32::try_from(batch.len()).unwrap_or(u32::MAX);
                let mut list = params.init_messages(count);
                for (i, bytes) in (0..count).zip(batch) {
                    list.set(i, bytes);
                }
                request.send().promise.await?;
                Ok(())
            })
            .await
    }
}
