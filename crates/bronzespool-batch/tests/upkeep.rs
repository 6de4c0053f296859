//! Waves of maintenance over machines that are in use.

mod common;

use {
    bronzespool_batch::{
        Event, EventOutcome, Step,
        ledger::{WaveError, WaveSpec},
        message::{Machine, MachineState},
        plan::{MaintenancePlanner, Progress},
    },
    bronzespool_core::Time,
    common::{World, step},
    std::{collections::BTreeMap, sync::Arc, time::Duration},
};

const TICK: Duration = Duration::from_millis(100);
/// Time for which a machine is down.
const DOWN: Duration = Duration::from_secs(2);

/// A world with machines, which does what the leader and the platform do.
struct Site {
    world: World,
    fleet: MaintenancePlanner,
    /// Machines that are down, and until when.
    down: BTreeMap<Arc<str>, Time>,
    /// Most machines that were down at once.
    most: usize,
    /// Orders given, in their order.
    orders: Vec<Arc<str>>,
    /// Most tasks of a service away at once, by order.
    away: usize,
}

impl Site {
    fn new(workers: usize) -> Self {
        Self {
            world: World::new(1, workers, 0),
            fleet: MaintenancePlanner::default(),
            down: BTreeMap::new(),
            most: 0,
            orders: Vec::new(),
            away: 0,
        }
    }

    fn order(&mut self, machines: &[&str], span: Duration, most: u32) -> EventOutcome {
        let spec = WaveSpec {
            id: 1,
            machines: machines.iter().map(|m| (*m).into()).collect(),
            duration: span.as_millis() as u64,
            down_max: most,
        };
        self.world.apply(Event::WaveOrdered(Arc::new(spec)))
    }

    fn list(&self) -> Vec<Machine> {
        let workers = self.world.ledger.workers();
        let machine = |w: &bronzespool_batch::ledger::Worker| {
            let worker = w.spec.incarnation.worker.clone();
            let name: Arc<str> = worker.replace('w', "m").into();
            let down = self.down.contains_key(&name);
            let state = if down { MachineState::Maintenance } else { MachineState::Up };
            Machine { name, state, worker: Some(worker) }
        };
        workers.map(machine).collect()
    }

    /// One round of the leader and of the platform; each task at work says so.
    fn tick(&mut self) {
        let now = self.world.scene.now;
        self.down.retain(|_, until| now < *until);
        self.fleet.set_machines(self.list());
        self.world.scene.draining = self.fleet.draining_workers().cloned().collect();
        let (events, down) = self.fleet.plan(&self.world.ledger, &self.world.scene);
        for event in events {
            self.world.apply(event);
        }
        if let Some(down) = down {
            self.down.insert(down.machine.clone(), now + DOWN);
            self.orders.push(down.machine.clone());
            let begun = Event::MaintenanceBegun { wave: down.wave, machine: down.machine };
            assert_eq!(self.world.apply(begun), EventOutcome::Applied);
        }
        self.most = self.most.max(self.down.len());
        self.away = self.away.max(self.world.end_unwanted());
        for given in self.world.started() {
            let done = Progress { checkpoint: "".into(), percent: 100 };
            self.world.scene.progress.insert(given.run, done);
        }
        self.world.pass(TICK);
    }

    fn pass(&mut self, span: Duration) {
        let end = self.world.scene.now + span;
        while self.world.scene.now < end {
            self.tick();
        }
    }

    fn done(&self) -> bool {
        self.world.ledger.wave(1).unwrap().is_done()
    }
}

#[test]
fn plan_idle_machines_go_down_a_few_at_a_time() {
    let mut site = Site::new(6);
    site.order(&["m0", "m1", "m2", "m3", "m4", "m5"], Duration::from_secs(20), 2);
    site.pass(Duration::from_secs(10));
    assert!(site.done());
    assert_eq!(site.most, 2);
    site.orders.sort();
    site.orders.dedup();
    assert_eq!(site.orders.len(), 6, "each once");
}

#[test]
fn plan_busy_machine_is_emptied_before_it_goes_down() {
    let mut site = Site::new(2);
    site.world.submit(1, 2, vec![Step { estimate: 60_000, ..step(1, 8) }]);
    site.tick();
    site.order(&["m0", "m1"], Duration::from_secs(10), 1);
    site.pass(Duration::from_secs(10));
    assert!(site.done(), "in time");
    assert_eq!(site.most, 1);
    let runs = site.world.ledger.workers().map(|w| w.runs.len()).sum::<usize>();
    assert_eq!(runs, 1, "the task goes on where it can");
}

#[test]
fn plan_emptied_worker_gets_nothing_new() {
    let mut site = Site::new(1);
    site.order(&["m0"], Duration::from_secs(60), 1);
    site.fleet.set_machines(site.list());
    site.fleet.plan(&site.world.ledger, &site.world.scene);
    site.world.scene.draining = site.fleet.draining_workers().cloned().collect();
    site.world.submit(1, 0, vec![step(1, 1)]);
    assert!(site.world.started().is_empty());
}

#[test]
fn plan_service_keeps_its_budget_while_a_machine_is_emptied() {
    let mut site = Site::new(2);
    let service = Step { long_lived: true, disruption_budget: Some(1), ..step(2, 4) };
    site.world.submit(1, 2, vec![service]);
    site.tick();
    site.order(&["m0", "m1"], Duration::from_secs(20), 1);
    site.pass(Duration::from_secs(20));
    assert!(site.done());
    assert_eq!(site.away, 1, "one task at a time is moved");
}

#[test]
fn plan_machine_that_is_not_there_counts_as_begun() {
    let mut site = Site::new(1);
    site.order(&["m0", "m9"], Duration::from_secs(10), 1);
    site.pass(Duration::from_secs(2));
    assert!(site.done());
    assert_eq!(site.orders, [Arc::from("m0")]);
}

#[test]
fn plan_order_without_an_answer_is_given_again_after_a_while() {
    let mut site = Site::new(1);
    site.order(&["m0"], Duration::from_secs(10), 1);
    let list = site.list();
    let mut orders = 0;
    for _ in 0..30 {
        site.fleet.set_machines(list.clone());
        orders += usize::from(site.fleet.plan(&site.world.ledger, &site.world.scene).1.is_some());
        site.world.pass(TICK);
    }
    assert_eq!(orders, 2, "once, and again after two seconds");
}

#[test]
fn order_same_wave_again_is_known() {
    let mut site = Site::new(1);
    assert_eq!(site.order(&["m0"], Duration::from_secs(10), 1), EventOutcome::Applied);
    assert_eq!(site.order(&["m0"], Duration::from_secs(10), 1), EventOutcome::Known);
}

#[test]
fn check_wave_that_could_never_end_is_refused() {
    let spec = WaveSpec { id: 1, machines: vec!["m0".into()], duration: 1_000, down_max: 0 };
    assert_eq!(spec.check(), Err(WaveError::DownMax));
}
