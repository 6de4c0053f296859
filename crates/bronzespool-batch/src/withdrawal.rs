//! Records that take a worker or a run away or stop it, from their proposal until they are applied.
//!
//! Until then the ledger still holds what they take away. An agent that got an order or a lease from
//! it would act on it after the record has freed the task for another worker.

use crate::{
    id::{RunId, WorkerIncarnation},
    ledger::Event,
};

/// What a record takes away.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Withdrawal {
    /// A worker with all of its runs.
    Worker(WorkerIncarnation),
    /// A run that its worker has not started.
    Run(RunId),
    /// A run that is to be stopped. The order follows once the record is applied.
    Stop(RunId),
}

/// The withdrawals that the leader has proposed and that are not applied.
///
/// A proposal whose proposer has gone away stays pending: its record may be applied later.
#[derive(Clone, Debug, Default)]
pub struct Withdrawals {
    pending: Vec<Withdrawal>,
}

impl Withdrawals {
    /// Notes that a record with these events is proposed now.
    pub fn begin(&mut self, events: &[Event]) {
        self.pending.extend(events.iter().flat_map(withdrawals));
    }

    /// Notes that a record with these events is applied, whoever proposed it.
    pub fn end(&mut self, events: &[Event]) {
        for applied in events.iter().flat_map(withdrawals) {
            if let Some(i) = self.pending.iter().position(|w| *w == applied) {
                self.pending.swap_remove(i);
            }
        }
    }

    /// Forgets all records, at the loss of leadership: a leader has applied the records of earlier
    /// terms before it answers.
    pub fn clear(&mut self) {
        self.pending.clear();
    }

    /// Whether a worker is being taken away.
    pub fn takes_worker(&self, incarnation: &WorkerIncarnation) -> bool {
        self.pending.iter().any(|w| matches!(w, Withdrawal::Worker(i) if i == incarnation))
    }

    /// Returns the runs whose stops are proposed.
    pub fn stops(&self) -> impl Iterator<Item = RunId> {
        self.pending.iter().filter_map(|w| match w {
            Withdrawal::Stop(run) => Some(*run),
            Withdrawal::Worker(_) | Withdrawal::Run(_) => None,
        })
    }

    /// Whether a run is being taken away.
    pub fn takes_run(&self, run: RunId) -> bool {
        self.pending.contains(&Withdrawal::Run(run))
    }
}

fn withdrawals(event: &Event) -> Vec<Withdrawal> {
    match event {
        Event::WorkerGone(incarnation) => vec![Withdrawal::Worker(incarnation.clone())],
        Event::Refused { run, .. } => vec![Withdrawal::Run(*run)],
        Event::Stopping { runs, .. } => runs.iter().copied().map(Withdrawal::Stop).collect(),
        _ => Vec::new(),
    }
}
