//! Records that take a worker or a run away, from their proposal until they are applied.
//!
//! Until then the ledger still holds what they take away. An agent that got an order or a lease from
//! it would act on it after the record has freed the task for another worker.

use {
    crate::{
        id::{RunId, WorkerIncarnation},
        ledger::Event,
    },
    std::collections::BTreeMap,
};

/// What a record takes away.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Withdrawal {
    /// A worker with all of its runs.
    Worker(WorkerIncarnation),
    /// A run that its worker has not started.
    Run(RunId),
}

/// Identifies a proposed record, in the order of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket(u64);

/// The withdrawals that the leader has proposed and not applied.
///
/// A proposal without an answer stays pending: its record may be applied later.
#[derive(Clone, Debug, Default)]
pub struct Withdrawals {
    last_ticket: u64,
    pending: BTreeMap<Ticket, Vec<Withdrawal>>,
}

impl Withdrawals {
    /// Notes that a record with these events is proposed now. None if it takes nothing away.
    pub fn begin(&mut self, events: &[Event]) -> Option<Ticket> {
        let withdrawals: Vec<Withdrawal> = events.iter().filter_map(withdrawal).collect();
        if withdrawals.is_empty() {
            return None;
        }
        self.last_ticket += 1;
        let ticket = Ticket(self.last_ticket);
        self.pending.insert(ticket, withdrawals);
        Some(ticket)
    }

    /// Notes that a record is applied, and with it all that were proposed before it.
    pub fn end(&mut self, ticket: Ticket) {
        self.pending.retain(|t, _| *t > ticket);
    }

    /// Forgets all records, at the start of a term: a leader applies the records of earlier terms
    /// before it answers.
    pub fn clear(&mut self) {
        self.pending.clear();
    }

    /// Whether a worker is being taken away.
    pub fn takes_worker(&self, incarnation: &WorkerIncarnation) -> bool {
        self.all().any(|w| matches!(w, Withdrawal::Worker(i) if i == incarnation))
    }

    /// Whether a run is being taken away.
    pub fn takes_run(&self, run: RunId) -> bool {
        self.all().any(|w| *w == Withdrawal::Run(run))
    }

    fn all(&self) -> impl Iterator<Item = &Withdrawal> {
        self.pending.values().flatten()
    }
}

fn withdrawal(event: &Event) -> Option<Withdrawal> {
    match event {
        Event::WorkerGone(incarnation) => Some(Withdrawal::Worker(incarnation.clone())),
        Event::Refused { run, .. } => Some(Withdrawal::Run(*run)),
        _ => None,
    }
}
