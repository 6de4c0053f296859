//! Pushes updates to the holder of one session, one update at a time.

use {
    crate::{
        control::{
            hub::{assign::assignments, sessions::Hub},
            replica::StateVersion,
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

/// Longest wait for the acknowledgement of a push. The session ends after it.
pub(in crate::control) const PUSH_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest wait for the holder's first renewal, which confirms that the holder uses the view that
/// it received when the session was opened.
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(2);

/// The task that pushes updates to one session.
pub(super) struct Pusher {
    hub: Weak<Hub>,
    id: SessionId,
    role: Role,
    instance: Instance,
    sink: sink::Client,
    /// Log index up to which nothing is left to push.
    sent: u64,
    /// Log index of the view that the holder was last sent.
    view_index: u64,
    tasks: Vec<Assignment>,
}

/// What the session needs next.
enum NextPush {
    /// Updates to push. After the push the session has acknowledged the index.
    Push(Vec<Update>, u64),
    /// Nothing to push: the session counts as having acknowledged the index.
    Current(u64),
    /// The session is too far behind for the recorded changes of the view.
    TooFarBehind,
}

impl Pusher {
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
        Self { hub: Rc::downgrade(hub), id, role, instance, sink, sent, view_index: sent, tasks }
    }

    /// Runs until the session ends or a push fails. After a failure the session is not renewed any
    /// more, so its holder opens a new session and starts from a full view.
    pub(super) async fn run(mut self) {
        if !self.wait_confirmed().await {
            return;
        }
        let Some(mut watch) = self.hub.upgrade().map(|h| h.replica.watch()) else {
            return;
        };
        loop {
            let last_seen = *watch.borrow_and_update();
            let Some(hub) = self.hub.upgrade().filter(|h| h.table.borrow().is_open(self.id)) else {
                return;
            };
            let acked_index = match self.next_push(&hub) {
                NextPush::Push(updates, index) => self.push(updates).await.then_some(index),
                NextPush::Current(index) => Some(index),
                NextPush::TooFarBehind => None,
            };
            let Some(index) = acked_index else {
                event::PushFailed { instance: self.instance.clone() }.emit();
                hub.retire(self.id);
                return;
            };
            self.sent = index;
            hub.table.borrow_mut().ack(self.id, index);
            hub.changed.notify_one();
            drop(hub);
            // Log entries that change neither the view nor the schedule need no push.
            let changed =
                |e: &StateVersion| e.view != last_seen.view || e.schedule != last_seen.schedule;
            if watch.wait_for(changed).await.is_err() {
                return;
            }
        }
    }

    /// Waits until the holder has acknowledged the view that it received when the session was
    /// opened. Until then the holder may still use its former view.
    async fn wait_confirmed(&self) -> bool {
        let end = Instant::now() + CONFIRM_TIMEOUT;
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
                event::SessionUnconfirmed { instance: self.instance.clone() }.emit();
                hub.retire(self.id);
                return false;
            }
        }
    }

    fn next_push(&mut self, hub: &Hub) -> NextPush {
        let agent = self.role == Role::Agent;
        let state = hub.replica.state();
        let index = state.index();
        let Some(delta) = hub.replica.view_log().delta(self.sent, index, agent) else {
            return NextPush::TooFarBehind;
        };
        let mut updates = Vec::new();
        // The tasks go first: renewals acknowledge the index of the view, which must not be ahead
        // of the tasks.
        if agent {
            let tasks = assignments(state.scheduler(), &self.instance);
            if tasks != self.tasks {
                self.tasks.clone_from(&tasks);
                updates.push(Update::Tasks { index, tasks });
            }
        }
        if !delta.updates.is_empty() {
            updates.push(Update::Delta(Delta { from: self.view_index, ..delta }));
            self.view_index = index;
        }
        if updates.is_empty() { NextPush::Current(index) } else { NextPush::Push(updates, index) }
    }

    async fn push(&self, updates: Vec<Update>) -> bool {
        for update in updates {
            let mut request = self.sink.push_request();
            request.get().set_update(&frame::encode(&update));
            if !matches!(timeout(PUSH_TIMEOUT, request.send().promise).await, Ok(Ok(_))) {
                return false;
            }
        }
        true
    }
}
