//! Changes of workers and guarantees, and the bindings of guaranteed cells.

use {
    super::{Error, Result, SchedulerState, Worker},
    crate::{
        cell::{ACCELS_MAX, CellBinding},
        job::{Attempt, JobPhase},
    },
    bronzespool_core::{Capacity, Instance, Job, Place, Shape, Team, Time},
    std::collections::BTreeMap,
};

impl SchedulerState {
    pub(super) fn worker_up(
        &mut self,
        place: &Place,
        capacity: Capacity,
        incarnation: u64,
    ) -> Result<()> {
        if capacity.accels > ACCELS_MAX {
            return Err(Error::TooManyAccels(place.instance.clone()));
        }
        self.index.capacity_epoch += 1;
        if let Some(worker) = self.durable.workers.get_mut(&place.instance) {
            worker.capacity = capacity;
            worker.incarnation = incarnation;
            worker.up = true;
            worker.draining = false;
            let worker = worker.clone();
            self.index.occupancy.update(&worker);
            return Ok(());
        }
        let worker = Worker {
            slot: self.durable.slots,
            place: place.clone(),
            capacity,
            incarnation,
            up: true,
            draining: false,
            quarantine: None,
            probing: None,
            failures: BTreeMap::new(),
        };
        self.durable.slots += 1;
        self.index.occupancy.insert(&worker);
        self.durable.workers.insert(place.instance.clone(), worker);
        self.bind_all();
        Ok(())
    }

    /// Marks the bound cells of all teams again, since the new worker may extend one of them.
    fn bind_all(&mut self) {
        for team in self.durable.teams.values() {
            for binding in &team.bindings {
                self.index.occupancy.bind(binding);
            }
        }
    }

    pub(super) fn change_worker(
        &mut self,
        instance: &Instance,
        change: impl FnOnce(&mut Worker),
    ) -> Result<()> {
        let unknown = || Error::UnknownWorker(instance.clone());
        let worker = self.durable.workers.get_mut(instance).ok_or_else(unknown)?;
        change(worker);
        let worker = worker.clone();
        self.index.occupancy.update(&worker);
        self.index.capacity_epoch += 1;
        self.update_suspect(instance);
        let tasks = self.index.occupancy.slot(worker.slot).tasks.clone();
        for id in tasks.into_iter().map(|(id, _)| id).chain(worker.failures.into_keys()) {
            self.reindex(id);
        }
        Ok(())
    }

    pub(super) fn set_guarantees(&mut self, shapes: &[(Team, Vec<Shape>)]) {
        for team in self.durable.teams.values_mut() {
            team.shapes.clear();
        }
        for (team, shapes) in shapes {
            let guarantee = self.durable.teams.entry(team.clone()).or_default();
            for shape in shapes {
                *guarantee.shapes.entry(shape.level).or_default() += shape.count;
            }
        }
        self.durable.teams.retain(|_, t| !t.shapes.is_empty() || !t.bindings.is_empty());
        self.index.capacity_epoch += 1;
    }

    pub(super) fn bind(&mut self, team: &Team, bindings: &[CellBinding]) {
        if bindings.is_empty() {
            return;
        }
        let guarantee = self.durable.teams.entry(team.clone()).or_default();
        for binding in bindings {
            self.index.occupancy.bind(binding);
            guarantee.bindings.push(binding.clone());
        }
    }

    /// Makes an attempt on its team's guarantee borrowed; its members continue to run.
    pub(super) fn demote(&mut self, name: &Job, at: Time) {
        let Ok(id) = self.id(name) else {
            return;
        };
        let lease = self.durable.settings.borrowed_lease;
        let job = self.durable.jobs.get_mut(&id).expect("the number of a known job");
        let JobPhase::Active(attempt) = &mut job.phase else {
            return;
        };
        if attempt.borrowed {
            return;
        }
        let holding = |a: &Attempt| (0..a.cells.len()).filter(|&m| a.members[m].holds()).collect();
        let members: Vec<usize> = holding(attempt);
        let before = attempt.clone();
        attempt.borrowed = true;
        attempt.lease = lease;
        attempt.demoted = Some(at);
        let after = attempt.clone();
        let team = job.spec.team.clone();
        for member in members {
            self.index.occupancy.vacate(job, &before, member);
            self.index.occupancy.occupy(job, &after, member);
            let usage = self.index.team_usage.entry(team.clone()).or_default();
            usage.subtract(&before.cells[member], &job.spec.need, false);
            usage.add(&after.cells[member], &job.spec.need, true);
        }
        self.index.capacity_epoch += 1;
        self.unbind(&team);
        self.reindex(id);
    }

    /// Removes the bindings of guaranteed cells in which no work runs on the team's guarantee.
    pub(super) fn unbind(&mut self, team: &Team) {
        let Some(guarantee) = self.durable.teams.get(team) else {
            return;
        };
        let occupancy = &self.index.occupancy;
        let idle = |binding: &CellBinding| {
            let covers = occupancy.covers(binding);
            covers.iter().all(|&(slot, mask)| occupancy.slot(slot).guaranteed & mask == 0)
        };
        let (gone, kept) = guarantee.bindings.iter().cloned().partition::<Vec<_>, _>(idle);
        if gone.is_empty() {
            return;
        }
        for binding in &gone {
            self.index.occupancy.unbind(binding);
        }
        self.durable.teams.get_mut(team).expect("looked up above").bindings = kept;
        self.index.capacity_epoch += 1;
    }
}
