//! What an agent does: compares the leader's orders with what its worker says, and calls the
//! worker where they differ.
//!
//! A call without an answer may have been carried out, and may be carried out seconds later. A run
//! for which that holds is refused only after the worker has acknowledged a stop of it, which
//! keeps it from starting at all.

use {
    crate::{
        agent::{
            call::{Action, Limits, ListRequest, Listing, StartOutcome, StopOutcome},
            known::{Doing, Known},
            lease::ClockReading,
        },
        id::{RunId, WorkerIncarnation},
        ledger::{RunEnd, WorkerSpec},
        message::{Orders, Poll},
    },
    bronzespool_core::{Instance, Time},
    std::time::Duration,
};

/// Age of orders past which no task is started on them: the leader may have decided otherwise.
const ORDERS_AGE: Duration = Duration::from_millis(900);

/// The agent's state.
#[derive(Clone, Debug)]
pub struct Reconciler {
    limits: Limits,
    agent: Instance,
    nonce: u64,
    started: Time,
    worker: Option<Known>,
    gone: Vec<WorkerIncarnation>,
    orders: Option<Given>,
    /// Highest fencing token seen, in orders or by a worker's refusal.
    epoch: u64,
}

/// Orders and when the poll that they answer was sent.
#[derive(Clone, Debug)]
struct Given {
    sent: Time,
    orders: Orders,
}

impl Reconciler {
    /// An agent that knows nothing yet; `nonce` is fresh randomness of this start.
    pub fn new(agent: Instance, nonce: u64, limits: Limits, now: Time) -> Self {
        Self {
            limits,
            agent,
            nonce,
            started: now,
            worker: None,
            gone: Vec::new(),
            orders: None,
            epoch: 0,
        }
    }

    /// Takes a worker's check-in; false for one that an older life sent, or an older one of this
    /// life.
    pub fn check_in(&mut self, now: Time, spec: WorkerSpec, seq: u64) -> bool {
        let Some(known) = &mut self.worker else {
            self.worker = Some(Known::new(spec, seq, now));
            return true;
        };
        if known.spec.incarnation == spec.incarnation {
            if seq <= known.seq {
                return false;
            }
            let leaving = known.spec.leaving || spec.leaving;
            known.spec = WorkerSpec { leaving, ..spec };
            known.seq = seq;
            known.beat = now;
            return true;
        }
        // A clock that was set back may make a new life look older than one that is gone.
        let quiet = !known.answers && known.is_silent(now, &self.limits);
        if spec.incarnation.started_at <= known.spec.incarnation.started_at && !quiet {
            return false;
        }
        let old = known.spec.incarnation.clone();
        self.gone.push(old);
        self.worker = Some(Known::new(spec, seq, now));
        true
    }

    /// Takes a worker's word that it ends now.
    pub fn leave(&mut self, worker: &str) {
        if let Some(known) = self.worker.as_mut().filter(|k| &*k.spec.incarnation.worker == worker)
        {
            known.spec.leaving = true;
            known.left = true;
        }
    }

    /// Whether the worker has said that it takes nothing new.
    pub fn is_leaving(&self) -> bool {
        self.worker.as_ref().is_some_and(|k| k.spec.leaving)
    }

    /// The worker's present life.
    pub fn incarnation(&self) -> Option<&WorkerIncarnation> {
        self.worker.as_ref().map(|k| &k.spec.incarnation)
    }

    /// What to tell the leader.
    pub fn poll(&self, now: Time) -> Poll {
        let known = self.worker.as_ref().filter(|k| k.is_sound(now, &self.limits));
        Poll {
            agent: self.agent.clone(),
            nonce: self.nonce,
            relay: None,
            worker: known.map(|k| k.spec.clone()),
            gone: self.gone.clone(),
            running: known.map(|k| k.running.clone()).unwrap_or_default(),
            ends: known.map(|k| k.ends.clone()).unwrap_or_default(),
            refused: known.map(|k| k.refused.iter().copied().collect()).unwrap_or_default(),
            in_flight: known.map(|k| k.doing.keys().copied().collect()).unwrap_or_default(),
        }
    }

    /// Takes the leader's answer to a poll that was sent at `sent`.
    pub fn receive_orders(&mut self, sent: Time, poll: &Poll, orders: Orders) {
        let late =
            self.orders.as_ref().is_some_and(|g| g.orders.epoch == orders.epoch && sent < g.sent);
        if orders.epoch < self.epoch || late {
            return;
        }
        self.epoch = orders.epoch;
        self.gone.retain(|l| !poll.gone.contains(l));
        let incarnation = self.worker.as_ref().map(|k| k.spec.incarnation.clone());
        if let Some(known) = &mut self.worker
            && orders.incarnation == incarnation
        {
            known.ends.retain(|e| e.number > orders.cursor);
            known.refused.retain(|r| !poll.refused.contains(r));
        }
        self.orders = Some(Given { sent, orders });
    }

    /// Calls that the worker needs now.
    pub fn actions(&mut self, now: Time) -> Vec<Action> {
        let Some(given) = &mut self.orders else { return Vec::new() };
        let Some(known) = &mut self.worker else { return Vec::new() };
        if given.orders.incarnation.as_ref() != Some(&known.spec.incarnation) || known.left {
            return Vec::new();
        }
        let (epoch, incarnation) = (given.orders.epoch, known.spec.incarnation.clone());
        let mut actions = Vec::new();
        for run in std::mem::take(&mut given.orders.stops) {
            if known.doing.contains_key(&run) {
                continue;
            }
            known.doing.insert(run, Doing::Calling);
            actions.push(Action::Stop { run, epoch, incarnation: incarnation.clone() });
        }
        let stale = now.since(given.sent) > ORDERS_AGE;
        let starts = std::mem::take(&mut given.orders.starts);
        if known.spec.leaving || stale {
            return actions;
        }
        let span = Duration::from_millis(given.orders.lease);
        for start in starts {
            if known.doing.contains_key(&start.run) || known.refused.contains(&start.run) {
                continue;
            }
            let Some(until) = known.lease.extend(now, given.sent, span, self.limits.lease_max)
            else {
                continue;
            };
            known.doing.insert(start.run, Doing::Calling);
            actions.push(Action::Start { start, until, epoch, incarnation: incarnation.clone() });
        }
        actions
    }

    /// Shares that fillers need now, by the worker's latest list.
    pub fn pace_actions(&mut self, now: Time) -> Vec<Action> {
        let Some(given) = &self.orders else { return Vec::new() };
        let Some(known) = &mut self.worker else { return Vec::new() };
        if given.orders.classes.is_empty()
            || given.orders.incarnation.as_ref() != Some(&known.spec.incarnation)
        {
            return Vec::new();
        }
        let parts = given.orders.classes.iter().copied().collect();
        let changes = known.pacer.listed(now, &known.running, &parts);
        let (epoch, incarnation) = (given.orders.epoch, &known.spec.incarnation);
        let pace =
            |(run, percent)| Action::Pace { run, percent, epoch, incarnation: incarnation.clone() };
        changes.into_iter().map(pace).collect()
    }

    /// Takes the worker's verdict on a share.
    pub fn pace_answered(
        &mut self,
        incarnation: &WorkerIncarnation,
        run: RunId,
        verdict: StopOutcome,
    ) {
        self.fence(verdict == StopOutcome::Fenced);
        if verdict != StopOutcome::Noted
            && let Some(known) = self.present(incarnation)
        {
            known.pacer.unheard(run);
        }
    }

    /// Takes the worker's verdict on a start.
    pub fn start_answered(
        &mut self,
        incarnation: &WorkerIncarnation,
        run: RunId,
        verdict: StartOutcome,
    ) {
        self.fence(verdict == StartOutcome::Fenced);
        let Some(known) = self.present(incarnation) else { return };
        match verdict {
            StartOutcome::Present | StartOutcome::Old => known.settle(run),
            StartOutcome::Refused if !known.doubt.contains(&run) => {
                known.doing.remove(&run);
                known.refused.insert(run);
            }
            StartOutcome::Refused | StartOutcome::Late | StartOutcome::Fenced => {
                known.doing.remove(&run);
            }
            StartOutcome::Unknown => {
                known.doubt.insert(run);
                known.doing.remove(&run);
            }
        }
    }

    /// Takes the worker's verdict on a stop.
    pub fn stop_answered(
        &mut self,
        now: Time,
        incarnation: &WorkerIncarnation,
        run: RunId,
        verdict: StopOutcome,
    ) {
        self.fence(verdict == StopOutcome::Fenced);
        let Some(known) = self.present(incarnation) else { return };
        match verdict {
            StopOutcome::Noted => {
                known.doing.insert(run, Doing::Stopping(known.looks + 1, now));
            }
            StopOutcome::Fenced | StopOutcome::Unknown => {
                known.doing.remove(&run);
            }
        }
    }

    /// How to look at the worker's list now, extending its lease as far as control allows.
    pub fn list_request(&mut self, now: Time) -> Option<ListRequest> {
        let hold = self.limits.lease_max;
        let epoch = self.orders.as_ref().map(|g| g.orders.epoch);
        let known = self.worker.as_mut()?;
        known.looks += 1;
        let incarnation = known.spec.incarnation.clone();
        let given = self.orders.as_ref().filter(|g| g.orders.epoch >= self.epoch);
        let mut look =
            ListRequest { epoch, cursor: 0, until: None, incarnation, serial: known.looks };
        if let Some(given) = given {
            if given.orders.incarnation.as_ref() == Some(&known.spec.incarnation) {
                look.cursor = given.orders.cursor;
            }
            if known.answers || !known.lease.is_read() {
                let span = Duration::from_millis(given.orders.lease);
                look.until = known.lease.extend(now, given.sent, span, hold);
            }
        }
        Some(look)
    }

    /// Takes the answer to a look; tells whether there is something new for the leader.
    pub fn receive_listing(&mut self, now: Time, look: &ListRequest, listing: Listing) -> bool {
        let Some(known) = self.present(&look.incarnation) else { return false };
        if listing.started_at.is_some_and(|b| b != look.incarnation.started_at) {
            return false;
        }
        known.answers = true;
        known.listed = true;
        known.lease.read(ClockReading { clock: listing.clock, at: now });
        let cursor = look.cursor;
        let ends: Vec<RunEnd> = listing.ends.into_iter().filter(|e| e.number > cursor).collect();
        let news = ends.len() > known.ends.len()
            || ends.last().map(|e| e.number) > known.ends.last().map(|e| e.number);
        known.ends = ends;
        known.running = listing.running;
        let settled = known.settled(now, look.serial);
        news || settled
    }

    /// The worker has not answered a look.
    pub fn list_unanswered(&mut self, look: &ListRequest) {
        if let Some(known) = self.present(&look.incarnation) {
            known.answers = false;
        }
    }

    /// Whether the worker has refused the fencing token: only newer orders count from now on.
    pub fn fenced(&mut self) {
        self.fence(true);
    }

    /// Forgets a worker that is gone: its leases have ended without an answer.
    pub fn expire(&mut self, now: Time) -> bool {
        let (hold, started) = (self.limits.lease_max, self.started);
        let Some(known) = &self.worker else { return false };
        let silent = !known.answers && known.is_silent(now, &self.limits);
        let over = known.lease.has_expired(now, started.max(known.since), hold);
        if !((silent || known.left) && over) {
            return false;
        }
        self.gone.push(known.spec.incarnation.clone());
        self.worker = None;
        true
    }

    fn fence(&mut self, fenced: bool) {
        if let Some(given) = self.orders.as_ref().filter(|_| fenced) {
            self.epoch = self.epoch.max(given.orders.epoch + 1);
            self.orders = None;
        }
    }

    fn present(&mut self, incarnation: &WorkerIncarnation) -> Option<&mut Known> {
        self.worker.as_mut().filter(|k| k.spec.incarnation == *incarnation)
    }
}
