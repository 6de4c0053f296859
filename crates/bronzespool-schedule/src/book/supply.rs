//! Workers, guarantees, and the places of guaranteed cells in use.

use {
    super::{Book, Error, Result, Worker},
    crate::{
        cell::{ACCELS_MAX, Bind},
        job::{Attempt, Phase},
    },
    bronzespool_core::{Capacity, Instance, Job, Place, Shape, Team, Time},
    std::collections::BTreeMap,
};

impl Book {
    pub(super) fn worker_up(
        &mut self,
        place: &Place,
        capacity: Capacity,
        incarnation: u64,
    ) -> Result<()> {
        if capacity.accels > ACCELS_MAX {
            return Err(Error::Accels(place.instance.clone()));
        }
        self.index.epoch += 1;
        if let Some(worker) = self.state.workers.get_mut(&place.instance) {
            worker.capacity = capacity;
            worker.incarnation = incarnation;
            worker.up = true;
            worker.leaving = false;
            let worker = worker.clone();
            self.index.grid.update(&worker);
            return Ok(());
        }
        let worker = Worker {
            slot: self.state.slots,
            place: place.clone(),
            capacity,
            incarnation,
            up: true,
            leaving: false,
            quarantine: None,
            probing: None,
            failures: BTreeMap::new(),
        };
        self.state.slots += 1;
        self.index.grid.insert(&worker);
        self.state.workers.insert(place.instance.clone(), worker);
        self.bind_all();
        Ok(())
    }

    /// Marks the cells of all teams again, since a domain has grown.
    fn bind_all(&mut self) {
        for team in self.state.teams.values() {
            for bind in &team.binds {
                self.index.grid.bind(bind);
            }
        }
    }

    pub(super) fn worker(
        &mut self,
        instance: &Instance,
        change: impl FnOnce(&mut Worker),
    ) -> Result<()> {
        let unknown = || Error::UnknownWorker(instance.clone());
        let worker = self.state.workers.get_mut(instance).ok_or_else(unknown)?;
        change(worker);
        let worker = worker.clone();
        self.index.grid.update(&worker);
        self.index.epoch += 1;
        self.suspect(instance);
        let tasks = self.index.grid.at(worker.slot).tasks.clone();
        for id in tasks.into_iter().map(|(id, _)| id).chain(worker.failures.into_keys()) {
            self.schedule(id);
        }
        Ok(())
    }

    pub(super) fn guarantees(&mut self, shapes: &[(Team, Vec<Shape>)]) {
        for team in self.state.teams.values_mut() {
            team.shapes.clear();
        }
        for (team, shapes) in shapes {
            let state = self.state.teams.entry(team.clone()).or_default();
            for shape in shapes {
                *state.shapes.entry(shape.level).or_default() += shape.count;
            }
        }
        self.state.teams.retain(|_, t| !t.shapes.is_empty() || !t.binds.is_empty());
        self.index.epoch += 1;
    }

    pub(super) fn bind(&mut self, team: &Team, binds: &[Bind]) {
        if binds.is_empty() {
            return;
        }
        let state = self.state.teams.entry(team.clone()).or_default();
        for bind in binds {
            self.index.grid.bind(bind);
            state.binds.push(bind.clone());
        }
    }

    /// Takes an attempt off its team's guarantee; it runs on as borrowed.
    pub(super) fn demote(&mut self, name: &Job, at: Time) {
        let Ok(id) = self.id(name) else {
            return;
        };
        let lease = self.state.settings.lease;
        let job = self.state.jobs.get_mut(&id).expect("id is of a job");
        let Phase::Active(attempt) = &mut job.phase else {
            return;
        };
        if attempt.borrowed {
            return;
        }
        let held = |a: &Attempt| (0..a.cells.len()).filter(|&m| a.members[m].holds()).collect();
        let members: Vec<usize> = held(attempt);
        let before = attempt.clone();
        attempt.borrowed = true;
        attempt.lease = lease;
        attempt.demoted = Some(at);
        let after = attempt.clone();
        let team = job.spec.team.clone();
        for member in members {
            self.index.grid.vacate(job, &before, member);
            self.index.grid.occupy(job, &after, member);
            let ledger = self.index.ledger.entry(team.clone()).or_default();
            ledger.sub(&before.cells[member], &job.spec.need, false);
            ledger.add(&after.cells[member], &job.spec.need, true);
        }
        self.index.epoch += 1;
        self.unbind(&team);
        self.schedule(id);
    }

    /// Frees guaranteed cells in which no work of the team is left.
    pub(super) fn unbind(&mut self, team: &Team) {
        let Some(state) = self.state.teams.get(team) else {
            return;
        };
        let grid = &self.index.grid;
        let idle = |bind: &Bind| {
            let covers = grid.covers(bind);
            covers.iter().all(|&(slot, mask)| grid.at(slot).own & mask == 0)
        };
        let (gone, kept) = state.binds.iter().cloned().partition::<Vec<_>, _>(idle);
        if gone.is_empty() {
            return;
        }
        for bind in &gone {
            self.index.grid.unbind(bind);
        }
        self.state.teams.get_mut(team).expect("looked up above").binds = kept;
        self.index.epoch += 1;
    }
}
