//! Opening, renewing and ending sessions.

use {
    crate::{
        clock::Clock,
        control::{
            hub::{assign::assignments, pump::Pump},
            replica::{Replica, Result},
        },
        telemetry::{Event as _, event},
    },
    bronzespool::{
        core::{Code, Instance, Refusal, Time, name::Cluster},
        flow::session::{SessionId, SessionTable},
        wire::{
            bronzespool_capnp::sink,
            message::{Hello, Progress, Role, Welcome},
        },
    },
    std::{
        cell::{Cell, RefCell},
        collections::BTreeMap,
        rc::Rc,
        time::Duration,
    },
    tokio::sync::Notify,
};

/// Longest wait for the record of an announcement.
const ANNOUNCE_TIME: Duration = Duration::from_secs(2);

/// Spans of a hub.
#[derive(Clone, Copy, Debug)]
pub(in crate::control) struct Spans {
    /// Longest lease of a session, and the hub's own lease from the leader.
    pub(in crate::control) lease: Duration,
    /// Added before a session counts as ended.
    pub(in crate::control) margin: Duration,
}

/// The sessions of this control instance.
pub(in crate::control) struct Hub {
    clock: Clock,
    cluster: Cluster,
    pub(in crate::control) name: Instance,
    spans: Spans,
    pub(super) replica: Rc<Replica>,
    pub(super) table: RefCell<SessionTable>,
    agents: RefCell<BTreeMap<SessionId, (Instance, u64)>>,
    serial: Cell<u64>,
    until: Cell<Time>,
    /// When every session that a former process of this instance granted has ended.
    settled: Time,
    pub(in crate::control) changed: Notify,
    /// A session was renewed.
    pub(super) renewed: Notify,
}

impl Hub {
    pub(in crate::control) fn new(
        clock: Clock,
        cluster: Cluster,
        name: Instance,
        spans: Spans,
        replica: Rc<Replica>,
    ) -> Rc<Self> {
        Rc::new(Self {
            clock,
            cluster,
            name,
            spans,
            replica,
            table: RefCell::new(SessionTable::new(spans.lease, spans.margin)),
            agents: RefCell::default(),
            serial: Cell::new(1),
            until: Cell::new(Time::ZERO),
            settled: clock.now() + spans.lease + spans.margin,
            changed: Notify::new(),
            renewed: Notify::new(),
        })
    }

    /// Checks that a session may be opened here: the hub is in contact with a leader and not
    /// behind what the holder has seen.
    pub(in crate::control) fn check(&self, hello: &Hello) -> Result<()> {
        if hello.cluster != self.cluster {
            let message = format!("cluster {} is not {}", hello.cluster, self.cluster);
            return Err(Refusal::new(Code::ConfigInvalid, message));
        }
        if self.lease_left().is_zero() {
            return Err(Refusal::new(Code::NoLeader, "this hub has no contact with a leader"));
        }
        if self.replica.state().index() < hello.seen {
            return Err(Refusal::new(Code::RevisionBehind, "this hub is behind the caller"));
        }
        Ok(())
    }

    /// Waits for the record of an announcement.
    pub(in crate::control) async fn caught_up(&self, index: u64) -> Result<()> {
        self.replica.applied(index, ANNOUNCE_TIME).await
    }

    /// Opens a session and starts pushing to it.
    pub(in crate::control) fn open(
        self: &Rc<Self>,
        hello: &Hello,
        incarnation: u64,
        sink: sink::Client,
    ) -> (SessionId, Welcome) {
        let entry = hello.role == Role::Entry;
        let state = self.replica.state();
        let view = state.view(entry);
        let tasks = if entry { Vec::new() } else { assignments(state.book(), &hello.instance) };
        drop(state);
        let now = self.clock.now();
        let instance = hello.instance.clone();
        let id = self.table.borrow_mut().open(now, instance.clone(), incarnation, hello.seen);
        if !entry {
            self.agents.borrow_mut().insert(id, (instance.clone(), incarnation));
            self.agents_changed();
        }
        let pump = Pump::new(self, id, hello.role, instance, sink, view.index, &tasks);
        tokio::task::spawn_local(pump.run());
        (id, Welcome { incarnation, view, tasks, millis: self.millis() })
    }

    /// Renews a session. Returns the span in milliseconds, zero if it has ended or this hub has
    /// lost the leader.
    pub(in crate::control) fn renew(&self, id: SessionId, acked: u64) -> u32 {
        let millis = self.millis();
        let open = self.table.borrow_mut().renew(self.clock.now(), id, acked);
        self.renewed.notify_waiters();
        if open { millis } else { 0 }
    }

    /// Ends a session at its holder's wish.
    pub(in crate::control) fn close(&self, id: SessionId) {
        self.table.borrow_mut().close(id);
        self.forget();
    }

    /// Grants no further renewal of a session that cannot be pushed to. Its holder may take work
    /// until the lease ends, so it counts as open until then.
    pub(super) fn retire(&self, id: SessionId) {
        self.table.borrow_mut().retire(id);
    }

    /// Ends the sessions whose time has passed.
    pub(in crate::control) fn expire(&self) {
        let ended = self.table.borrow_mut().expire(self.clock.now());
        for session in &ended {
            event::SessionEnded { instance: session.instance.clone() }.tell();
        }
        self.forget();
    }

    /// The leader has noted the progress that was sent at `sent`.
    pub(in crate::control) fn noted(&self, sent: Time) {
        self.until.set(self.until.get().max(sent + self.spans.lease));
    }

    /// What the leader is told; the agents are left out if it knows them.
    pub(in crate::control) fn progress(&self, known: u64) -> Progress {
        let applied = self.replica.state().index();
        let acked = self.acked(applied);
        let serial = self.serial.get();
        let agents = (known != serial).then(|| self.agents.borrow().values().cloned().collect());
        let lease = self.spans.lease + self.spans.margin;
        let lease = u64::try_from(lease.as_millis()).unwrap_or(u64::MAX);
        Progress { hub: self.name.clone(), acked, lease, serial, agents }
    }

    /// The lowest index that a session of this instance may still be at.
    fn acked(&self, applied: u64) -> u64 {
        if self.clock.now() < self.settled {
            return 0;
        }
        self.table.borrow().lowest_acked().map_or(applied, |a| a.min(applied))
    }

    /// Whether no session of this instance is open.
    pub(in crate::control) fn is_empty(&self) -> bool {
        self.table.borrow().is_empty()
    }

    /// Drops the agents whose sessions have ended or were replaced.
    fn forget(&self) {
        let table = self.table.borrow();
        let mut agents = self.agents.borrow_mut();
        let before = agents.len();
        agents.retain(|id, _| table.is_open(*id));
        if agents.len() != before {
            drop(agents);
            self.agents_changed();
        }
    }

    fn agents_changed(&self) {
        self.serial.set(self.serial.get() + 1);
        self.changed.notify_one();
    }

    fn lease_left(&self) -> Duration {
        self.until.get().since(self.clock.now())
    }

    /// A session never outlives the hub's own lease.
    fn millis(&self) -> u32 {
        u32::try_from(self.lease_left().min(self.spans.lease).as_millis()).unwrap_or(u32::MAX)
    }
}
