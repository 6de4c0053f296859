//! Filter that admits a request when its team's limit allows and an endpoint has free slots.

use {
    crate::entry::{
        filter::{CheckedRequest, Filter, Result},
        state::State,
        traffic::{
            reservation::{Permit, SlotReservation},
            state::QueuedRequest,
        },
    },
    bronzespool::{
        core::{Code, Refusal},
        flow::limit::Throttled,
    },
    std::rc::Rc,
    tokio::sync::oneshot,
};

/// Time that a queued request must have left before its deadline, as a multiple of the mean request
/// time.
const SERVICE_TIME_FACTOR: f64 = 1.5;

/// Filter that admits a request or queues it.
pub(in crate::entry) struct AdmitFilter(pub(in crate::entry) Rc<State>);

/// A request that may be sent.
pub(in crate::entry) struct AdmittedRequest {
    pub(in crate::entry) request: CheckedRequest,
    pub(in crate::entry) reservation: SlotReservation,
    pub(in crate::entry) permit: Permit,
}

impl Filter<CheckedRequest> for AdmitFilter {
    type Output = AdmittedRequest;

    async fn apply(&self, request: CheckedRequest) -> Result<AdmittedRequest> {
        let (permit, reservation) = match self.try_admit(&request)? {
            Some(granted) => granted,
            None => self.wait(&request).await?,
        };
        Ok(AdmittedRequest { request, reservation, permit })
    }
}

impl AdmitFilter {
    /// Admits a request that need not wait; `None` if it must wait in the queue.
    fn try_admit(&self, request: &CheckedRequest) -> Result<Option<(Permit, SlotReservation)>> {
        let spec = request.spec()?;
        let now = self.0.clock.now();
        if let Err(code) = self.0.view().check_service(&request.service) {
            let retry = self
                .0
                .traffic
                .borrow_mut()
                .service(&request.service)
                .queue
                .retry_after(&request.team);
            return Err(Refusal::from(code).retry_after(retry));
        }
        {
            let mut traffic = self.0.traffic.borrow_mut();
            let service = traffic.service(&request.service);
            service.budget.record_first();
            // A refused `acquire` counts as demand, so that the next share is larger.
            if !service.queue.is_empty() || service.buckets.acquire(now, &request.team).is_err() {
                return Ok(None);
            }
        }
        let permit = self.0.new_permit(&request.service, &request.team);
        let reserved = self.0.reserve_endpoint(
            &request.service,
            &request.kind,
            spec.need.slots,
            !spec.protected,
            &[],
        );
        Ok(reserved.map(|reservation| (permit, reservation)))
    }

    /// Waits in the queue. A request that cannot be served in time is refused immediately.
    async fn wait(&self, request: &CheckedRequest) -> Result<(Permit, SlotReservation)> {
        let spec = request.spec()?;
        let now = self.0.clock.now();
        let (grant, granted) = oneshot::channel();
        let waiting = QueuedRequest { slots: spec.need.slots, grant };
        let refused = {
            let mut traffic = self.0.traffic.borrow_mut();
            // A request that leaves the queue must still have enough time to be served.
            let latest = request.deadline - traffic.mean_time().mul_f64(SERVICE_TIME_FACTOR);
            let queue = &mut traffic.service(&request.service).queue;
            queue.push(now, request.team.clone(), latest, waiting)
        };
        if let Some(refused) = refused {
            let code = self.refusal_code(request, refused.code);
            let _ =
                refused.item.grant.send(Err(Refusal::from(code).retry_after(refused.retry_after)));
        }
        self.0.wake_admission();
        granted.await.unwrap_or_else(|_| Err(Code::Stopping.into()))
    }

    /// Chooses the refusal code: distinguishes a team at its limit from busy endpoints.
    fn refusal_code(&self, request: &CheckedRequest, code: Code) -> Code {
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
