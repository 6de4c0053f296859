//! Output of a replica and what waits for records to become durable.

use {
    super::reads::Read,
    crate::{
        entry::{Entry, Id, Index},
        log::Log,
        message::Message,
        snapshot::Snapshot,
        storage::Write,
    },
    bronzespool_core::Instance,
    std::{collections::VecDeque, sync::Arc},
};

/// Number of a batch of writes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket(u64);

/// What the embedder has to do, in this order: load `install`, apply `committed`, answer `reads`;
/// and, independent of that, send `messages` at once and make `writes` durable, then report
/// `ticket` to [`super::Node::synced`].
#[derive(Debug, Default)]
#[must_use]
pub struct Ready {
    /// Records to make durable, in order.
    pub writes: Vec<Write>,
    /// Messages that may be sent now.
    pub messages: Vec<(Instance, Message)>,
    /// To be reported once `writes` are durable.
    pub ticket: Ticket,
    /// State to load in place of the state machine's.
    pub install: Option<Arc<Snapshot>>,
    /// Entries to apply, in order, without gaps.
    pub committed: Vec<Entry>,
    /// Reads that may be answered from the state after `committed`, or have failed.
    pub reads: Vec<Read>,
}

impl Ready {
    /// Whether nothing is to be done.
    pub fn is_empty(&self) -> bool {
        let quiet = self.writes.is_empty() && self.messages.is_empty() && self.reads.is_empty();
        quiet && self.install.is_none() && self.committed.is_empty()
    }
}

#[derive(Debug)]
struct Held {
    ticket: u64,
    to: Instance,
    message: Message,
}

#[derive(Debug)]
struct Batch {
    ticket: u64,
    last: Index,
}

/// Collects output between two calls of [`super::Node::ready`].
#[derive(Debug)]
pub(super) struct Output {
    pub(super) writes: Vec<Write>,
    pub(super) install: Option<Arc<Snapshot>>,
    pub(super) reads: Vec<Read>,
    messages: Vec<(Instance, Message)>,
    held: VecDeque<Held>,
    batches: VecDeque<Batch>,
    issued: u64,
    synced: u64,
    /// Last index that is in `writes` or in an earlier batch.
    written: Index,
    /// Last index that is durable.
    durable: Index,
}

impl Output {
    pub(super) const fn new(last: Index) -> Self {
        Self {
            writes: Vec::new(),
            install: None,
            reads: Vec::new(),
            messages: Vec::new(),
            held: VecDeque::new(),
            batches: VecDeque::new(),
            issued: 0,
            synced: 0,
            written: last,
            durable: last,
        }
    }

    pub(super) const fn durable(&self) -> Index {
        self.durable
    }

    /// Puts the entries that are in no batch into the next one.
    pub(super) fn flush(&mut self, log: &Log) {
        if log.last() > self.written {
            self.writes.push(Write::Append(log.slice(self.written + 1, usize::MAX)));
            self.written = log.last();
        }
    }

    /// Notes that entries after an index are gone.
    pub(super) fn clip(&mut self, last: Index) {
        self.written = self.written.min(last);
        self.durable = self.durable.min(last);
        for batch in &mut self.batches {
            batch.last = batch.last.min(last);
        }
    }

    /// Notes that a snapshot stands for the log up to an index.
    pub(super) fn restart(&mut self, last: Index) {
        self.clip(last);
        self.written = last;
    }

    pub(super) fn send(&mut self, to: Instance, message: Message) {
        self.messages.push((to, message));
    }

    /// Keeps a message until every record made so far is durable.
    pub(super) fn hold(&mut self, to: Instance, message: Message, last: Index) {
        let unissued = !self.writes.is_empty() || last > self.written;
        let ticket = self.issued + u64::from(unissued);
        if ticket <= self.synced && message.from != message.to {
            self.send(to, message);
            return;
        }
        self.held.push_back(Held { ticket, to, message });
    }

    pub(super) fn take(&mut self, committed: Vec<Entry>) -> Ready {
        let mut ticket = self.synced;
        if !self.writes.is_empty() {
            self.issued += 1;
            ticket = self.issued;
            self.batches.push_back(Batch { ticket: self.issued, last: self.written });
        }
        Ready {
            writes: std::mem::take(&mut self.writes),
            messages: std::mem::take(&mut self.messages),
            ticket: Ticket(ticket),
            install: self.install.take(),
            committed,
            reads: std::mem::take(&mut self.reads),
        }
    }

    /// Frees what waited for a batch; returns the messages to this replica itself.
    pub(super) fn release(&mut self, ticket: Ticket, own: Id) -> Vec<Message> {
        self.synced = self.synced.max(ticket.0.min(self.issued));
        let synced = self.synced;
        let count = self.batches.partition_point(|b| b.ticket <= synced);
        let last = self.batches.drain(..count).next_back().map_or(0, |b| b.last);
        self.durable = self.durable.max(last);
        let count = self.held.partition_point(|h| h.ticket <= synced);
        let (local, other): (Vec<Held>, Vec<Held>) =
            self.held.drain(..count).partition(|h| h.message.to == own);
        self.messages.extend(other.into_iter().map(|h| (h.to, h.message)));
        local.into_iter().map(|h| h.message).collect()
    }
}
