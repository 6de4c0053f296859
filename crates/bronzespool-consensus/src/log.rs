//! In-memory log: the entries since a snapshot and the memberships that they contain.

use {
    crate::{
        entry::{Entry, EntryPayload, Index, Term},
        membership::Membership,
    },
    std::collections::VecDeque,
};

/// Entries after the index `base`.
#[derive(Debug, Default)]
pub(crate) struct Log {
    base: Index,
    base_term: Term,
    entries: VecDeque<Entry>,
    memberships: Vec<(Index, Membership)>,
    /// Bytes of the entries appended since the last snapshot.
    bytes: usize,
}

impl Log {
    pub(crate) fn new(base: Index, base_term: Term, membership: Membership) -> Self {
        Self {
            base,
            base_term,
            entries: VecDeque::new(),
            memberships: vec![(base, membership)],
            bytes: 0,
        }
    }

    pub(crate) const fn base(&self) -> Index {
        self.base
    }

    pub(crate) fn last(&self) -> Index {
        self.base + self.entries.len() as u64
    }

    pub(crate) fn last_term(&self) -> Term {
        self.entries.back().map_or(self.base_term, |e| e.term)
    }

    /// Term of an entry, or `None` if the log does not contain it.
    pub(crate) fn term(&self, index: Index) -> Option<Term> {
        if index == self.base {
            return Some(self.base_term);
        }
        self.get(index).map(|e| e.term)
    }

    pub(crate) fn get(&self, index: Index) -> Option<&Entry> {
        let at = index.checked_sub(self.base + 1)?;
        self.entries.get(usize::try_from(at).ok()?)
    }

    /// Entries starting at `from`, up to `max` bytes but at least one if any exists.
    pub(crate) fn entries_from(&self, from: Index, max: usize) -> Vec<Entry> {
        let mut size = 0;
        let mut entries = Vec::new();
        let mut index = from;
        while let Some(entry) = self.get(index) {
            size += entry.size();
            if size > max && !entries.is_empty() {
                break;
            }
            entries.push(entry.clone());
            index += 1;
        }
        entries
    }

    pub(crate) fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last() + 1);
        if let EntryPayload::Membership(membership) = &entry.payload {
            self.memberships.push((entry.index, membership.clone()));
        }
        self.bytes += entry.size();
        self.entries.push_back(entry);
    }

    /// Bytes of the entries appended since [`Self::reset_bytes`].
    pub(crate) const fn bytes(&self) -> usize {
        self.bytes
    }

    pub(crate) const fn reset_bytes(&mut self) {
        self.bytes = 0;
    }

    /// Removes the entries at `from` and after.
    pub(crate) fn truncate(&mut self, from: Index) {
        let keep = from.saturating_sub(self.base + 1);
        self.entries.truncate(usize::try_from(keep).unwrap_or(usize::MAX));
        self.memberships.retain(|(index, _)| *index < from || *index <= self.base);
    }

    /// The least index from `from` up to `to` after which the entries up to `to` have at most `max`
    /// bytes.
    pub(crate) fn trailing_start(&self, from: Index, to: Index, max: usize) -> Index {
        let mut size = 0;
        let mut start = to;
        while start > from {
            size += self.get(start).map_or(0, Entry::size);
            if size > max {
                break;
            }
            start -= 1;
        }
        start
    }

    /// Removes the entries up to and including `to`, which becomes the base.
    pub(crate) fn compact(&mut self, to: Index) {
        let Some(term) = self.term(to) else { return };
        let count = usize::try_from(to - self.base).unwrap_or(usize::MAX);
        self.entries.drain(..count);
        (self.base, self.base_term) = (to, term);
        let count = self.memberships.partition_point(|(index, _)| *index <= to);
        self.memberships.drain(..count.saturating_sub(1));
    }

    /// Largest index up to `index` whose term is at most `term`: the last point at which two logs
    /// may agree.
    pub(crate) fn conflict_hint(&self, index: Index, term: Term) -> (Index, Term) {
        let mut at = index.min(self.last());
        while at > self.base && self.term(at).is_some_and(|t| t > term) {
            at -= 1;
        }
        (at, self.term(at).unwrap_or(0))
    }

    /// The newest membership, committed or not.
    pub(crate) fn membership(&self) -> &Membership {
        &self.memberships[self.memberships.len() - 1].1
    }

    /// Index of the entry with the newest membership.
    pub(crate) fn membership_index(&self) -> Index {
        self.memberships[self.memberships.len() - 1].0
    }

    /// Membership in effect at `index`.
    pub(crate) fn membership_at(&self, index: Index) -> &Membership {
        &self.memberships[self.membership_position(index)].1
    }

    /// Membership in effect at `index` and all later ones.
    pub(crate) fn memberships_from(&self, index: Index) -> impl Iterator<Item = &Membership> {
        self.memberships[self.membership_position(index)..].iter().map(|(_, m)| m)
    }

    fn membership_position(&self, index: Index) -> usize {
        let count = self.memberships.partition_point(|(at, _)| *at <= index);
        count.saturating_sub(1)
    }
}
