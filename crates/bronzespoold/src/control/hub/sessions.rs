//! Opens, renews and ends sessions.

use {
    crate::{
        clock::Clock,
        control::{
            hub::{assign::assignments, pusher::Pusher},
            replica::{Replica, Result},
        },
        limits,
        telemetry::{Event as _, event},
    },
    bronzespool::{
        core::{Code, Instance, Refusal, Time, bound::Bound, name::Cluster},
        flow::session::{SessionId, SessionTable},
        wire::{
            bronzespool_capnp::sink,
            message::{HubProgress, Role, SessionGrant, SessionRequest},
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

/// Longest wait until an announcement is applied on this replica.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_secs(2);

/// Durations that apply to the sessions of a hub.
#[derive(Clone, Copy, Debug)]
pub(in crate::control) struct SessionTiming {
    /// Longest lease of a session, and the hub's own lease from the leader.
    pub(in crate::control) lease: Duration,
    /// Added to a lease, against clock drift, before the session counts as ended.
    pub(in crate::control) margin: Duration,
}

/// The sessions of this control instance.
pub(in crate::control) struct Hub {
    clock: Clock,
    cluster: Cluster,
    pub(in crate::control) name: Instance,
    timing: SessionTiming,
    pub(super) replica: Rc<Replica>,
    pub(super) table: RefCell<SessionTable>,
    /// Instance and incarnation of the agent of each session.
    agents: RefCell<BTreeMap<SessionId, (Instance, u64)>>,
    /// Incremented with each change of `agents`.
    serial: Cell<u64>,
    /// End of the hub's own lease from the leader.
    lease_end: Cell<Time>,
    /// When every session that a former process of this instance granted has ended.
    former_end: Time,
    sessions_bound: RefCell<Bound>,
    /// Notified when there is progress to report to the leader.
    pub(in crate::control) changed: Notify,
    /// Notified when a session is renewed.
    pub(super) renewed: Notify,
}

impl Hub {
    pub(in crate::control) fn new(
        clock: Clock,
        cluster: Cluster,
        name: Instance,
        timing: SessionTiming,
        sessions_max: usize,
        replica: Rc<Replica>,
    ) -> Rc<Self> {
        Rc::new(Self {
            clock,
            cluster,
            name,
            timing,
            replica,
            table: RefCell::new(SessionTable::new(timing.lease, timing.margin)),
            agents: RefCell::default(),
            serial: Cell::new(1),
            lease_end: Cell::new(Time::ZERO),
            former_end: clock.now() + timing.lease + timing.margin,
            sessions_bound: RefCell::new(Bound::new("sessions", sessions_max)),
            changed: Notify::new(),
            renewed: Notify::new(),
        })
    }

    /// Checks that a session may be opened here: the hub must be in contact with a leader and have
    /// room for the session, and its state must not be older than the view of the session's holder.
    pub(in crate::control) fn check_hello(&self, hello: &SessionRequest) -> Result<()> {
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
        self.check_room(&hello.instance)
    }

    /// Refuses a session beyond the bound. A session that replaces one of the same instance needs
    /// no more room.
    fn check_room(&self, instance: &Instance) -> Result<()> {
        let table = self.table.borrow();
        let mut bound = self.sessions_bound.borrow_mut();
        if table.holds(instance) || limits::admit(&mut bound, table.len()) {
            return Ok(());
        }
        Err(limits::refusal(&bound))
    }

    /// Waits until an announcement is applied on this replica.
    pub(in crate::control) async fn wait_applied(&self, index: u64) -> Result<()> {
        self.replica.wait_applied(index, ANNOUNCE_TIMEOUT).await
    }

    /// Opens a session and starts pushing to it.
    pub(in crate::control) fn open(
        self: &Rc<Self>,
        hello: &SessionRequest,
        incarnation: u64,
        sink: sink::Client,
    ) -> Result<(SessionId, SessionGrant)> {
        // Other sessions may have been opened since the hello was checked.
        self.check_room(&hello.instance)?;
        let entry = hello.role == Role::Entry;
        let state = self.replica.state();
        let view = state.view(entry);
        let tasks =
            if entry { Vec::new() } else { assignments(state.scheduler(), &hello.instance) };
        drop(state);
        let now = self.clock.now();
        let instance = hello.instance.clone();
        let id = self.table.borrow_mut().open(now, instance.clone(), incarnation, hello.seen);
        if !entry {
            self.agents.borrow_mut().insert(id, (instance.clone(), incarnation));
            self.agents_changed();
        }
        let pusher = Pusher::new(self, id, hello.role, instance, sink, view.index, &tasks);
        tokio::task::spawn_local(pusher.run());
        let (lease_millis, drained) = (self.session_millis(), view.drained.clone());
        Ok((id, SessionGrant { incarnation, view, tasks, lease_millis, drained }))
    }

    /// Renews a session. Returns its lease in milliseconds, or zero if the session has ended or
    /// belongs to a former incarnation, or this hub has lost contact with the leader. The holder
    /// then opens a new session, for which it announces itself again.
    pub(in crate::control) fn renew(&self, id: SessionId, acked: u64) -> u32 {
        self.retire_if_superseded(id);
        let millis = self.session_millis();
        let open = self.table.borrow_mut().renew(self.clock.now(), id, acked);
        self.renewed.notify_waiters();
        if open { millis } else { 0 }
    }

    /// Retires a session whose incarnation is not the current one of its agent.
    fn retire_if_superseded(&self, id: SessionId) {
        let agents = self.agents.borrow();
        let Some((instance, incarnation)) = agents.get(&id) else {
            return;
        };
        let state = self.replica.state();
        let current = state.endpoints().get(instance).map_or(0, |e| e.incarnation);
        if *incarnation < current {
            event::SessionSuperseded { instance: instance.clone() }.emit();
            self.retire(id);
        }
    }

    /// Ends a session at its holder's request.
    pub(in crate::control) fn close(&self, id: SessionId) {
        self.table.borrow_mut().close(id);
        self.prune_agents();
    }

    /// Stops renewing a session that cannot be pushed to or that belongs to a former incarnation.
    /// Its holder may accept work until the lease ends, so the session counts as open until then.
    pub(super) fn retire(&self, id: SessionId) {
        self.table.borrow_mut().retire(id);
    }

    /// Ends the sessions whose leases have run out.
    pub(in crate::control) fn expire(&self) {
        let ended = self.table.borrow_mut().expire(self.clock.now());
        for session in &ended {
            event::SessionEnded { instance: session.instance.clone() }.emit();
        }
        self.prune_agents();
    }

    /// Renews the hub's own lease after the leader accepted the progress report sent at `sent`.
    pub(in crate::control) fn renew_lease(&self, sent: Time) {
        self.lease_end.set(self.lease_end.get().max(sent + self.timing.lease));
    }

    /// The progress report for the leader. The agents are left out if the leader knows the current
    /// serial.
    pub(in crate::control) fn progress(&self, known_serial: u64) -> HubProgress {
        let applied = self.replica.state().index();
        let acked = self.acked(applied);
        let serial = self.serial.get();
        let agents =
            (known_serial != serial).then(|| self.agents.borrow().values().cloned().collect());
        let lease = self.timing.lease + self.timing.margin;
        let lease = u64::try_from(lease.as_millis()).unwrap_or(u64::MAX);
        HubProgress { hub: self.name.clone(), acked, lease_millis: lease, serial, agents }
    }

    /// The lowest log index that a session of this instance may still be at.
    fn acked(&self, applied: u64) -> u64 {
        if self.clock.now() < self.former_end {
            return 0;
        }
        self.table.borrow().lowest_acked().map_or(applied, |a| a.min(applied))
    }

    /// Whether no session of this instance is open.
    pub(in crate::control) fn is_empty(&self) -> bool {
        self.table.borrow().is_empty()
    }

    /// Drops the agents whose sessions have ended or were replaced.
    fn prune_agents(&self) {
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
        self.lease_end.get().since(self.clock.now())
    }

    /// Lease that a session is granted now, in milliseconds. It never outlasts the hub's own lease.
    fn session_millis(&self) -> u32 {
        u32::try_from(self.lease_left().min(self.timing.lease).as_millis()).unwrap_or(u32::MAX)
    }
}
