//! State that the modules of the entry share.

use {
    crate::{
        client::{SessionClient, Subscriber},
        clock::Clock,
        entry::{agent_links::AgentLinks, report::Reporter, traffic::Traffic},
    },
    bronzespool::{
        core::{Instance, Time, name::Cluster},
        flow::view::{self, View},
        wire::message::{Role, SessionGrant, SessionRequest, Update},
    },
    std::{
        cell::{Cell, RefCell},
        rc::Rc,
        time::Duration,
    },
    tokio::sync::Notify,
};

/// Shared state of the entry.
pub(super) struct State {
    pub(super) clock: Clock,
    pub(super) cluster: Cluster,
    pub(super) header_timeout: Duration,
    pub(super) instance: Instance,
    pub(super) view: RefCell<Rc<View>>,
    pub(super) agents: AgentLinks,
    pub(super) session_expiry: Cell<Time>,
    pub(super) stopping: Cell<bool>,
    pub(super) request_count: Cell<u64>,
    pub(super) entry_id: u64,
    pub(super) reporter: Reporter,
    pub(super) traffic: RefCell<Traffic>,
    pub(super) admission_wakeup: Notify,
    pub(super) admitting: Cell<bool>,
    pub(super) view_changed: Notify,
    pub(super) session_client: RefCell<Option<Rc<SessionClient<Self>>>>,
}

impl State {
    /// Returns a snapshot of the view, which later updates do not change.
    pub(super) fn view(&self) -> Rc<View> {
        Rc::clone(&self.view.borrow())
    }

    /// Returns the client of the session with a hub; it is set before the first request arrives.
    pub(super) fn session_client(&self) -> Option<Rc<SessionClient<Self>>> {
        self.session_client.borrow().clone()
    }

    /// Whether new work may be accepted: the session is valid and the entry is not stopping.
    pub(super) fn is_open(&self) -> bool {
        !self.stopping.get() && self.clock.now() < self.session_expiry.get()
    }

    /// Creates a request id.
    pub(super) fn request_id(&self) -> String {
        let request_count = self.request_count.get() + 1;
        self.request_count.set(request_count);
        format!("{:016x}-{request_count}", self.entry_id)
    }

    fn update_view<T>(&self, f: impl FnOnce(&mut View) -> T) -> T {
        let mut view = self.view.borrow_mut();
        let result = f(Rc::make_mut(&mut view));
        self.agents.update(&view);
        self.traffic.borrow_mut().apply_view(&view);
        self.view_changed.notify_one();
        self.admission_wakeup.notify_one();
        result
    }
}

impl Subscriber for State {
    fn session_request(&self) -> SessionRequest {
        SessionRequest {
            cluster: self.cluster.clone(),
            role: Role::Entry,
            instance: self.instance.clone(),
            seen: self.view_index(),
            announce: None,
        }
    }

    fn apply_grant(&self, mut grant: SessionGrant) -> bool {
        let new = grant.take_view();
        self.update_view(|view| view.replace(new))
    }

    fn apply_update(&self, update: Update) -> view::Result<()> {
        match update {
            Update::Delta(delta) => self.update_view(|view| view.apply(delta)),
            Update::Tasks { .. } => Ok(()),
        }
    }

    fn view_index(&self) -> u64 {
        self.view.borrow().index
    }

    fn set_expiry(&self, until: Time) {
        self.session_expiry.set(until);
    }
}
