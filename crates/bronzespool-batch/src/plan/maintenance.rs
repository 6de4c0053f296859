//! Which machines go down for maintenance next.
//!
//! Load it answers: a wave over workers that are in use, to be finished in time with few of them
//! down at once. The machine that loses the least work goes first; it gets nothing new, its tasks
//! may end for a while, and what is left then is stopped, so that progress is saved and services
//! keep within their disruption budget.

use {
    crate::{
        id::RunId,
        ledger::{Event, Ledger, StopCause, Wave, Worker},
        message::{Machine, MachineState},
        plan::{ClusterView, disruption, room::Room},
    },
    bronzespool_core::{HashMap, HashSet, Time},
    std::{sync::Arc, time::Duration},
};

/// Share of a machine's part of the wave's time, in percent, for which its tasks may go on.
const PATIENCE_PERCENT: u32 = 40;
/// Share after which it goes down with whatever is left.
const LATEST_PERCENT: u32 = 80;
/// Time after an order in which the list of machines may not show it yet.
const ORDERED: Duration = Duration::from_secs(2);

/// A machine that goes down now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Takedown {
    /// Wave that it belongs to.
    pub wave: u64,
    /// The machine.
    pub machine: Arc<str>,
}

/// What the leader knows of machines beside the ledger; it begins anew with each leader.
#[derive(Clone, Debug, Default)]
pub struct MaintenancePlanner {
    /// Machines by the latest list; none before the first.
    machines: Option<HashMap<Arc<str>, Machine>>,
    /// Machines that are emptied, and since when.
    emptied: HashMap<Arc<str>, Time>,
    /// Machines whose order was given, and when.
    ordered: HashMap<Arc<str>, Time>,
}

impl MaintenancePlanner {
    /// Takes a whole list of machines.
    pub fn set_machines(&mut self, machines: Vec<Machine>) {
        self.machines = Some(machines.into_iter().map(|m| (m.name.clone(), m)).collect());
    }

    /// Whether a list of machines is needed.
    pub fn needs_machines(ledger: &Ledger) -> bool {
        ledger.waves().any(|w| !w.is_done())
    }

    /// Workers that get nothing new, since their machines go down next.
    pub fn draining_workers(&self) -> impl Iterator<Item = &Arc<str>> {
        let machines = self.machines.iter();
        machines.flat_map(|all| self.emptied.keys().filter_map(|m| all.get(m)?.worker.as_ref()))
    }

    /// Chooses machines that are emptied from now on; returns the events and the machine that goes
    /// down.
    pub fn plan(&mut self, ledger: &Ledger, scene: &ClusterView) -> (Vec<Event>, Option<Takedown>) {
        let (mut events, mut down) = (Vec::new(), None);
        let Some(machines) = self.machines.clone() else { return (events, down) };
        let waves: Vec<&Wave> = ledger.waves().filter(|w| !w.is_done()).collect();
        self.emptied.retain(|m, _| waves.iter().any(|w| w.remaining().any(|r| r == m)));
        for wave in waves {
            events.extend(missing(wave, &machines));
            self.choose(wave, &machines, ledger, scene);
            let turn = Turn { wave, machines: &machines, ledger, scene };
            for machine in wave.remaining() {
                let Some(since) = self.emptied.get(machine).copied() else { continue };
                match turn.next(machine, since) {
                    Step::Wait => {}
                    Step::Stop(runs) => {
                        events.push(Event::Stopping { runs, cause: StopCause::Maintenance });
                    }
                    Step::Down if self.may_order(machine, scene.now) && down.is_none() => {
                        self.ordered.insert(machine.clone(), scene.now);
                        down = Some(Takedown { wave: wave.spec.id, machine: machine.clone() });
                    }
                    Step::Down => {}
                }
            }
        }
        (events, down)
    }

    fn may_order(&self, machine: &Arc<str>, now: Time) -> bool {
        self.ordered.get(machine).is_none_or(|at| now.since(*at) > ORDERED)
    }

    /// Fills the places of a wave with the machines that lose the least.
    fn choose(
        &mut self,
        wave: &Wave,
        machines: &HashMap<Arc<str>, Machine>,
        ledger: &Ledger,
        scene: &ClusterView,
    ) {
        let now = scene.now;
        let fresh = |m: &Arc<str>| self.ordered.get(m).is_some_and(|at| now.since(*at) <= ORDERED);
        let is_down = |m: &&Arc<str>| {
            wave.begun.contains(*m) && fresh(m)
                || machines.get(*m).is_some_and(|m| m.state != MachineState::Up)
        };
        let away = wave.spec.machines.iter().filter(is_down).count();
        let chosen = wave.remaining().filter(|m| self.emptied.contains_key(*m)).count();
        let places = (wave.spec.down_max as usize).saturating_sub(away + chosen);
        let mut rest: Vec<_> = wave
            .remaining()
            .filter(|m| !self.emptied.contains_key(*m))
            .filter(|m| machines.get(*m).is_some_and(|m| m.state == MachineState::Up))
            .map(|m| (worker(ledger, machines, m).map_or(0, held), m.clone()))
            .collect();
        rest.sort();
        let chosen: HashSet<_> = rest.into_iter().take(places).map(|(_, m)| m).collect();
        self.emptied.extend(chosen.into_iter().map(|m| (m, now)));
    }
}

/// Machines that are not there any more have nothing to begin.
fn missing(wave: &Wave, machines: &HashMap<Arc<str>, Machine>) -> Vec<Event> {
    let gone = wave.remaining().filter(|m| !machines.contains_key(*m));
    gone.map(|m| Event::MaintenanceBegun { wave: wave.spec.id, machine: m.clone() }).collect()
}

fn worker<'a>(
    ledger: &'a Ledger,
    machines: &HashMap<Arc<str>, Machine>,
    machine: &Arc<str>,
) -> Option<&'a Worker> {
    let id = machines.get(machine)?.worker.as_ref()?;
    ledger.workers().find(|w| w.spec.incarnation.worker == *id)
}

/// Weight of what a worker runs.
fn held(worker: &Worker) -> u64 {
    worker.used().weight()
}

/// What happens to a machine that is emptied.
enum Step {
    Wait,
    Stop(Vec<RunId>),
    Down,
}

/// The turn of the machines of one wave.
struct Turn<'a> {
    wave: &'a Wave,
    machines: &'a HashMap<Arc<str>, Machine>,
    ledger: &'a Ledger,
    scene: &'a ClusterView,
}

impl Turn<'_> {
    fn next(&self, machine: &Arc<str>, since: Time) -> Step {
        if self.machines.get(machine).is_some_and(|m| m.state != MachineState::Up) {
            return Step::Wait;
        }
        let Some(worker) = worker(self.ledger, self.machines, machine) else { return Step::Down };
        if worker.runs.is_empty() {
            return Step::Down;
        }
        let waited = self.scene.now.since(since);
        let stops = self.stops(worker, waited);
        if !stops.is_empty() {
            return Step::Stop(stops);
        }
        let lasts = worker.runs.keys().any(|r| self.is_budgeted(*r));
        let late = waited > self.share(LATEST_PERCENT);
        if late && !lasts { Step::Down } else { Step::Wait }
    }

    /// Runs to stop now: services at once, as far as their budgets allow, the rest after a while.
    fn stops(&self, worker: &Worker, waited: Duration) -> Vec<RunId> {
        let mut room = Room::new(self.ledger, self.scene);
        let patient = waited < self.share(PATIENCE_PERCENT);
        let mut stops = Vec::new();
        for run in worker.runs.keys().filter(|r| !self.ledger.is_unwanted(**r)) {
            let step = run.task.step;
            let Some(job) = self.ledger.job(step.job) else { continue };
            let lasting = job.step_spec(step.step).is_some_and(|s| s.long_lived);
            let spare = disruption::spare(&room, self.scene, job, *run);
            if (lasting || !patient) && spare.is_none_or(|s| s > 0) {
                room.leaving.insert(*run);
                stops.push(*run);
            }
        }
        stops
    }

    fn is_budgeted(&self, run: RunId) -> bool {
        let step = run.task.step;
        let shape = self.ledger.job(step.job).and_then(|j| j.step_spec(step.step));
        shape.is_some_and(|s| s.disruption_budget.is_some())
    }

    /// A share of the time that each round of machines has.
    fn share(&self, percent: u32) -> Duration {
        let rounds =
            self.wave.spec.machines.len().div_ceil(self.wave.spec.down_max.max(1) as usize);
        let whole = Duration::from_millis(self.wave.spec.duration);
        whole / rounds.max(1) as u32 * percent / 100
    }
}
