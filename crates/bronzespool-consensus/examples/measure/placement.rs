//! Commit latency of 3, 5 and 7 replicas by placement, in simulated time.
//!
//! The replicas are real, but links and disks are simulated by fixed delays. The results show how
//! many round trips the protocol needs, not how fast the hardware is.

use {
    crate::table::quantile,
    bronzespool_consensus::{
        Message, Node, Ready, Settings, Storage, StorageWrite, WriteBatchId, fake::MemoryStorage,
    },
    bronzespool_core::{Instance, Time},
    std::{
        collections::{BTreeMap, VecDeque},
        time::Duration,
    },
};

/// One-way delay inside a data centre, between data centres of a region, and between regions.
const LINK_DELAYS: [Duration; 3] =
    [Duration::from_micros(100), Duration::from_micros(500), Duration::from_millis(20)];
const SYNC_TIME: Duration = Duration::from_micros(1_000);
const COMMITS: usize = 500;
/// Number of elections measured.
const ELECTIONS: u64 = 40;

/// Data centre of each replica. The tens digit is the region.
const PLACEMENTS: [(&str, &[u8]); 6] = [
    ("3 in one region, 3 data centres", &[1, 2, 3]),
    ("5 in one region, 3 data centres", &[1, 1, 2, 2, 3]),
    ("7 in one region, 3 data centres", &[1, 1, 1, 2, 2, 3, 3]),
    ("3 in three regions", &[1, 11, 21]),
    ("5 in three regions, 5 data centres", &[1, 2, 11, 12, 21]),
    ("7 in three regions, 7 data centres", &[1, 2, 3, 11, 12, 21, 22]),
];

enum Event {
    Deliver { from: usize, to: usize, message: Message },
    Synced { at: usize, batch_id: WriteBatchId },
}

struct Replica {
    node: Option<Node>,
    disk: MemoryStorage,
    busy_until: Time,
    applied: u64,
}

struct Simulation {
    now: Time,
    centers: &'static [u8],
    replicas: Vec<Replica>,
    events: BTreeMap<(Time, u64), Event>,
    last_event: u64,
    sent: usize,
    bytes: usize,
}

fn name(i: usize) -> Instance {
    Instance::try_from(format!("control-{i}")).expect("a name")
}

fn link_delay(a: u8, b: u8) -> Duration {
    match () {
        () if a == b => LINK_DELAYS[0],
        () if a / 10 == b / 10 => LINK_DELAYS[1],
        () => LINK_DELAYS[2],
    }
}

impl Simulation {
    fn new(centers: &'static [u8], seed: u64) -> Self {
        let peers: Vec<Instance> = (0..centers.len()).map(name).collect();
        let replica = |i| {
            let settings = Settings::new(name(i), peers.clone(), seed * 100 + i as u64);
            let mut disk = MemoryStorage::default();
            let restored = disk.load().expect("a disk");
            let node = Node::open(settings, restored, Time::ZERO).expect("a node");
            Replica { node: Some(node), disk, busy_until: Time::ZERO, applied: 0 }
        };
        let replicas = (0..centers.len()).map(replica).collect();
        let (now, events) = (Time::ZERO, BTreeMap::new());
        Self { now, centers, replicas, events, last_event: 0, sent: 0, bytes: 0 }
    }

    fn schedule_event(&mut self, time: Time, event: Event) {
        self.last_event += 1;
        self.events.insert((time, self.last_event), event);
    }

    fn pump(&mut self, i: usize) {
        let Some(node) = &mut self.replicas[i].node else { return };
        let Ready { writes, messages, batch_id, committed, .. } = node.ready();
        for (to, message) in messages {
            let Some(to) = (0..self.centers.len()).find(|&k| name(k) == to) else { continue };
            self.sent += 1;
            self.bytes += message.encode().map_or(0, |bytes| bytes.len());
            let due = self.now + link_delay(self.centers[i], self.centers[to]);
            self.schedule_event(due, Event::Deliver { from: i, to, message });
        }
        if let Some(last) = committed.last() {
            self.replicas[i].applied = last.index;
        }
        if !writes.is_empty() {
            self.write(i, batch_id, &writes);
        }
    }

    fn write(&mut self, i: usize, batch_id: WriteBatchId, writes: &[StorageWrite]) {
        let replica = &mut self.replicas[i];
        replica.disk.write(writes).expect("a disk");
        replica.busy_until = replica.busy_until.max(self.now) + SYNC_TIME;
        let due = replica.busy_until;
        self.schedule_event(due, Event::Synced { at: i, batch_id });
    }

    /// Advances to the next event or timer.
    fn step(&mut self) {
        let wakes = self.replicas.iter().filter_map(|r| r.node.as_ref()).map(Node::next_tick);
        let wake = wakes.min().unwrap_or(Time::MAX).max(self.now);
        let due = self.events.keys().next().map_or(Time::MAX, |(time, _)| *time);
        self.now = wake.min(due);
        let mut changed = VecDeque::new();
        if due <= wake {
            let Some((_, event)) = self.events.pop_first() else { return };
            match event {
                Event::Deliver { from, to, message } => {
                    if let Some(node) = &mut self.replicas[to].node {
                        node.receive(self.now, &name(from), message);
                    }
                    changed.push_back(to);
                }
                Event::Synced { at, batch_id } => {
                    if let Some(node) = &mut self.replicas[at].node {
                        node.synced(self.now, batch_id);
                    }
                    changed.push_back(at);
                }
            }
        } else {
            for (i, replica) in self.replicas.iter_mut().enumerate() {
                if let Some(node) = replica.node.as_mut().filter(|n| n.next_tick() <= self.now) {
                    node.tick(self.now);
                    changed.push_back(i);
                }
            }
        }
        changed.into_iter().for_each(|i| self.pump(i));
    }

    fn leader(&self) -> Option<usize> {
        let leads = |r: &Replica| r.node.as_ref().is_some_and(|n| n.has_lease(self.now));
        self.replicas.iter().position(leads)
    }

    fn elect(&mut self) -> usize {
        loop {
            match self.leader() {
                Some(i) => return i,
                None => self.step(),
            }
        }
    }

    fn commit(&mut self, leader: usize) -> Duration {
        let start = self.now;
        let Some(node) = &mut self.replicas[leader].node else { return Duration::ZERO };
        let Ok(index) = node.propose(start, vec![7; 100]) else { return Duration::ZERO };
        self.pump(leader);
        while self.replicas[leader].applied < index {
            self.step();
        }
        self.now.since(start)
    }
}

pub(crate) fn run() {
    for (what, centers) in PLACEMENTS {
        let mut simulation = Simulation::new(centers, 1);
        let leader = simulation.elect();
        (simulation.sent, simulation.bytes) = (0, 0);
        let start = simulation.now;
        let mut spans: Vec<_> = (0..COMMITS).map(|_| simulation.commit(leader)).collect();
        let (p50, p99) = (quantile(&mut spans, 500), quantile(&mut spans, 990));
        let (sent, bytes) = (simulation.sent / COMMITS, simulation.bytes / COMMITS);
        let took = simulation.now.since(start).as_millis();
        let mut outages: Vec<_> = (1..=ELECTIONS).map(|seed| outage(centers, seed)).collect();
        let (gap50, gap99) =
            (quantile(&mut outages, 500) / 1_000, quantile(&mut outages, 990) / 1_000);
        let (messages, traffic) = idle_load(&mut simulation);
        println!(
            "{what}: commit p50 {p50} us p99 {p99} us, {sent} messages and {bytes} B a commit \
             ({COMMITS} in {took} ms), without a leader after a kill p50 {gap50} ms p99 {gap99} ms, \
             idle {messages} messages/s and {traffic} B/s at the leader"
        );
    }
}

/// Messages and bytes per second that the leader sends and receives while no commands are proposed.
fn idle_load(simulation: &mut Simulation) -> (usize, usize) {
    const SECONDS: usize = 10;
    let end = simulation.now + Duration::from_secs(SECONDS as u64);
    (simulation.sent, simulation.bytes) = (0, 0);
    while simulation.now < end {
        simulation.step();
    }
    (simulation.sent / SECONDS, simulation.bytes / SECONDS)
}

/// Time from the crash of the leader until the next leader has a lease.
fn outage(centers: &'static [u8], seed: u64) -> Duration {
    let mut simulation = Simulation::new(centers, seed);
    let leader = simulation.elect();
    (0..10).for_each(|_| {
        simulation.commit(leader);
    });
    simulation.replicas[leader].node = None;
    let start = simulation.now;
    simulation.elect();
    simulation.now.since(start)
}
