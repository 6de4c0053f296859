//! Replicas with drifting clocks, disks that lose writes, and an unreliable network.

use {
    super::{
        injected::InjectedFault,
        late::LateMessages,
        oracle::{LeaseHolder, Oracle, StateMachine},
    },
    arbtest::arbitrary::{Result, Unstructured},
    bronzespool_consensus::{
        Entry, EntryPayload, HardState, Membership, Message, Node, Ready, ReplicaId, Settings,
        Storage, StorageWrite, WriteBatchId, fake::MemoryStorage,
    },
    bronzespool_core::{Instance, Time},
    std::{collections::VecDeque, time::Duration},
};

/// Maximum clock drift in thousandths of real time, in either direction.
const DRIFT_PERMILLE: u64 = 100;
/// Maximum number of messages in flight. The oldest ones are dropped.
const IN_FLIGHT_MAX: usize = 150;
/// Simulated time of a round without new faults.
pub(super) const ROUND_TIME: Duration = Duration::from_millis(30);
/// Number of message deliveries within a round when only links are cut.
const LINK_HOPS: usize = 10;
/// Rounds without new faults within which the cluster must recover.
const RECOVERY_ROUNDS: usize = 400;

/// Faults that a set of cases draws from.
#[derive(Clone, Copy, Default)]
pub struct Faults {
    pub count: usize,
    /// Machines that may take the place of others, at addresses of their own.
    pub spares: usize,
    /// Whether many machines fail at once, are suspended, removed or replaced, and messages arrive
    /// late.
    pub losses: bool,
    /// Fault that breaks an invariant, to show that it is found.
    pub injected: Option<InjectedFault>,
    /// Whether the replicas start with blank disks.
    pub start_blank: bool,
    /// Whether disks are lost. At any time, fewer than half of them are lost and not yet
    /// repaired.
    pub lose_disks: bool,
    /// Whether faults are limited to cut links and process restarts, with reads and commands
    /// throughout.
    pub links_only: bool,
}

pub(super) struct SimReplica {
    pub(super) node: Option<Node>,
    pub(super) disk: MemoryStorage,
    pub(super) queue: VecDeque<(WriteBatchId, Vec<StorageWrite>)>,
    pub(super) state_machine: StateMachine,
    pub(super) clock: Time,
    /// Rate of the clock in thousandths of real time.
    rate: u64,
    /// Whether no message reaches or leaves this replica.
    pub(super) cut: bool,
    /// Replicas whose messages do not reach this one.
    blocked_senders: Vec<usize>,
    /// Whether syncs never finish.
    pub(super) stalled: bool,
    /// Whether the machine is suspended. Its clock goes on.
    pub(super) suspended: bool,
    /// Clock time before which the process's timers do not fire, after a suspension.
    pub(super) timers_due: Time,
    /// Whether the machine belongs to the system: not a spare in store, and not removed.
    pub(super) in_use: bool,
    /// Whether the disk was lost, so that the replica must not bootstrap.
    pub(super) was_wiped: bool,
    starts: u64,
}

impl SimReplica {
    /// Whether the machine is a spare that was never started.
    pub(super) const fn is_in_store(&self) -> bool {
        !self.in_use && self.starts == 0
    }
}

pub struct Simulation {
    pub(super) faults: Faults,
    pub(super) replicas: Vec<SimReplica>,
    pub(super) in_flight: Vec<(usize, usize, Message)>,
    pub(super) late: LateMessages,
    pub(super) oracle: Oracle,
    /// Replicas whose lost disk has not been replaced in the membership.
    lost_disks: Vec<usize>,
    /// Number of the last command or read.
    last_number: u64,
}

pub(super) fn name(i: usize) -> Instance {
    Instance::try_from(format!("c{i}")).unwrap()
}

fn bootstrapped_disk(count: usize, i: usize) -> MemoryStorage {
    let members = Membership::initial((0..count).map(|k| (ReplicaId(k as u64 + 1), name(k))));
    let hard_state = HardState { id: ReplicaId(i as u64 + 1), cluster: 1, term: 1, vote: None };
    let entry = Entry { index: 1, term: 1, payload: EntryPayload::Membership(members) };
    let mut disk = MemoryStorage::default();
    disk.write(&[StorageWrite::HardState(hard_state), StorageWrite::Append(vec![entry])]).unwrap();
    disk
}

impl Simulation {
    pub fn new(faults: Faults, u: &mut Unstructured<'_>) -> Result<Self> {
        let (in_flight, oracle) = (Vec::new(), Oracle::default());
        let mut simulation = Self {
            faults,
            replicas: Vec::new(),
            in_flight,
            late: LateMessages::default(),
            oracle,
            lost_disks: Vec::new(),
            last_number: 0,
        };
        for i in 0..faults.count + faults.spares {
            let rate = u.int_in_range(1_000 - DRIFT_PERMILLE..=1_000 + DRIFT_PERMILLE)?;
            let blank = faults.start_blank || i >= faults.count;
            simulation.replicas.push(SimReplica {
                node: None,
                disk: if blank {
                    MemoryStorage::default()
                } else {
                    bootstrapped_disk(faults.count, i)
                },
                queue: VecDeque::new(),
                state_machine: StateMachine::default(),
                clock: Time::from_secs(10),
                rate: faults.injected.map_or(rate, |f| f.clock_rate(i, rate)),
                cut: false,
                blocked_senders: Vec::new(),
                stalled: false,
                suspended: false,
                timers_due: Time::ZERO,
                in_use: i < faults.count,
                was_wiped: false,
                starts: 0,
            });
            simulation.start(i);
        }
        Ok(simulation)
    }

    /// Injects a random fault or runs a round without new faults.
    pub fn inject_fault(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let i = u.choose_index(self.replicas.len())?;
        if self.faults.links_only {
            return self.inject_link_fault(i, u);
        }
        if self.faults.losses && u.ratio(1, 3)? {
            return self.inject_loss(i, u);
        }
        match u.int_in_range(0..=36)? {
            0..=8 => self.round(),
            9..=12 => self.advance(Duration::from_millis(u.int_in_range(1..=120)?)),
            13..=15 => self.deliver_some(u)?,
            16..=17 => self.sync(i, 1),
            18..=21 => self.propose(),
            22..=24 => self.read(),
            25 => self.in_flight.retain(|(_, to, _)| *to != i),
            26 => self.replicas[i].cut = !self.replicas[i].cut,
            27 => self.compact(i),
            28 => self.crash(i, u.int_in_range(0..=3)?),
            29 => self.fail_sync(i, u.int_in_range(0..=3)?),
            30 => self.start(i),
            31 => self.lose_disk(i),
            32 => self.transfer_leadership(i),
            33..=34 => self.cut_link(i, u.choose_index(self.faults.count)?, u.arbitrary()?),
            _ => self.replicas[i].stalled = !self.replicas[i].stalled,
        }
        Ok(())
    }

    fn inject_link_fault(&mut self, i: usize, u: &mut Unstructured<'_>) -> Result<()> {
        match u.int_in_range(0..=9)? {
            0..=7 => {
                self.propose();
                self.read();
                self.round();
            }
            8 => self.cut_link(i, u.choose_index(self.faults.count)?, u.ratio(3, 4)?),
            _ if u.ratio(1, 4)? => {
                self.crash(i, 0);
                self.start(i);
            }
            _ => self.replicas[i].cut = !self.replicas[i].cut,
        }
        Ok(())
    }

    pub fn check(&mut self) {
        for replica in &self.replicas {
            let Some(node) = &replica.node else { continue };
            if node.is_leader() {
                self.oracle.record_leader(node.term(), node.id());
            }
        }
        self.check_leases();
        self.record_repairs();
        self.restart_retired();
    }

    /// Checks that at most one replica holds the lease, and that its state is complete.
    pub(super) fn check_leases(&self) {
        let holds = |r: &SimReplica| {
            let node = r.node.as_ref().filter(|n| n.has_lease(r.clock))?;
            Some(LeaseHolder { term: node.term(), id: node.id(), index: r.state_machine.index })
        };
        self.oracle.check_leases(self.replicas.iter().filter_map(holds));
    }

    /// Ends all faults. The cluster must then accept commands again and still hold everything it
    /// has accepted.
    pub fn recover(&mut self) {
        for i in 0..self.replicas.len() {
            (self.replicas[i].cut, self.replicas[i].stalled) = (false, false);
            self.replicas[i].suspended = false;
            self.replicas[i].blocked_senders.clear();
            self.start(i);
        }
        let before = self.oracle.commit();
        for _ in 0..RECOVERY_ROUNDS {
            self.propose();
            self.round();
            self.check();
            let accepted = self.oracle.first_command(before);
            let done = |r: &SimReplica| {
                !r.in_use || accepted.is_some_and(|index| r.state_machine.index >= index)
            };
            if self.lost_disks.is_empty() && self.replicas.iter().all(done) {
                return;
            }
        }
        let status = self.replicas.iter().filter_map(|r| r.node.as_ref()).map(Node::status);
        panic!("the cluster did not recover: {:#?}", status.collect::<Vec<_>>());
    }

    pub(super) fn start(&mut self, i: usize) {
        let seeds = self.faults.count;
        let peers = (0..seeds).chain((i >= seeds).then_some(i)).map(name).collect();
        let replica = &mut self.replicas[i];
        if replica.node.is_some() || !replica.in_use {
            return;
        }
        replica.starts += 1;
        let seed = replica.starts * 1_000 + i as u64;
        let mut settings = Settings::new(name(i), peers, seed);
        (settings.trailing_entries, settings.chunk_bytes, settings.append_bytes) = (2, 5, 200);
        settings.allow_unlisted = self.faults.spares > 0;
        settings.may_bootstrap = !self.faults.losses || (i < seeds && !replica.was_wiped);
        replica.state_machine = StateMachine::default();
        let restored = replica.disk.load().unwrap();
        let mut now = replica.clock;
        if let Some(injected) = self.faults.injected {
            injected.change_start(i, &mut settings, &mut now);
        }
        replica.node = Some(Node::open(settings, restored, now).unwrap());
        self.pump(i);
    }

    pub(super) fn crash(&mut self, i: usize, kept: usize) {
        self.stop(i);
        self.replicas[i].disk.crash(kept);
    }

    /// Ends the process with its writes staged.
    pub(super) fn stop(&mut self, i: usize) {
        let replica = &mut self.replicas[i];
        replica.node = None;
        (replica.stalled, replica.suspended) = (false, false);
        for (_, writes) in replica.queue.drain(..) {
            replica.disk.stage(&writes);
        }
    }

    fn fail_sync(&mut self, i: usize, kept: usize) {
        let replica = &mut self.replicas[i];
        let Some((_, writes)) = replica.queue.pop_front() else { return };
        replica.disk.set_failing(true);
        assert!(replica.disk.write(&writes).is_err());
        replica.disk.set_failing(false);
        self.crash(i, kept);
    }

    fn lose_disk(&mut self, i: usize) {
        let bootstrapped = self.oracle.members().is_some();
        let may_lose =
            self.lost_disks.len() < (self.faults.count - 1) / 2 || self.lost_disks.contains(&i);
        if !self.faults.lose_disks || self.faults.losses || !may_lose || !bootstrapped {
            return;
        }
        self.crash(i, 0);
        self.replicas[i].disk.wipe();
        self.start(i);
        if !self.lost_disks.contains(&i) {
            self.lost_disks.push(i);
        }
    }

    /// Forgets the lost disks whose new identity is a voter of the committed membership.
    fn record_repairs(&mut self) {
        let Some(members) = self.oracle.members().filter(|m| !m.is_joint()) else { return };
        let voter = |node: &Node| members.get(node.id()).is_some_and(|m| m.voter);
        self.lost_disks.retain(|&i| !self.replicas[i].node.as_ref().is_some_and(voter));
    }

    pub(super) fn advance(&mut self, span: Duration) {
        for replica in &mut self.replicas {
            let rate = u32::try_from(replica.rate).unwrap();
            replica.clock += span * rate / 1_000;
        }
        self.check_leases();
        for i in 0..self.replicas.len() {
            let replica = &mut self.replicas[i];
            let now = replica.clock;
            let is_due = |n: &&mut Node| n.next_tick() <= now && replica.timers_due <= now;
            if let Some(node) = replica.node.as_mut().filter(is_due).filter(|_| !replica.suspended)
            {
                node.tick(now);
            }
            self.pump(i);
        }
    }

    /// Advances the time, finishes syncs that are not stalled, and delivers all messages in
    /// order.
    pub(super) fn round(&mut self) {
        self.advance(ROUND_TIME);
        let hops = if self.faults.links_only { LINK_HOPS } else { 1 };
        for _ in 0..hops {
            self.sync_all();
            for (from, to, message) in std::mem::take(&mut self.in_flight) {
                self.deliver(from, to, message);
            }
        }
        self.sync_all();
    }

    pub(super) fn sync_all(&mut self) {
        for i in 0..self.replicas.len() {
            if !self.replicas[i].stalled {
                self.sync(i, usize::MAX);
            }
        }
    }

    /// Delivers a few messages out of order, some of them twice.
    fn deliver_some(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        for _ in 0..u.int_in_range(1..=6)? {
            if self.in_flight.is_empty() {
                break;
            }
            let at = u.choose_index(self.in_flight.len())?;
            let (from, to, message) = match u.ratio(1, 4)? {
                true => self.in_flight[at].clone(),
                false => self.in_flight.swap_remove(at),
            };
            self.deliver(from, to, message);
        }
        Ok(())
    }

    pub(super) fn deliver(&mut self, from: usize, to: usize, message: Message) {
        if self.replicas[to].suspended {
            self.in_flight.push((from, to, message));
            return;
        }
        let is_link_cut = self.replicas[to].blocked_senders.contains(&from);
        let is_blocked = is_link_cut || self.replicas[from].cut || self.replicas[to].cut;
        let replica = &mut self.replicas[to];
        if let Some(node) = replica.node.as_mut().filter(|_| !is_blocked) {
            node.receive(replica.clock, &name(from), message);
            self.check_leases();
            self.pump(to);
        }
    }

    fn sync(&mut self, i: usize, count: usize) {
        for _ in 0..count {
            let replica = &mut self.replicas[i];
            if replica.suspended {
                return;
            }
            let Some((batch_id, writes)) = replica.queue.pop_front() else { return };
            match self.faults.injected {
                Some(InjectedFault::LostSyncs) => replica.disk.stage(&writes),
                _ => replica.disk.write(&writes).unwrap(),
            }
            if let Some(node) = &mut replica.node {
                node.synced(replica.clock, batch_id);
            }
            self.check_leases();
            self.pump(i);
        }
    }

    pub(super) fn propose(&mut self) {
        self.last_number += 1;
        let data = self.last_number.to_le_bytes();
        for i in 0..self.replicas.len() {
            let replica = &mut self.replicas[i];
            let now = replica.clock;
            if let Some(node) = replica.node.as_mut().filter(|_| !replica.suspended) {
                let _ = node.propose(now, [&data[..], &[i as u8]].concat());
            }
            self.pump(i);
        }
    }

    fn read(&mut self) {
        for i in 0..self.replicas.len() {
            self.last_number += 1;
            let request_id = self.last_number;
            let replica = &mut self.replicas[i];
            let now = replica.clock;
            if let Some(node) = replica.node.as_mut().filter(|_| !replica.suspended) {
                self.oracle.record_read(request_id);
                let _ = node.read(now, request_id);
            }
            self.pump(i);
        }
    }

    /// Cuts a link in one direction or both, or restores it.
    pub(super) fn cut_link(&mut self, i: usize, other: usize, both: bool) {
        let restores = self.replicas[i].blocked_senders.contains(&other);
        for (to, from) in [(i, other), (other, i)].into_iter().take(1 + usize::from(both)) {
            self.replicas[to].blocked_senders.retain(|&k| k != from);
            if !restores && to != from {
                self.replicas[to].blocked_senders.push(from);
            }
        }
    }

    fn transfer_leadership(&mut self, i: usize) {
        let replica = &mut self.replicas[i];
        if let Some(node) = replica.node.as_mut().filter(|_| !replica.suspended) {
            let _ = node.transfer_leadership(replica.clock);
        }
        self.pump(i);
    }

    pub(super) fn compact(&mut self, i: usize) {
        let replica = &mut self.replicas[i];
        if let Some(node) = replica.node.as_mut().filter(|_| !replica.suspended) {
            node.compact(replica.state_machine.index, replica.state_machine.encode());
        }
        self.pump(i);
    }

    pub(super) fn pump(&mut self, i: usize) {
        let Some(node) = &mut self.replicas[i].node else { return };
        let Ready { writes, messages, batch_id, snapshot, committed, reads } = node.ready();
        let replica = &mut self.replicas[i];
        if let Some(snapshot) = snapshot {
            replica.state_machine = StateMachine::decode(&snapshot.state);
            self.oracle.check_snapshot(replica.state_machine);
        }
        if self.faults.injected == Some(InjectedFault::LateApplication) {
            self.check_leases();
        }
        let replica = &mut self.replicas[i];
        for entry in &committed {
            replica.state_machine.apply(entry);
            self.oracle.record_applied(entry, replica.state_machine);
        }
        for read in reads {
            if let Some(index) = read.index {
                assert!(
                    replica.state_machine.index >= index,
                    "a read answered before its entries were applied"
                );
                self.oracle.check_read(read.request_id, index);
            }
        }
        if !writes.is_empty() {
            replica.queue.push_back((batch_id, writes));
        }
        let to = |to: &Instance| (0..self.replicas.len()).find(|&k| name(k) == *to);
        let in_flight = messages.into_iter().filter_map(|(n, m)| Some((i, to(&n)?, m)));
        let in_flight: Vec<_> = in_flight.collect();
        if self.faults.losses {
            self.late.record(&in_flight);
        }
        self.in_flight.extend(in_flight);
        let excess = self.in_flight.len().saturating_sub(IN_FLIGHT_MAX);
        self.in_flight.drain(..excess);
    }
}
