//! The filter that admits a request: by its team's limit, and when an endpoint has a free slot.

use {
    crate::entry::{
        filter::{Checked, Filter, Result},
        state::State,
        traffic::{
            lane::{Lane, Permit},
            state::Waiting,
        },
    },
    bronzespool::{
        core::{Code, Refusal},
        flow::limit::Throttled,
    },
    std::rc::Rc,
    tokio::sync::oneshot,
};

/// Time kept for a request after the queue, in mean times of a request.
const SERVED_TIMES: f64 = 1.5;

/// The filter.
pub(in crate::entry) struct Admit(pub(in crate::entry) Rc<State>);

/// A request that may be sent.
pub(in crate::entry) struct Admitted {
    pub(in crate::entry) request: Checked,
    pub(in crate::entry) lane: Lane,
    pub(in crate::entry) permit: Permit,
}

impl Filter<Checked> for Admit {
    type Out = Admitted;

    async fn apply(&self, request: Checked) -> Result<Admitted> {
        let (permit, lane) = match self.at_once(&request)? {
            Some(granted) => granted,
            None => self.wait(&request).await?,
        };
        Ok(Admitted { request, lane, permit })
    }
}

impl Admit {
    /// Admits a request that need not wait.
    fn at_once(&self, request: &Checked) -> Result<Option<(Permit, Lane)>> {
        let spec = request.spec()?;
        let now = self.0.clock.now();
        if !self.0.has_endpoint(request) {
            let retry = self
                .0
                .traffic
                .borrow_mut()
                .service(&request.service)
                .queue
                .retry_after(&request.team);
            return Err(Refusal::from(Code::NoEndpoint).retry_after(retry));
        }
        {
            let mut traffic = self.0.traffic.borrow_mut();
            let service = traffic.service(&request.service);
            service.budget.record_first();
            // A refused take counts as demand, so that the next share is larger.
            if !service.queue.is_empty() || service.buckets.acquire(now, &request.team).is_err() {
                return Ok(None);
            }
        }
        let permit = self.0.permit(&request.service, &request.team);
        let found =
            self.0.choose(&request.service, &request.kind, spec.need.slots, !spec.protected, &[]);
        Ok(found.map(|lane| (permit, lane)))
    }

    /// Waits in the queue. Whoever cannot be served in time is refused at once.
    async fn wait(&self, request: &Checked) -> Result<(Permit, Lane)> {
        let spec = request.spec()?;
        let now = self.0.clock.now();
        let (grant, granted) = oneshot::channel();
        let waiting = Waiting { slots: spec.need.slots, grant };
        let refused = {
            let mut traffic = self.0.traffic.borrow_mut();
            // Whoever leaves the queue must still have the time that the request itself takes.
            let latest = request.deadline - traffic.mean_time().mul_f64(SERVED_TIMES);
            let queue = &mut traffic.service(&request.service).queue;
            queue.push(now, request.team.clone(), latest, waiting)
        };
        if let Some(refused) = refused {
            let code = self.reason(request, refused.code);
            let _ =
                refused.item.grant.send(Err(Refusal::from(code).retry_after(refused.retry_after)));
        }
        self.0.pump_soon();
        granted.await.unwrap_or_else(|_| Err(Code::Stopping.into()))
    }

    /// Tells a team at its limit from endpoints that are all busy.
    fn reason(&self, request: &Checked, code: Code) -> Code {
        let now = self.0.clock.now();
        let mut traffic = self.0.traffic.borrow_mut();
        let busy = traffic.service(&request.service).buckets.check(now, &request.team);
        match busy {
            Err(Throttled::Rate(_) | Throttled::Inflight) if code != Code::DeadlinePassed => {
                Code::TeamLimit
            }
            _ => code,
        }
    }
}
