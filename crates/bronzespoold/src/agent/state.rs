//! State shared by the agent's tasks.

use {
    crate::{
        agent::endpoint::Endpoint,
        client::{SessionClient, Subscriber},
        clock::Clock,
        telemetry::{Event as _, event},
    },
    bronzespool::{
        core::{Capacity, Instance, Place, Service, Time, name::Cluster},
        flow::{
            admit::{Admission, AdmissionLimits},
            claim::Incarnation,
            view::{self, View},
        },
        wire::message::{
            AgentState, Announce, Assignment, Role, SessionGrant, SessionRequest, Update,
        },
    },
    std::{
        cell::{Cell, RefCell},
        net::SocketAddr,
        rc::Rc,
    },
    tokio::sync::Notify,
};

/// State of one agent process.
pub(super) struct State {
    pub(super) clock: Clock,
    pub(super) cluster: Cluster,
    pub(super) place: Place,
    /// Random number that identifies this start of the process.
    pub(super) nonce: u64,
    pub(super) address: SocketAddr,
    pub(super) endpoint: Endpoint,
    pub(super) services: Vec<Service>,
    pub(super) capacity: Capacity,
    pub(super) view: RefCell<View>,
    pub(super) admission: RefCell<Option<Admission>>,
    /// End of the session lease: no new work is accepted after it.
    pub(super) session_end: Cell<Time>,
    pub(super) leaving: Cell<bool>,
    /// Whether the data centre was drained in the view that was applied last.
    pub(super) center_drained: Cell<bool>,
    /// Number of outcomes that are being reported to control.
    pub(super) open_reports: Cell<u32>,
    /// Number of outcomes that control has not acknowledged in all attempts to report them.
    pub(super) lost_reports: Cell<u32>,
    /// Notified when an attempt has finished.
    pub(super) attempt_finished: Notify,
    pub(super) tasks: RefCell<Vec<Assignment>>,
    /// Log index of the assignments in `tasks`.
    pub(super) tasks_index: Cell<u64>,
    pub(super) tasks_changed: Notify,
    pub(super) session_client: RefCell<Option<Rc<SessionClient<Self>>>>,
}

impl State {
    /// The agent's instance.
    pub(super) const fn instance(&self) -> &Instance {
        &self.place.instance
    }

    /// Client of the session with a hub; set before the first request arrives.
    pub(super) fn session_client(&self) -> Option<Rc<SessionClient<Self>>> {
        self.session_client.borrow().clone()
    }

    /// Revision of the configuration in the local view.
    pub(super) fn revision(&self) -> u64 {
        self.view.borrow().config.revision
    }

    /// State of the agent that every reply carries.
    pub(super) fn agent_state(&self) -> AgentState {
        let now = self.clock.now();
        let admission = self.admission.borrow();
        let incarnation = admission.as_ref().map_or(0, |a| a.incarnation().number);
        let used = admission.as_ref().map_or(0, |a| a.slots().used());
        AgentState {
            clock: now,
            incarnation,
            revision: self.revision(),
            used,
            slots: self.capacity.slots,
            accepting: !self.leaving.get()
                && !self.is_center_drained()
                && now < self.session_end.get(),
        }
    }

    /// Whether the view shows the agent's data centre as drained.
    fn is_center_drained(&self) -> bool {
        self.view.borrow().drained.contains(&self.place.center)
    }

    /// Applies the drain of the data centre in the current view to admission.
    fn update_center_drained(&self) {
        let drained = self.is_center_drained();
        if let Some(admission) = self.admission.borrow_mut().as_mut() {
            admission.set_center_drained(drained);
        }
        if self.center_drained.replace(drained) != drained {
            let center = self.place.center.to_string();
            event::CenterDrainSeen { center, drained }.emit();
        }
    }

    /// Refuses new requests from now on.
    pub(super) fn start_draining(&self) {
        self.leaving.set(true);
        if let Some(admission) = self.admission.borrow_mut().as_mut() {
            admission.drain();
        }
    }

    /// Whether requests are running or outcomes are still to be reported.
    pub(super) fn is_busy(&self) -> bool {
        let running = self.admission.borrow().as_ref().is_some_and(|a| !a.idle());
        running || self.open_reports.get() > 0
    }

    /// The incarnation of this process, if control has announced one.
    pub(super) fn incarnation(&self) -> Option<Incarnation> {
        self.admission.borrow().as_ref().map(|a| a.incarnation().clone())
    }

    /// The incarnation of this process, if it may leave: every attempt that it started has ended,
    /// control has acknowledged the outcomes, and no attempt starts any more.
    pub(super) fn settled_incarnation(&self) -> Option<Incarnation> {
        if self.is_busy() || self.lost_reports.get() > 0 {
            return None;
        }
        let admission = self.admission.borrow();
        admission.as_ref().filter(|a| a.draining()).map(|a| a.incarnation().clone())
    }

    /// Starts with an empty admission when the session has a new incarnation.
    fn reset_admission(&self, incarnation: u64) {
        let mut admission = self.admission.borrow_mut();
        if admission.as_ref().is_some_and(|a| a.incarnation().number == incarnation) {
            return;
        }
        let own = Incarnation { instance: self.instance().clone(), number: incarnation };
        let mut new = Admission::new(own, &self.capacity, AdmissionLimits::default());
        if self.leaving.get() {
            new.drain();
        }
        self.endpoint.clear();
        *admission = Some(new);
    }

    /// Closes idle connections to the endpoint that have ended or exceeded their idle time.
    pub(super) fn trim_connections(&self) {
        if let Some(admission) = self.admission.borrow_mut().as_mut() {
            self.endpoint.trim(admission);
        }
    }

    /// Replaces the assigned tasks, unless the update is older than the current ones.
    fn set_tasks(&self, index: u64, tasks: Vec<Assignment>) {
        if index < self.tasks_index.get() {
            return;
        }
        self.tasks_index.set(index);
        *self.tasks.borrow_mut() = tasks;
        self.tasks_changed.notify_one();
    }
}

impl Subscriber for State {
    fn session_request(&self) -> SessionRequest {
        let announce = Announce {
            place: self.place.clone(),
            nonce: self.nonce,
            address: self.address,
            services: self.services.clone(),
            capacity: self.capacity,
            leaving: self.leaving.get(),
        };
        SessionRequest {
            cluster: self.cluster.clone(),
            role: Role::Agent,
            instance: self.instance().clone(),
            seen: self.view_index(),
            announce: Some(announce),
        }
    }

    fn apply_grant(&self, mut grant: SessionGrant) -> bool {
        let index = grant.view.index;
        if !self.view.borrow_mut().replace(grant.take_view()) {
            return false;
        }
        self.reset_admission(grant.incarnation);
        self.update_center_drained();
        self.set_tasks(index, grant.tasks);
        true
    }

    fn apply_update(&self, update: Update) -> view::Result<()> {
        match update {
            Update::Delta(delta) => {
                self.view.borrow_mut().apply(delta)?;
                self.update_center_drained();
            }
            Update::Tasks { index, tasks } => self.set_tasks(index, tasks),
        }
        Ok(())
    }

    fn view_index(&self) -> u64 {
        self.view.borrow().index
    }

    fn set_expiry(&self, until: Time) {
        self.session_end.set(until);
        if let Some(admission) = self.admission.borrow_mut().as_mut() {
            admission.set_session_end(until);
        }
    }
}
