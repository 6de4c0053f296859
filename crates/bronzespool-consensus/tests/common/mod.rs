//! Small cluster of replicas in one thread, with simulated time, network and disks.

#![allow(dead_code, unreachable_pub)]

use {
    bronzespool_consensus::{
        Entry, EntryPayload, Error, HardState, Index, Membership, Message, MessageBody, Node,
        ReadResult, Ready, ReplicaId, Settings, Storage, StorageWrite, fake::MemoryStorage,
    },
    bronzespool_core::{Instance, Time},
    std::{collections::BTreeMap, time::Duration},
};

pub const STEP: Duration = Duration::from_millis(5);
pub const SECOND: Duration = Duration::from_secs(1);

pub fn name(i: usize) -> Instance {
    Instance::try_from(format!("control-{}", i + 1)).unwrap()
}

#[derive(Default)]
pub struct Replica {
    pub node: Option<Node>,
    pub disk: MemoryStorage,
    pub applied: BTreeMap<Index, Entry>,
    pub state: Vec<Vec<u8>>,
    pub reads: Vec<ReadResult>,
}

/// Cluster in which messages arrive in order and syncs finish immediately, unless a replica is
/// isolated.
pub struct Cluster {
    pub now: Time,
    pub replicas: Vec<Replica>,
    pub isolated: Vec<bool>,
    /// Pairs of replicas that cannot exchange messages.
    pub cut_links: Vec<(usize, usize)>,
    pub in_flight: Vec<(usize, usize, Message)>,
    /// Replicas that receive messages one step late, and the messages that wait for that step.
    pub slow_receivers: Vec<usize>,
    pub delayed: Vec<(usize, usize, Message)>,
    /// Number of rejected appends.
    pub rejected_appends: usize,
    pub starts: u64,
    pub configure: fn(&mut Settings),
}

impl Cluster {
    pub fn new(count: usize) -> Self {
        Self::with_settings(count, |_| {})
    }

    pub fn with_settings(count: usize, configure: fn(&mut Settings)) -> Self {
        let mut cluster = Self {
            now: Time::from_secs(1),
            replicas: (0..count).map(|_| Replica::default()).collect(),
            isolated: vec![false; count],
            cut_links: Vec::new(),
            in_flight: Vec::new(),
            slow_receivers: Vec::new(),
            delayed: Vec::new(),
            rejected_appends: 0,
            starts: 0,
            configure,
        };
        (0..count).for_each(|i| cluster.start(i));
        cluster
    }

    pub fn start(&mut self, i: usize) {
        self.starts += 1;
        let peers = (0..self.replicas.len()).map(name).collect();
        let mut settings = Settings::new(name(i), peers, self.starts * 7_919 + i as u64);
        (self.configure)(&mut settings);
        let replica = &mut self.replicas[i];
        replica.applied.clear();
        replica.state.clear();
        let restored = replica.disk.load().unwrap();
        replica.node = Some(Node::open(settings, restored, self.now).unwrap());
    }

    pub fn stop(&mut self, i: usize) {
        self.replicas[i].node = None;
        self.replicas[i].disk.crash(0);
        self.in_flight.retain(|(_, to, _)| *to != i);
    }

    /// Loses the disk and restarts the replica.
    pub fn wipe(&mut self, i: usize) {
        self.stop(i);
        self.replicas[i].disk.wipe();
        self.start(i);
    }

    pub fn node(&mut self, i: usize) -> &mut Node {
        self.replicas[i].node.as_mut().unwrap()
    }

    /// Processes the output of a replica.
    pub fn pump(&mut self, i: usize) {
        let now = self.now;
        let count = self.replicas.len();
        let Replica { node: Some(node), disk, applied, state, reads } = &mut self.replicas[i]
        else {
            return;
        };
        loop {
            let ready = node.ready();
            if ready.is_empty() {
                return;
            }
            if let Some(snapshot) = ready.snapshot {
                *state = decode(&snapshot.state);
            }
            for entry in ready.committed {
                state.extend(entry.command().map(<[u8]>::to_vec));
                applied.insert(entry.index, entry);
            }
            reads.extend(ready.reads);
            let to = |to: &Instance| (0..count).find(|&k| name(k) == *to);
            let messages = ready.messages.into_iter();
            self.in_flight.extend(messages.filter_map(|(n, m)| Some((i, to(&n)?, m))));
            if !ready.writes.is_empty() && disk.write(&ready.writes).is_ok() {
                node.synced(now, ready.batch_id);
            }
        }
    }

    /// Advances the time by one step and delivers all messages.
    pub fn step(&mut self) {
        self.now += STEP;
        let now = self.now;
        for i in 0..self.replicas.len() {
            if let Some(node) = self.replicas[i].node.as_mut().filter(|n| n.next_tick() <= now) {
                node.tick(now);
            }
            self.pump(i);
        }
        let late = std::mem::take(&mut self.delayed);
        let messages = std::mem::take(&mut self.in_flight).into_iter();
        let (slow, fast): (Vec<_>, Vec<_>) =
            messages.partition(|(_, to, _)| self.slow_receivers.contains(to));
        self.delayed = slow;
        for (from, to, message) in late.into_iter().chain(fast) {
            let link = (from.min(to), from.max(to));
            if self.isolated[from] || self.isolated[to] || self.cut_links.contains(&link) {
                continue;
            }
            self.rejected_appends +=
                usize::from(matches!(message.body, MessageBody::AppendRejected { .. }));
            let message = Message::decode(&message.encode().unwrap()).unwrap();
            if let Some(node) = &mut self.replicas[to].node {
                node.receive(now, &name(from), message);
            }
            self.pump(to);
        }
    }

    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.step();
        }
    }

    /// Runs until a condition holds, for at most 30 simulated seconds.
    pub fn run_until(&mut self, what: &str, holds: impl Fn(&mut Self) -> bool) {
        let end = self.now + SECOND * 30;
        while !holds(self) {
            assert!(self.now < end, "no {what} within 30 s");
            self.step();
        }
    }

    /// The leader with the highest term.
    pub fn leader(&self) -> Option<usize> {
        let leads = |i: &usize| self.replicas[*i].node.as_ref().is_some_and(Node::is_leader);
        let term = |i: &usize| self.replicas[*i].node.as_ref().map_or(0, Node::term);
        (0..self.replicas.len()).filter(leads).max_by_key(term)
    }

    /// Runs until a leader holds a lease.
    pub fn elect(&mut self) -> usize {
        self.run_until("leader", |c| {
            let now = c.now;
            c.leader().is_some_and(|i| c.node(i).has_lease(now))
        });
        self.leader().unwrap()
    }

    pub fn propose(&mut self, i: usize, data: &[u8]) -> Result<Index, Error> {
        let now = self.now;
        self.node(i).propose(now, data)
    }

    /// Proposes a command at the leader and waits until the leader has applied it.
    pub fn commit(&mut self, data: &[u8]) -> Index {
        let leader = self.elect();
        let index = self.propose(leader, data).unwrap();
        self.run_until("commit", |c| {
            let entry = c.replicas[leader].applied.get(&index);
            entry.is_some_and(|e| e.command() == Some(data))
        });
        index
    }
}

pub const OWN: ReplicaId = ReplicaId(1);
pub const OTHER: ReplicaId = ReplicaId(2);

/// Membership of a cluster of three that has just been bootstrapped.
pub fn initial_membership() -> Membership {
    Membership::initial((0..3).map(|i| (ReplicaId(i as u64 + 1), name(i))))
}

/// The first of three replicas of a bootstrapped cluster, just started.
pub fn restarted_follower() -> (Node, Time) {
    let payload = EntryPayload::Membership(initial_membership());
    let entry = Entry { index: 1, term: 1, payload };
    let hard_state = HardState { id: OWN, cluster: 9, term: 1, vote: None };
    let mut disk = MemoryStorage::default();
    disk.write(&[StorageWrite::HardState(hard_state), StorageWrite::Append(vec![entry])]).unwrap();
    let settings = Settings::new(name(0), (0..3).map(name).collect(), 1);
    let node = Node::open(settings, disk.load().unwrap(), Time::ZERO).unwrap();
    (node, Time::ZERO)
}

/// The same, after the time in which it must not vote.
pub fn follower() -> (Node, Time) {
    let (node, start) = restarted_follower();
    (node, start + SECOND)
}

/// A message from the second replica to the first.
pub fn message(term: u64, body: MessageBody) -> Message {
    Message { cluster: 9, from: OTHER, to: OWN, term, body }
}

pub fn bodies(ready: Ready) -> Vec<MessageBody> {
    ready.messages.into_iter().map(|(_, m)| m.body).collect()
}

pub fn encode(state: &[Vec<u8>]) -> Vec<u8> {
    postcard::to_stdvec(state).unwrap()
}

pub fn decode(bytes: &[u8]) -> Vec<Vec<u8>> {
    postcard::from_bytes(bytes).unwrap()
}
