//! Lets waiting requests go as limits and slots allow, and chooses their endpoints.

use {
    crate::{
        entry::{
            dispatch::Target,
            filter::{Checked, Result},
            state::State,
            traffic::lane::{Lane, Permit},
        },
        telemetry::{Event as _, event},
    },
    bronzespool::{
        core::{Code, Instance, Kind, Refusal, Service, Team},
        flow::{
            outlier::Sample,
            retry::{FailedAttempt, Failure, RetryDecision},
            route::Router,
            view::Presence,
        },
    },
    std::{rc::Rc, time::Duration},
    tokio::{
        task::spawn_local,
        time::{sleep, timeout},
    },
};

/// Time between two rounds while requests wait: tokens come and deadlines pass by time alone.
const ROUND: Duration = Duration::from_millis(5);
/// Time between two rounds while none wait.
const IDLE: Duration = Duration::from_secs(1);

impl State {
    /// Wakes the pump, unless the pump itself has given something back: it would never sleep.
    pub(super) fn pump_soon(&self) {
        if !self.in_pump.get() {
            self.pumping.notify_one();
        }
    }

    /// Pumps all queues for as long as the entry lives.
    pub(in crate::entry) async fn run_pump(self: Rc<Self>) {
        loop {
            self.in_pump.set(true);
            let waiting = self.pump_all();
            self.in_pump.set(false);
            let span = if waiting { ROUND } else { IDLE };
            let _ = timeout(span, self.pumping.notified()).await;
        }
    }

    /// Returns whether requests still wait.
    fn pump_all(self: &Rc<Self>) -> bool {
        let services: Vec<_> = self.traffic.borrow().services.keys().cloned().collect();
        for service in &services {
            self.expire(service);
            while self.pump_one(service) {}
        }
        self.traffic.borrow().services.values().any(|s| !s.queue.is_empty())
    }

    fn expire(&self, service: &Service) {
        let now = self.clock.now();
        let refused = self.traffic.borrow_mut().service(service).queue.expire(now);
        for refused in refused {
            let refusal = Refusal::from(refused.code).retry_after(refused.retry_after);
            let _ = refused.item.grant.send(Err(refusal));
        }
    }

    /// Lets one request go. Returns whether another may follow.
    fn pump_one(self: &Rc<Self>, service: &Service) -> bool {
        if self.traffic.borrow_mut().service(service).queue.is_empty() {
            return false;
        }
        let Some((kind, slots)) = self.widest(service) else {
            return false;
        };
        let Some(mut lane) = self.choose(service, &kind, slots, false, &[]) else {
            return false;
        };
        let now = self.clock.now();
        let popped = {
            let mut traffic = self.traffic.borrow_mut();
            let traffic = traffic.service(service);
            let buckets = &mut traffic.buckets;
            let popped = traffic.queue.pop(now, |team| buckets.check(now, team).is_ok());
            popped.filter(|entry| buckets.acquire(now, &entry.team).is_ok())
        };
        let Some(entry) = popped else {
            return false;
        };
        self.traffic
            .borrow_mut()
            .loads
            .request_ended(&lane.target.incarnation.instance, lane.slots);
        lane.slots = entry.item.slots;
        self.traffic.borrow_mut().loads.request_sent(&lane.target.incarnation.instance, lane.slots);
        // A caller that has gone gives permit and lane back by dropping them.
        let _ = entry.item.grant.send(Ok((self.permit(service, &entry.team), lane)));
        true
    }

    /// The kind of a service that takes the most slots.
    fn widest(&self, service: &Service) -> Option<(Kind, u32)> {
        let view = self.view();
        let kinds = &view.config.services.get(service)?.kinds;
        let widest = kinds.iter().max_by_key(|(_, spec)| spec.need.slots)?;
        Some((widest.0.clone(), widest.1.need.slots))
    }

    pub(super) fn permit(self: &Rc<Self>, service: &Service, team: &Team) -> Permit {
        Permit { state: Rc::clone(self), service: service.clone(), team: team.clone() }
    }

    /// Whether any endpoint that takes work serves the request's service.
    pub(super) fn has_endpoint(&self, request: &Checked) -> bool {
        let view = self.view();
        let serves = |p: &bronzespool::flow::view::EndpointRecord| {
            p.presence == Presence::Up && p.services.contains(&request.service)
        };
        view.endpoints.values().any(serves)
    }

    /// Chooses an endpoint with free slots and counts them as taken.
    pub(in crate::entry) fn choose(
        self: &Rc<Self>,
        service: &Service,
        kind: &Kind,
        slots: u32,
        repeatable: bool,
        tried: &[Instance],
    ) -> Option<Lane> {
        let now = self.clock.now();
        let view = self.view();
        let mut traffic = self.traffic.borrow_mut();
        let ejector = traffic.ejector(service, kind);
        let candidates = Router::candidates(now, service, view.endpoints.values(), ejector, tried);
        let spill = traffic.spill();
        let traffic = &mut *traffic;
        let chosen =
            traffic.router.choose(now, &candidates, &traffic.loads, slots, repeatable, spill)?;
        let peer = view.endpoints.get(&chosen.instance)?;
        traffic.loads.request_sent(&chosen.instance, slots);
        traffic.ejector(service, kind).record_request(now, &chosen.instance);
        let target = Target::new(&self.agents, peer);
        Some(Lane { state: Rc::clone(self), slots, target })
    }

    /// Notes how an attempt at an endpoint ended.
    pub(in crate::entry) fn sample(&self, request: &Checked, lane: &Lane, sample: Sample) {
        let now = self.clock.now();
        let instance = &lane.target.incarnation.instance;
        let mut traffic = self.traffic.borrow_mut();
        if let Sample::Answered(span) = sample {
            traffic.took(span);
        }
        if traffic.ejector(&request.service, &request.kind).record_sample(now, instance, sample) {
            let kind = request.kind.to_string();
            event::EndpointEjected { instance: instance.clone(), kind }.emit();
        }
    }

    /// An agent told, with the reply to the request of `lane`, how many of its slots are in use.
    /// It has freed that request's slots, while this entry still counts them.
    pub(in crate::entry) fn heard(&self, lane: &Lane, used: u32) {
        let now = self.clock.now();
        let instance = &lane.target.incarnation.instance;
        self.traffic.borrow_mut().loads.record_report(now, instance, used + lane.slots);
    }

    /// Decides what follows a failed attempt. An error is the final answer; otherwise the pause
    /// before the next attempt has passed.
    pub(in crate::entry) async fn after_failure(
        &self,
        request: &Checked,
        failure: Failure,
        made: u32,
        refusal: Refusal,
    ) -> Result<()> {
        let protected = request.spec()?.protected;
        let failed =
            FailedAttempt { failure, attempts: made, protected, deadline: request.deadline };
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
            RetryDecision::Stop(code) if code == refusal.code => Err(hint(refusal, retry)),
            RetryDecision::Stop(code) => Err(hint(Refusal::new(code, refusal.to_string()), retry)),
        }
    }

    /// The answer when no endpoint is left for another attempt.
    pub(in crate::entry) fn no_lane(&self, request: &Checked, last: Refusal) -> Refusal {
        let mut traffic = self.traffic.borrow_mut();
        let retry = traffic.service(&request.service).queue.retry_after(&request.team);
        hint(last, retry)
    }

    /// Starts the tasks of the traffic.
    pub(in crate::entry) fn start_traffic(self: &Rc<Self>) {
        spawn_local(Rc::clone(self).run_pump());
        spawn_local(Rc::clone(self).run_shares());
    }
}

/// Adds when to come back, where coming back can help.
fn hint(refusal: Refusal, retry: Duration) -> Refusal {
    let helps = refusal.code.number() / 1_000 == 3 || refusal.code == Code::InProgress;
    if refusal.retry.is_some() || !helps { refusal } else { refusal.retry_after(retry) }
}
