//! Budget of the bytes that large bodies of requests take, on all listeners of the process together.
//!
//! A body takes its room before it is read. Without room it waits, and its connection is not read
//! meanwhile, so that its sender waits as well. The smallest body that waits is the next. A body that has
//! been read for longer than three seconds gives its room to one that waits: otherwise senders that
//! stop short of the end would keep all room. Likewise, at the bound of connections, any body that has
//! been read for that long gives up its connection.

use {
    crate::{memory, telemetry::record_rejection},
    bronzespool::core::bound::Bound,
    std::{
        cell::{Cell, RefCell},
        collections::BTreeMap,
        rc::Rc,
        time::{Duration, Instant},
    },
    tokio::{
        sync::{Notify, oneshot},
        time::timeout,
    },
};

/// Longest wait for room. Callers wait for a few seconds in all.
const ROOM_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for which a body may be read although others wait for its room.
pub(super) const READ_GRACE: Duration = Duration::from_secs(3);
/// Time for which a bound of connections that was reached calls for the connection of a body.
const CROWDED_TIME: Duration = Duration::from_secs(1);
/// Bytes that are counted for each byte of a large body: the body, what is decoded from it, the call to
/// control and its copy in a connection.
const COST_FACTOR: usize = 4;

thread_local! {
    static BUDGET: Rc<BodyBudget> = BodyBudget::new(memory::bodies_max());
}

/// Room for large bodies.
pub struct BodyBudget {
    total: usize,
    state: RefCell<BudgetState>,
    wanted: Notify,
    crowded: Notify,
    /// When the bound of connections was last reached.
    crowded_at: Cell<Option<Instant>>,
}

struct BudgetState {
    used: usize,
    /// Bodies without room: by size, then by age.
    waiting: BTreeMap<(usize, u64), oneshot::Sender<BodyRoom>>,
    last_number: u64,
    bound: Bound,
}

/// Room of one body, until it is dropped.
pub struct BodyRoom {
    budget: Rc<BodyBudget>,
    bytes: usize,
}

/// A body in the line of those that wait; leaves the line when it is dropped.
struct Place<'a> {
    budget: &'a BodyBudget,
    key: (usize, u64),
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.budget.state.borrow_mut().waiting.remove(&self.key);
    }
}

impl Drop for BodyRoom {
    fn drop(&mut self) {
        self.budget.state.borrow_mut().used -= self.bytes;
        BodyBudget::grant(&self.budget);
        self.budget.call_for_room();
    }
}

impl BodyBudget {
    /// Creates a budget of `total` bytes.
    pub fn new(total: usize) -> Rc<Self> {
        let state = BudgetState {
            used: 0,
            waiting: BTreeMap::new(),
            last_number: 0,
            bound: Bound::new("memory for bodies", total),
        };
        Rc::new(Self {
            total,
            state: RefCell::new(state),
            wanted: Notify::new(),
            crowded: Notify::new(),
            crowded_at: Cell::default(),
        })
    }

    /// The budget of this process.
    pub(super) fn of_process() -> Rc<Self> {
        BUDGET.with(Rc::clone)
    }

    /// Waits for the room of a body of `length` bytes; none if there is no room in time. A body that
    /// needs more than there is gets all of it.
    pub async fn take(self: &Rc<Self>, length: u64) -> Option<BodyRoom> {
        let length = usize::try_from(length).unwrap_or(usize::MAX);
        let bytes = length.saturating_mul(COST_FACTOR).min(self.total);
        let (sender, room) = oneshot::channel();
        let place = self.enqueue(bytes, sender);
        Self::grant(self);
        self.call_for_room();
        let room = timeout(ROOM_TIMEOUT, room).await.ok().and_then(Result::ok);
        drop(place);
        if room.is_none() {
            let mut state = self.state.borrow_mut();
            let used = state.used;
            record_rejection(&mut state.bound, used);
        }
        room
    }

    fn enqueue(&self, bytes: usize, sender: oneshot::Sender<BodyRoom>) -> Place<'_> {
        let mut state = self.state.borrow_mut();
        state.last_number += 1;
        let key = (bytes, state.last_number);
        state.waiting.insert(key, sender);
        Place { budget: self, key }
    }

    /// Gives free room to those that wait.
    fn grant(this: &Rc<Self>) {
        while let Some((bytes, sender)) = this.next_fitting() {
            // One that does not wait any more drops its room, which calls this again.
            drop(sender.send(BodyRoom { budget: Rc::clone(this), bytes }));
        }
    }

    fn next_fitting(&self) -> Option<(usize, oneshot::Sender<BodyRoom>)> {
        let mut state = self.state.borrow_mut();
        let first = state.waiting.first_entry()?;
        let (bytes, _) = *first.key();
        if bytes > self.total - state.used {
            return None;
        }
        let (_, sender) = state.waiting.pop_first()?;
        state.used += bytes;
        Some((bytes, sender))
    }

    /// Asks for the room of one body that has been read for long enough, if any body waits.
    fn call_for_room(&self) {
        if self.has_waiting() {
            self.wanted.notify_one();
        }
    }

    fn has_waiting(&self) -> bool {
        !self.state.borrow().waiting.is_empty()
    }

    /// Asks for the connection of one body that has been read for long enough.
    pub(super) fn call_for_connection(&self) {
        self.crowded_at.set(Some(Instant::now()));
        self.crowded.notify_one();
    }

    /// Waits until others need what a body holds that has been read for long enough: its connection, or
    /// its room if it has any.
    pub(super) async fn wanted(&self, has_room: bool) {
        loop {
            tokio::select! {
                () = self.crowded.notified() => {
                    if self.crowded_at.get().is_some_and(|at| at.elapsed() < CROWDED_TIME) {
                        return;
                    }
                }
                () = self.wanted.notified(), if has_room => {}
            }
            if has_room && self.has_waiting() {
                return;
            }
        }
    }

    /// Bytes that are taken.
    pub fn used(&self) -> usize {
        self.state.borrow().used
    }
}
