//! Sends consensus messages to the other replicas.

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

/// Most messages that wait for one replica. Older ones are dropped, since the consensus protocol
/// sends them again.
const QUEUE_LEN_MAX: usize = 256;
/// Most bytes of these messages, and of those that are delivered at once; one of any size is among them.
const QUEUE_MAX_BYTES: usize = 16 << 20;
const BATCH_MAX_BYTES: usize = 4 << 20;
/// Delay after a failed delivery.
const RETRY_DELAY: Duration = Duration::from_millis(30);

/// Outboxes for the other replicas.
pub(super) struct Transport {
    sender: Instance,
    addresses: Addresses,
    reply_timeout: Duration,
    outboxes: RefCell<HashMap<Instance, Rc<Outbox>>>,
}

struct Outbox {
    sender: Instance,
    link: Link<control::Client>,
    queue: RefCell<VecDeque<Vec<u8>>>,
    queued: Notify,
    reply_timeout: Duration,
}

impl Transport {
    /// Creates outboxes that start on first use. A delivery that is not answered within
    /// `reply_timeout` closes its connection.
    pub(super) fn new(sender: &Instance, addresses: Addresses, reply_timeout: Duration) -> Self {
        Self { sender: sender.clone(), addresses, reply_timeout, outboxes: RefCell::default() }
    }

    fn outbox(&self, to: &Instance) -> Option<Rc<Outbox>> {
        if let Some(known) = self.outboxes.borrow().get(to) {
            return Some(Rc::clone(known));
        }
        let outbox = Rc::new(Outbox {
            sender: self.sender.clone(),
            link: Link::new(self.addresses.get(to)?),
            queue: RefCell::default(),
            queued: Notify::new(),
            reply_timeout: self.reply_timeout,
        });
        spawn_local(Rc::clone(&outbox).run());
        self.outboxes.borrow_mut().insert(to.clone(), Rc::clone(&outbox));
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
        let size = |queue: &VecDeque<Vec<u8>>| queue.iter().map(Vec::len).sum::<usize>();
        while queue.len() >= QUEUE_LEN_MAX
            || !queue.is_empty() && size(&queue) + bytes.len() > QUEUE_MAX_BYTES
        {
            queue.pop_front();
        }
        queue.push_back(bytes);
        self.queued.notify_one();
    }

    async fn run(self: Rc<Self>) {
        loop {
            let batch = self.next_batch();
            if batch.is_empty() {
                self.queued.notified().await;
                continue;
            }
            if let Err(error) = self.deliver(&batch).await {
                log::debug!(peer:% = self.link.address(), error:%; "cannot deliver messages");
                sleep(RETRY_DELAY).await;
            }
        }
    }

    /// Takes the messages that are delivered next.
    fn next_batch(&self) -> Vec<Vec<u8>> {
        let mut queue = self.queue.borrow_mut();
        let mut size = 0;
        let fits = |bytes: &&Vec<u8>| {
            size += bytes.len();
            size <= BATCH_MAX_BYTES
        };
        let count = queue.iter().take_while(fits).count().max(1).min(queue.len());
        queue.drain(..count).collect()
    }

    async fn deliver(&self, batch: &[Vec<u8>]) -> Result<()> {
        let sender = self.sender.as_str();
        self.link
            .call(self.reply_timeout, |client| async move {
                let mut request = client.deliver_request();
                let mut params = request.get();
                params.set_from(sender);
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
