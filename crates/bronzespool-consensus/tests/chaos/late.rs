//! Copies of messages that may still arrive long after they were sent.

use bronzespool_consensus::{Message, MessageBody};

/// Most copies that are kept of frequent messages, and of rare ones.
const KEPT_MAX: usize = 48;
/// Of frequent messages, one in this many is kept.
const SAMPLE_INTERVAL: u64 = 5;

/// A message with its sender and receiver.
pub type InFlight = (usize, usize, Message);

/// Copies of messages, from the whole past.
#[derive(Default)]
pub struct LateMessages {
    frequent: Vec<InFlight>,
    rare: Vec<InFlight>,
    count: u64,
}

impl LateMessages {
    /// Keeps copies of some messages. Each new copy replaces one of any age.
    pub(super) fn record(&mut self, messages: &[InFlight]) {
        for message in messages {
            self.count += 1;
            let is_rare = is_rare(&message.2.body);
            if !is_rare && !self.count.is_multiple_of(SAMPLE_INTERVAL) {
                continue;
            }
            let kept = if is_rare { &mut self.rare } else { &mut self.frequent };
            if kept.len() < KEPT_MAX {
                kept.push(message.clone());
            } else {
                let at = self.count.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32;
                kept[at as usize % KEPT_MAX] = message.clone();
            }
        }
    }

    /// Number of copies.
    pub(super) const fn len(&self) -> usize {
        self.rare.len() + self.frequent.len()
    }

    /// All copies.
    pub(super) fn iter(&self) -> impl Iterator<Item = &InFlight> {
        self.rare.iter().chain(&self.frequent)
    }

    /// A copy. It can arrive again.
    pub(super) fn get(&self, at: usize) -> InFlight {
        let frequent = || &self.frequent[at - self.rare.len()];
        self.rare.get(at).unwrap_or_else(frequent).clone()
    }
}

/// Whether a message of this kind is sent rarely, so that every one is kept.
const fn is_rare(body: &MessageBody) -> bool {
    matches!(
        body,
        MessageBody::TimeoutNow
            | MessageBody::Bootstrap(_)
            | MessageBody::DiscoveryResponse { .. }
            | MessageBody::SnapshotChunk { .. }
            | MessageBody::AppendRejected { .. }
            | MessageBody::VoteRequest { .. }
            | MessageBody::VoteResponse { .. }
    )
}
