//! Admits queued requests as limits and slots allow, and chooses endpoints.

use {
    crate::{
        entry::{
            dispatch::Target,
            filter::{CheckedRequest, Result},
            state::State,
            traffic::reservation::{Permit, SlotReservation},
        },
        telemetry::{Event as _, event},
    },
    bronzespool::{
        core::{Code, Instance, Kind, Refusal, Service, Team},
        flow::{
            outlier::Sample,
            retry::{FailedAttempt, Failure, RetryDecision},
            route::Router,
        },
    },
    std::{rc::Rc, time::Duration},
    tokio::{
        task::spawn_local,
        time::{sleep, timeout},
    },
};

/// Time between two rounds while requests wait. Tokens are refilled and deadlines expire without
/// any event, so the queue is polled.
const WAITING_INTERVAL: Duration = Duration::from_millis(5);
/// Time between two rounds while no request waits.
const IDLE_INTERVAL: Duration = Duration::from_secs(1);

impl State {
    /// Wakes the admission loop, unless the loop itself released the resource: it would then wake
    /// itself forever.
    pub(super) fn wake_admission(&self) {
        if !self.admitting.get() {
            self.admission_wakeup.notify_one();
        }
    }

    /// Admits queued requests of all services until the entry stops.
    pub(in crate::entry) async fn run_admission(self: Rc<Self>) {
        loop {
            self.admitting.set(true);
            let waiting = self.admit_waiting();
            self.admitting.set(false);
            let interval = if waiting { WAITING_INTERVAL } else { IDLE_INTERVAL };
            let _ = timeout(interval, self.admission_wakeup.notified()).await;
        }
    }

    /// Admits all queued requests that limits and slots allow. Returns whether requests still wait.
    fn admit_waiting(self: &Rc<Self>) -> bool {
        let services: Vec<_> = self.traffic.borrow().services.keys().cloned().collect();
        for service in &services {
            self.expire_waiting(service);
            self.refuse_drained(service);
            while self.admit_next(service) {}
        }
        self.traffic.borrow().services.values().any(|s| !s.queue.is_empty())
    }

    fn expire_waiting(&self, service: &Service) {
        let now = self.clock.now();
        let refused = self.traffic.borrow_mut().service(service).queue.expire(now);
        for refused in refused {
            let refusal = Refusal::from(refused.code).retry_after(refused.retry_after);
            let _ = refused.item.grant.send(Err(refusal));
        }
    }

    /// Admits one queued request. Returns whether another one may be admitted too.
    fn admit_next(self: &Rc<Self>, service: &Service) -> bool {
        if self.traffic.borrow_mut().service(service).queue.is_empty() {
            return false;
        }
        // The request that leaves the queue next may be of any kind, so the slots of the largest
        // kind are reserved first.
        let Some((kind, slots)) = self.largest_kind(service) else {
            return false;
        };
        let Some(mut reservation) = self.reserve_endpoint(service, &kind, slots, false, &[]) else {
            return false;
        };
        let now = self.clock.now();
        let popped = {
            let mut traffic = self.traffic.borrow_mut();
            let traffic = traffic.service(service);
            let buckets = &mut traffic.buckets;
            let popped = traffic.queue.pop(now, |team| buckets.check(now, team).is_ok());
            popped.filter(|queued| buckets.acquire(now, &queued.team).is_ok())
        };
        let Some(queued) = popped else {
            return false;
        };
        self.traffic
            .borrow_mut()
            .loads
            .request_ended(&reservation.target.incarnation.instance, reservation.slots);
        reservation.slots = queued.item.slots;
        self.traffic
            .borrow_mut()
            .loads
            .request_sent(&reservation.target.incarnation.instance, reservation.slots);
        // If the caller has gone, the permit and the reservation are dropped and so released.
        let _ = queued.item.grant.send(Ok((self.new_permit(service, &queued.team), reservation)));
        true
    }

    /// Returns the kind of a service whose requests need the most slots.
    fn largest_kind(&self, service: &Service) -> Option<(Kind, u32)> {
        let view = self.view();
        let kinds = &view.config.services.get(service)?.kinds;
        let (kind, spec) = kinds.iter().max_by_key(|(_, spec)| spec.need.slots)?;
        Some((kind.clone(), spec.need.slots))
    }

    pub(super) fn new_permit(self: &Rc<Self>, service: &Service, team: &Team) -> Permit {
        Permit { state: Rc::clone(self), service: service.clone(), team: team.clone() }
    }

    /// Refuses the queued requests of a service if the view shows that all endpoints which could
    /// take them are in drained data centres. Lost endpoints may come back within the deadline, but
    /// a drain has no end.
    fn refuse_drained(&self, service: &Service) {
        if self.view().check_service(service) != Err(Code::CenterDrained) {
            return;
        }
        let refused = self.traffic.borrow_mut().service(service).queue.drain(Code::CenterDrained);
        for refused in refused {
            let refusal = Refusal::from(refused.code).retry_after(refused.retry_after);
            let _ = refused.item.grant.send(Err(refusal));
        }
    }

    /// Chooses an endpoint with free slots and reserves them.
    pub(in crate::entry) fn reserve_endpoint(
        self: &Rc<Self>,
        service: &Service,
        kind: &Kind,
        slots: u32,
        repeatable: bool,
        tried: &[Instance],
    ) -> Option<SlotReservation> {
        let now = self.clock.now();
        let view = self.view();
        let mut traffic = self.traffic.borrow_mut();
        let detector = traffic.detector(service, kind);
        let candidates = Router::candidates(now, service, view.open_endpoints(), detector, tried);
        let costs = traffic.route_costs();
        let traffic = &mut *traffic;
        let chosen =
            traffic.router.choose(now, &candidates, &traffic.loads, slots, repeatable, costs)?;
        let endpoint = view.endpoints.get(&chosen.instance)?;
        traffic.loads.request_sent(&chosen.instance, slots);
        traffic.detector(service, kind).record_request(now, &chosen.instance);
        let target = Target::new(&self.agents, endpoint);
        Some(SlotReservation { state: Rc::clone(self), slots, target })
    }

    /// Records the result of an attempt for outlier detection and the mean request time.
    pub(in crate::entry) fn record_sample(
        &self,
        request: &CheckedRequest,
        reservation: &SlotReservation,
        sample: Sample,
    ) {
        let now = self.clock.now();
        let instance = &reservation.target.incarnation.instance;
        let mut traffic = self.traffic.borrow_mut();
        if let Sample::Answered(time) = sample {
            traffic.record_time(time);
        }
        if traffic.detector(&request.service, &request.kind).record_sample(now, instance, sample) {
            let kind = request.kind.to_string();
            event::EndpointEjected { instance: instance.clone(), kind }.emit();
        }
    }

    /// Records the number of used slots that an agent reported with the reply to the request of
    /// `reservation`. The agent has already freed the slots of that request, while this entry still
    /// counts them.
    pub(in crate::entry) fn record_load(&self, reservation: &SlotReservation, used: u32) {
        let now = self.clock.now();
        let instance = &reservation.target.incarnation.instance;
        self.traffic.borrow_mut().loads.record_report(now, instance, used + reservation.slots);
    }

    /// Decides whether a failed attempt is retried. Returns after the pause before the next
    /// attempt, or the final refusal as an error.
    pub(in crate::entry) async fn wait_for_retry(
        &self,
        request: &CheckedRequest,
        failure: Failure,
        attempts: u32,
        refusal: Refusal,
    ) -> Result<()> {
        let protected = request.spec()?.protected;
        let failed = FailedAttempt { failure, attempts, protected, deadline: request.deadline };
        let now = self.clock.now();
        let (next, retry) = {
            let mut traffic = self.traffic.borrow_mut();
            let policy = traffic.policy;
            let mut random = traffic.random.fork();
            let service = traffic.service(&request.service);
            let next = policy.decide(now, failed, &mut service.budget, &mut random);
            (next, service.queue.retry_after(&request.team))
        };
        match next {
            RetryDecision::Retry(pause) => {
                sleep(pause).await;
                Ok(())
            }
            RetryDecision::Stop(code) if code == refusal.code => {
                Err(with_retry_after(refusal, retry))
            }
            RetryDecision::Stop(code) => {
                Err(with_retry_after(Refusal::new(code, refusal.to_string()), retry))
            }
        }
    }

    /// Returns the refusal when no endpoint is left for another attempt.
    pub(in crate::entry) fn no_endpoint_left(
        &self,
        request: &CheckedRequest,
        refusal: Refusal,
    ) -> Refusal {
        let mut traffic = self.traffic.borrow_mut();
        let retry = traffic.service(&request.service).queue.retry_after(&request.team);
        with_retry_after(refusal, retry)
    }

    /// Starts the tasks that admit queued requests and renew shares.
    pub(in crate::entry) fn start_traffic(self: &Rc<Self>) {
        spawn_local(Rc::clone(self).run_admission());
        spawn_local(Rc::clone(self).run_shares());
    }
}

/// Adds the time after which the caller may retry, where a retry may help.
fn with_retry_after(refusal: Refusal, retry: Duration) -> Refusal {
    // Codes in the 3000s report conditions that may pass.
    let helps = refusal.code.number() / 1_000 == 3 || refusal.code == Code::InProgress;
    if refusal.retry.is_some() || !helps { refusal } else { refusal.retry_after(retry) }
}
