//! Pushes changes to one session, one at a time.

use {
    crate::{
        control::{
            hub::{assign::assignments, sessions::Hub},
            replica::Epoch,
        },
        telemetry::{Event as _, event},
    },
    bronzespool::{
        core::Instance,
        flow::{session::SessionId, view::Delta},
        wire::{
            bronzespool_capnp::sink,
            frame,
            message::{Assignment, Role, Update},
        },
    },
    std::{
        rc::{Rc, Weak},
        time::Duration,
    },
    tokio::time::{Instant, timeout, timeout_at},
};

/// Longest wait for an acknowledgement; the session ends after it.
pub(in crate::control) const PUSH_TIME: Duration = Duration::from_secs(2);

/// Longest wait for the holder's first renewal, which tells that it holds the view of the welcome.
const CONFIRM_TIME: Duration = Duration::from_secs(2);

/// The pushing task of a session.
pub(super) struct Pump {
    hub: Weak<Hub>,
    id: SessionId,
    role: Role,
    instance: Instance,
    sink: sink::Client,
    /// Index up to which nothing is left to push.
    sent: u64,
    /// Index of the holder's view.
    held: u64,
    tasks: Vec<Assignment>,
}

/// What the session needs next.
enum Next {
    /// Updates to push; afterwards the session has acknowledged the index.
    Push(Vec<Update>, u64),
    /// Nothing: the session counts as having acknowledged the index.
    Current(u64),
    /// The session is too far behind.
    Lost,
}

impl Pump {
    pub(super) fn new(
        hub: &Rc<Hub>,
        id: SessionId,
        role: Role,
        instance: Instance,
        sink: sink::Client,
        sent: u64,
        tasks: &[Assignment],
    ) -> Self {
        let tasks = tasks.to_vec();
        Self { hub: Rc::downgrade(hub), id, role, instance, sink, sent, held: sent, tasks }
    }

    /// Runs until the session ends or a push fails. After a failure the session is not renewed
    /// any more, so that its holder opens another one and starts from the whole view.
    pub(super) async fn run(mut self) {
        if !self.confirmed().await {
            return;
        }
        let Some(mut watch) = self.hub.upgrade().map(|h| h.replica.watch()) else {
            return;
        };
        loop {
            let seen = *watch.borrow_and_update();
            let Some(hub) = self.hub.upgrade().filter(|h| h.table.borrow().is_open(self.id)) else {
                return;
            };
            let done = match self.next(&hub) {
                Next::Push(updates, index) => self.push(updates).await.then_some(index),
                Next::Current(index) => Some(index),
                Next::Lost => None,
            };
            let Some(index) = done else {
                event::PushFailed { instance: self.instance.clone() }.tell();
                hub.retire(self.id);
                return;
            };
            self.sent = index;
            hub.table.borrow_mut().ack(self.id, index);
            hub.changed.notify_one();
            drop(hub);
            // Entries that change neither the view nor the schedule need no push.
            let news = |e: &Epoch| e.view != seen.view || e.schedule != seen.schedule;
            if watch.wait_for(news).await.is_err() {
                return;
            }
        }
    }

    /// Waits until the holder has acknowledged the view that it was welcomed with. Before that its
    /// former view may still be in use.
    async fn confirmed(&self) -> bool {
        let end = Instant::now() + CONFIRM_TIME;
        loop {
            let Some(hub) = self.hub.upgrade() else {
                return false;
            };
            let renewed = hub.renewed.notified();
            match hub.table.borrow().acked_by(self.id) {
                Some(acked) if acked >= self.sent => return true,
                Some(_) => {}
                None => return false,
            }
            if timeout_at(end, renewed).await.is_err() {
                event::SessionUnconfirmed { instance: self.instance.clone() }.tell();
                hub.retire(self.id);
                return false;
            }
        }
    }

    fn next(&mut self, hub: &Hub) -> Next {
        let agent = self.role == Role::Agent;
        let state = hub.replica.state();
        let index = state.index();
        let Some(delta) = hub.replica.view().delta(self.sent, index, agent) else {
            return Next::Lost;
        };
        let mut updates = Vec::new();
        if !delta.updates.is_empty() {
            updates.push(Update::Delta(Delta { from: self.held, ..delta }));
            self.held = index;
        }
        if agent {
            let tasks = assignments(state.book(), &self.instance);
            if tasks != self.tasks {
                self.tasks.clone_from(&tasks);
                updates.push(Update::Tasks { index, tasks });
            }
        }
        if updates.is_empty() { Next::Current(index) } else { Next::Push(updates, index) }
    }

    async fn push(&self, updates: Vec<Update>) -> bool {
        for update in updates {
            let mut request = self.sink.push_request();
            request.get().set_update(&frame::encode(&update));
            if !matches!(timeout(PUSH_TIME, request.send().promise).await, Ok(Ok(_))) {
                return false;
            }
        }
        true
    }
}
