//! Order in which the machines of a wave go down for maintenance.
//!
//! Covers a wave over workers in use that has to finish in time with few machines down at once. The
//! machine that loses the least work goes first. It is drained: it is assigned nothing new, its
//! tasks have a while to finish, and the rest is stopped, so that progress is saved and services
//! keep within their disruption budget.

use {
    crate::{
        id::{RunId, StepId},
        ledger::{Event, Ledger, StopCause, Wave, Worker},
        message::{Machine, MachineState},
        plan::{ClusterView, capacity::ClusterCapacity, disruption},
    },
    bronzespool_core::{HashMap, HashSet, Time},
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// Percentage of a machine's share of the wave's duration for which its tasks may go on.
const DRAIN_PERCENT: u32 = 40;
/// Percentage after which the machine goes down with the tasks that are left, unless one of them has
/// a disruption budget.
const DEADLINE_PERCENT: u32 = 80;
/// Time after an order during which the list of machines may not show its effect yet.
const LIST_LAG: Duration = Duration::from_secs(2);

/// Longest time for which a machine is drained while a budget keeps a task on it from being stopped.
const BLOCKED_MAX: Duration = Duration::from_secs(10);
/// Time for which such a machine is assigned tasks again; doubled with each release.
const RELEASE_PAUSE: Duration = Duration::from_secs(10);
/// Most doublings of the pause.
const RELEASE_DOUBLINGS_MAX: u32 = 5;

/// An order to take a machine down now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Takedown {
    /// Wave that it belongs to.
    pub wave: u64,
    /// The machine.
    pub machine: Arc<str>,
}

/// A machine that is drained in vain, as a budget keeps a task on it from being stopped.
#[derive(Clone, Copy, Debug)]
struct Blocked {
    since: Time,
    /// Until when the machine is assigned tasks again, once it has been released.
    paused_until: Option<Time>,
    /// How often it was released.
    releases: u32,
}

/// A machine of a wave that waits for the budget of a step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BlockedMachine {
    /// The wave.
    pub wave: u64,
    /// The machine.
    pub machine: Arc<str>,
    /// The step whose budget is used up, or not known to be left.
    pub step: StepId,
    /// Time after which the machine is assigned tasks again for a while.
    pub release_after: Duration,
}

/// A request for the list of machines that a process is carrying out.
#[derive(Clone, Copy, Debug)]
struct ListRequest {
    /// Control instance beside the process.
    control: SocketAddr,
    at: Time,
}

/// The leader's knowledge of machines. This state is not replicated: each new leader starts without
/// it.
#[derive(Clone, Debug, Default)]
pub struct MaintenancePlanner {
    /// Machines by the latest list; none before the first one.
    machines: Option<HashMap<Arc<str>, Machine>>,
    /// Log time at which this list was requested: it may lack all that happened since.
    listed_at: Time,
    requested: Option<ListRequest>,
    /// Machines that are being drained, and since when.
    draining: HashMap<Arc<str>, Time>,
    /// Machines on which the budget of a step keeps a task from being stopped.
    blocked: HashMap<Arc<str>, Blocked>,
    /// Machines that were ordered to go down, and when.
    ordered: HashMap<Arc<str>, Time>,
    /// Blocked machines that have not been taken by [`MaintenancePlanner::take_newly_blocked`].
    newly_blocked: Vec<BlockedMachine>,
    /// Fencing token of this leader's orders.
    epoch: u64,
    /// Whether the platform has refused an order with this token.
    fenced: bool,
}

impl MaintenancePlanner {
    /// A planner whose orders carry the fencing token `epoch`.
    pub fn new(epoch: u64) -> Self {
        Self { epoch, ..Self::default() }
    }

    /// Records that the platform has refused an order with the fencing token `epoch`. An order of
    /// an earlier leader says nothing about this one's.
    pub const fn record_fenced(&mut self, epoch: u64) {
        self.fenced |= epoch == self.epoch;
    }

    /// Whether the platform has refused this leader's fencing token, so that orders are of no use.
    pub const fn is_fenced(&self) -> bool {
        self.fenced
    }

    /// Records that the process beside the control instance at `control` is told at the log time
    /// `now` to list the machines.
    pub const fn request_list(&mut self, control: SocketAddr, now: Time) {
        self.requested = Some(ListRequest { control, at: now });
    }

    /// Replaces the list of machines. A list that this leader has not requested from that process may
    /// be of any age, as one of a process that was frozen, and is ignored.
    pub fn receive_list(&mut self, control: SocketAddr, machines: Vec<Machine>) {
        let Some(request) = self.requested.take_if(|r| r.control == control) else { return };
        self.machines = Some(machines.into_iter().map(|m| (m.name.clone(), m)).collect());
        self.listed_at = request.at;
    }

    /// Whether there is no list of machines, or one that was requested longer than `age_max` ago.
    pub fn is_list_stale(&self, now: Time, age_max: Duration) -> bool {
        self.machines.is_none() || now.since(self.listed_at) > age_max
    }

    /// Whether the planner needs a list of machines.
    pub fn needs_machines(ledger: &Ledger) -> bool {
        ledger.waves().any(|w| !w.is_done())
    }

    /// Returns the worker on a machine, by the latest list.
    pub fn worker_of(&self, machine: &str) -> Option<&Arc<str>> {
        self.machines.as_ref()?.get(machine)?.worker.as_ref()
    }

    /// Workers that are assigned no new tasks because their machines go down next.
    pub fn draining_workers(&self) -> impl Iterator<Item = &Arc<str>> {
        let machines = self.machines.iter();
        machines.flat_map(|all| self.draining.keys().filter_map(|m| all.get(m)?.worker.as_ref()))
    }

    /// Chooses machines to drain from now on. Returns the events to commit and the machine to take
    /// down, if any.
    pub fn plan(&mut self, ledger: &Ledger, view: &ClusterView) -> (Vec<Event>, Option<Takedown>) {
        let (mut events, mut takedown) = (Vec::new(), None);
        let Some(machines) = self.machines.clone() else { return (events, takedown) };
        let waves: Vec<&Wave> = ledger.waves().filter(|w| !w.is_done()).collect();
        // One for all machines and waves, so that each stop counts against the budgets of the next ones.
        let mut capacity = ClusterCapacity::new(ledger, view);
        let is_waiting = |m: &Arc<str>| waves.iter().any(|w| w.remaining().any(|r| r == m));
        self.blocked.retain(|m, _| is_waiting(m));
        self.draining.retain(|m, _| waves.iter().any(|w| w.remaining().any(|r| r == m)));
        for wave in waves {
            // A machine of the wave may have joined after an earlier list was made.
            if wave.ordered_at <= self.listed_at {
                events.extend(missing_machines(wave, &machines));
            }
            self.start_draining(wave, &machines, ledger, view);
            let context = WaveContext { wave, machines: &machines, ledger, view };
            for machine in wave.remaining() {
                let Some(since) = self.draining.get(machine).copied() else { continue };
                let step = context.next_step(machine, since, &mut capacity);
                self.note_blocked(wave.spec.id, machine, &step, view.now);
                match step {
                    MachineStep::Wait | MachineStep::Blocked(_) => {}
                    MachineStep::Stop(runs) => {
                        events.push(Event::Stopping { runs, cause: StopCause::Maintenance });
                    }
                    MachineStep::Down
                        if self.may_order(machine, view.now) && takedown.is_none() =>
                    {
                        self.ordered.insert(machine.clone(), view.now);
                        takedown = Some(Takedown { wave: wave.spec.id, machine: machine.clone() });
                    }
                    MachineStep::Down => {}
                }
            }
        }
        (events, takedown)
    }

    /// Takes the machines that have begun to wait for a budget since the last call.
    pub fn take_newly_blocked(&mut self) -> Vec<BlockedMachine> {
        std::mem::take(&mut self.newly_blocked)
    }

    /// Notes whether a budget keeps a task on a machine from being stopped.
    fn note_blocked(&mut self, wave: u64, machine: &Arc<str>, step: &MachineStep, now: Time) {
        let MachineStep::Blocked(step) = step else {
            if matches!(step, MachineStep::Down) {
                self.blocked.remove(machine);
            } else if let Some(blocked) = self.blocked.get_mut(machine) {
                blocked.since = now;
            }
            return;
        };
        if self.blocked.contains_key(machine) {
            return;
        }
        let blocked = Blocked { since: now, paused_until: None, releases: 0 };
        self.blocked.insert(machine.clone(), blocked);
        let (machine, step) = (machine.clone(), *step);
        let release_after = BLOCKED_MAX;
        self.newly_blocked.push(BlockedMachine { wave, machine, step, release_after });
    }

    /// Lets the machines of a wave that have been blocked for long be assigned tasks again, each time
    /// for twice as long: what the budget waits for may have no other room.
    fn release_blocked(&mut self, wave: &Wave, now: Time) {
        for machine in wave.remaining() {
            let Some(blocked) = self.blocked.get_mut(machine) else { continue };
            let is_draining = self.draining.contains_key(machine);
            if is_draining && now.since(blocked.since) >= BLOCKED_MAX {
                let pause = RELEASE_PAUSE * 2_u32.pow(blocked.releases.min(RELEASE_DOUBLINGS_MAX));
                blocked.paused_until = Some(now + pause);
                blocked.releases += 1;
                self.draining.remove(machine);
            } else if !is_draining {
                blocked.since = now;
            }
        }
    }

    /// Whether a machine has been released and is not drained again yet.
    fn is_paused(&self, machine: &Arc<str>, now: Time) -> bool {
        let until = self.blocked.get(machine).and_then(|b| b.paused_until);
        until.is_some_and(|until| now < until)
    }

    fn may_order(&self, machine: &Arc<str>, now: Time) -> bool {
        self.ordered.get(machine).is_none_or(|at| now.since(*at) > LIST_LAG)
    }

    /// Starts to drain the machines that lose the least, as many as the wave's limit allows.
    fn start_draining(
        &mut self,
        wave: &Wave,
        machines: &HashMap<Arc<str>, Machine>,
        ledger: &Ledger,
        view: &ClusterView,
    ) {
        let now = view.now;
        self.release_blocked(wave, now);
        let recently_ordered =
            |m: &Arc<str>| self.ordered.get(m).is_some_and(|at| now.since(*at) <= LIST_LAG);
        let is_down = |m: &&Arc<str>| {
            wave.begun.contains(*m) && recently_ordered(m)
                || machines.get(*m).is_some_and(|m| m.state != MachineState::Up)
        };
        let unavailable = wave.spec.machines.iter().filter(is_down).count();
        let chosen = wave.remaining().filter(|m| self.draining.contains_key(*m)).count();
        let free_places = (wave.spec.down_max as usize).saturating_sub(unavailable + chosen);
        let mut rest: Vec<_> = wave
            .remaining()
            .filter(|m| !self.draining.contains_key(*m) && !self.is_paused(m, now))
            .filter(|m| machines.get(*m).is_some_and(|m| m.state == MachineState::Up))
            .map(|m| (machine_worker(ledger, machines, m).map_or(0, load), m.clone()))
            .collect();
        rest.sort();
        let chosen: HashSet<_> = rest.into_iter().take(free_places).map(|(_, m)| m).collect();
        self.draining.extend(chosen.into_iter().map(|m| (m, now)));
    }
}

/// Machines that do not exist any more count as having begun their maintenance.
fn missing_machines(wave: &Wave, machines: &HashMap<Arc<str>, Machine>) -> Vec<Event> {
    let gone = wave.remaining().filter(|m| !machines.contains_key(*m));
    gone.map(|m| Event::MaintenanceBegun { wave: wave.spec.id, machine: m.clone() }).collect()
}

fn machine_worker<'a>(
    ledger: &'a Ledger,
    machines: &HashMap<Arc<str>, Machine>,
    machine: &Arc<str>,
) -> Option<&'a Worker> {
    let id = machines.get(machine)?.worker.as_ref()?;
    ledger.workers().find(|w| w.spec.incarnation.worker == *id)
}

/// Weight of the resources that a worker's runs use.
fn load(worker: &Worker) -> u64 {
    worker.used().weight()
}

/// Next step for a machine that is being drained.
enum MachineStep {
    Wait,
    /// The budget of this step keeps a task from being stopped.
    Blocked(StepId),
    Stop(Vec<RunId>),
    Down,
}

/// The context of deciding on the machines of one wave.
struct WaveContext<'a> {
    wave: &'a Wave,
    machines: &'a HashMap<Arc<str>, Machine>,
    ledger: &'a Ledger,
    view: &'a ClusterView,
}

impl WaveContext<'_> {
    fn next_step(
        &self,
        machine: &Arc<str>,
        since: Time,
        capacity: &mut ClusterCapacity<'_>,
    ) -> MachineStep {
        if self.machines.get(machine).is_some_and(|m| m.state != MachineState::Up) {
            return MachineStep::Wait;
        }
        let Some(worker) = machine_worker(self.ledger, self.machines, machine) else {
            return MachineStep::Down;
        };
        if worker.runs.is_empty() {
            return MachineStep::Down;
        }
        let waited = self.view.now.since(since);
        let (stops, blocking) = self.runs_to_stop(worker, waited, capacity);
        if !stops.is_empty() {
            return MachineStep::Stop(stops);
        }
        if let Some(step) = blocking {
            return MachineStep::Blocked(step);
        }
        let budgeted = worker.runs.keys().any(|r| self.is_budgeted(*r));
        let late = waited > self.share(DEADLINE_PERCENT);
        if late && !budgeted { MachineStep::Down } else { MachineStep::Wait }
    }

    /// Returns the runs to stop now: long-lived ones at once, the others after a while, both as far
    /// as their disruption budgets allow; and a step whose budget does not.
    fn runs_to_stop(
        &self,
        worker: &Worker,
        waited: Duration,
        capacity: &mut ClusterCapacity<'_>,
    ) -> (Vec<RunId>, Option<StepId>) {
        let may_finish = waited < self.share(DRAIN_PERCENT);
        let (mut stops, mut blocking) = (Vec::new(), None);
        let runs: Vec<RunId> = worker.runs.keys().copied().collect();
        for run in runs.into_iter().filter(|r| !self.is_stopping(*r)) {
            let step = run.task.step;
            let Some(job) = self.ledger.job(step.job) else { continue };
            let long_lived = job.step_spec(step.step).is_some_and(|s| s.long_lived);
            if !long_lived && may_finish {
                continue;
            }
            if disruption::remaining_budget(capacity, self.view, job, run) == Some(0) {
                blocking = Some(step);
            } else {
                capacity.stopping.insert(run);
                stops.push(run);
            }
        }
        (stops, blocking)
    }

    /// Whether a run is being stopped, or a plan has proposed its stop.
    fn is_stopping(&self, run: RunId) -> bool {
        self.ledger.is_unwanted(run) || self.view.stopping.contains(&run)
    }

    fn is_budgeted(&self, run: RunId) -> bool {
        let step = run.task.step;
        let spec = self.ledger.job(step.job).and_then(|j| j.step_spec(step.step));
        spec.is_some_and(|s| s.disruption_budget.is_some())
    }

    /// Returns a percentage of the time that each batch of machines has.
    fn share(&self, percent: u32) -> Duration {
        let rounds =
            self.wave.spec.machines.len().div_ceil(self.wave.spec.down_max.max(1) as usize);
        let whole = Duration::from_millis(self.wave.spec.duration);
        whole / rounds.max(1) as u32 * percent / 100
    }
}
