//! The policy: which records a book calls for next.
//!
//! A pass first moves attempts on, then grants guaranteed cells, then lends what is left. It works
//! on a copy of the occupancy, so that all its records together fit the book.

pub mod claim;
mod due;
pub mod evict;
pub mod fit;
mod health;
pub mod place;
pub mod predict;
mod progress;
mod queue;
mod reclaim;
mod reserve;

use {
    crate::{
        book::{Book, grid::Grid},
        job::Id,
        record::{Event, Record},
    },
    bronzespool_core::{HashMap, Time},
    place::Class,
};

/// Most grants of one pass, so that a burst does not hold up other input.
const GRANTS_MAX: usize = 64;

/// Placement memory between decisions of one book; it holds no durable state.
///
/// Make a new one when the book is replaced by another.
#[derive(Clone, Debug, Default)]
pub struct Planner {
    /// Classes of jobs that found no cells, with the book's epoch then.
    failed: HashMap<Class, u64>,
    /// Gangs for which no other work may be stopped, with the book's epoch then.
    evicted: HashMap<(Id, bool), u64>,
    /// Jobs for which work of their team was last made borrowed.
    demoted: HashMap<Id, Time>,
}

/// One pass over a book.
struct Pass<'a> {
    book: &'a Book,
    now: Time,
    grid: Grid,
    grants: usize,
    records: Vec<Record>,
}

impl Pass<'_> {
    fn push(&mut self, event: Event) {
        self.records.push(Record::new(self.now, event));
    }
}

impl Planner {
    /// Records that the policy wants next. Apply them and ask again until none are returned.
    pub fn decide(&mut self, book: &Book, now: Time) -> Vec<Record> {
        let records = progress::progress(book, now);
        if !records.is_empty() {
            return records;
        }
        let records = queue::grant(self, book, now);
        if records.is_empty() { progress::forget(book, now) } else { records }
    }
}

/// Records that the policy wants next, without memory of earlier decisions.
pub fn decide(book: &Book, now: Time) -> Vec<Record> {
    Planner::default().decide(book, now)
}

/// When to decide next if nothing else happens: [`Time::MAX`] for never.
pub fn wake(book: &Book, now: Time) -> Time {
    let due = book.next_due().unwrap_or(Time::MAX);
    let delayed = book.next_delayed(now).unwrap_or(Time::MAX);
    let exclusive = reserve::next(book, now).unwrap_or(Time::MAX);
    let probe = health::next(book).unwrap_or(Time::MAX);
    due.min(delayed).min(exclusive).min(probe)
}
