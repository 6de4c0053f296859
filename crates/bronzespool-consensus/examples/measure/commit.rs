//! Commit latency and throughput of three replicas with files, compared with a single synced log.

use {
    crate::table::quantile,
    bronzespool_consensus::{
        Entry, EntryPayload, FileStorage, Message, Node, Settings, Storage, StorageWrite,
        WriteBatchId,
    },
    bronzespool_core::{Instance, Time},
    std::{
        collections::BTreeMap,
        sync::mpsc::{Receiver, Sender, channel},
        thread,
        time::{Duration, Instant},
    },
};

const REPLICAS: usize = 3;
const RECORD_BYTES: usize = 100;
/// Records in flight at once, and the total number of records.
const WORKLOADS: [(usize, usize); 3] = [(1, 1_000), (32, 20_000), (256, 100_000)];

enum HostInput {
    Message(Instance, Vec<u8>),
    Synced(WriteBatchId),
    Propose(Instant),
    Stop,
}

enum HostOutput {
    Elected(usize),
    Committed(Instant),
}

struct WriteBatch {
    id: WriteBatchId,
    writes: Vec<StorageWrite>,
}

struct ReplicaHost {
    index: usize,
    origin: Instant,
    node: Node,
    peers: Vec<(Instance, Sender<HostInput>)>,
    disk: Sender<WriteBatch>,
    client: Sender<HostOutput>,
    started: BTreeMap<u64, Instant>,
    is_leader: bool,
}

impl ReplicaHost {
    fn now(&self) -> Time {
        let micros = self.origin.elapsed().as_micros();
        Time::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }

    fn run(mut self, inputs: &Receiver<HostInput>) {
        loop {
            let now = self.now();
            let wait = self.node.next_tick().since(now);
            let first = inputs.recv_timeout(wait).ok();
            let rest = inputs.try_iter().collect::<Vec<_>>();
            for input in first.into_iter().chain(rest) {
                if matches!(input, HostInput::Stop) {
                    return;
                }
                self.handle(input);
            }
            let now = self.now();
            if now >= self.node.next_tick() {
                self.node.tick(now);
            }
            self.pump();
        }
    }

    fn handle(&mut self, input: HostInput) {
        let now = self.now();
        match input {
            HostInput::Message(from, bytes) => {
                let message = Message::decode(&bytes).expect("an encoded message");
                self.node.receive(now, &from, message);
            }
            HostInput::Synced(batch_id) => self.node.synced(now, batch_id),
            HostInput::Propose(start) => {
                let index = self.node.propose(now, vec![7; RECORD_BYTES]).expect("the leader");
                self.started.insert(index, start);
            }
            HostInput::Stop => {}
        }
    }

    fn pump(&mut self) {
        let ready = self.node.ready();
        for (to, message) in ready.messages {
            let peer = self.peers.iter().find(|(name, _)| *name == to);
            let own = self.peers[self.index].0.clone();
            if let Some((_, sender)) = peer {
                let _ = sender.send(HostInput::Message(own, message.encode().expect("a message")));
            }
        }
        if !ready.writes.is_empty() {
            let _ = self.disk.send(WriteBatch { id: ready.batch_id, writes: ready.writes });
        }
        for entry in &ready.committed {
            if let Some(start) = self.started.remove(&entry.index) {
                let _ = self.client.send(HostOutput::Committed(start));
            }
        }
        if !self.is_leader && self.node.has_lease(self.now()) {
            self.is_leader = true;
            let _ = self.client.send(HostOutput::Elected(self.index));
        }
    }
}

/// Makes batches durable. All batches that are waiting share one sync.
fn sync(mut disk: FileStorage, batches: &Receiver<WriteBatch>, host: &Sender<HostInput>) {
    while let Ok(mut batch) = batches.recv() {
        for next in batches.try_iter() {
            batch.id = next.id;
            batch.writes.extend(next.writes);
        }
        disk.write(&batch.writes).expect("a working disk");
        if host.send(HostInput::Synced(batch.id)).is_err() {
            return;
        }
    }
}

pub(crate) fn run() {
    for (window, count) in WORKLOADS {
        single(window, count);
        replicated(window, count);
    }
}

fn report(what: &str, window: usize, elapsed: Duration, latencies: &mut [Duration]) {
    let rate = latencies.len() as f64 / elapsed.as_secs_f64();
    let (p50, p99) = (quantile(latencies, 500), quantile(latencies, 990));
    println!("{what} window {window}: {rate:.0} records/s, p50 {p50} us, p99 {p99} us");
}

fn single(window: usize, count: usize) {
    let folder = tempfile::tempdir().expect("a folder");
    let mut disk = FileStorage::open(folder.path()).expect("a disk");
    let mut latencies = Vec::new();
    let begin = Instant::now();
    for batch in 0..count / window {
        let first = (batch * window) as u64 + 1;
        let entry = |index| {
            let payload = EntryPayload::Command(vec![7; RECORD_BYTES].into());
            Entry { index, term: 1, payload }
        };
        let start = Instant::now();
        let entries = (first..first + window as u64).map(entry).collect();
        disk.write(&[StorageWrite::Append(entries)]).expect("a working disk");
        latencies.extend(vec![start.elapsed(); window]);
    }
    report("one synced log", window, begin.elapsed(), &mut latencies);
}

fn replicated(window: usize, count: usize) {
    let folder = tempfile::tempdir().expect("a folder");
    let name = |i: usize| Instance::try_from(format!("control-{i}")).expect("a name");
    let names: Vec<Instance> = (0..REPLICAS).map(name).collect();
    let (client, outputs) = channel();
    let (senders, receivers): (Vec<_>, Vec<_>) = (0..REPLICAS).map(|_| channel()).unzip();
    let peers: Vec<_> = names.iter().cloned().zip(senders.iter().cloned()).collect();
    let origin = Instant::now();
    for (index, inputs) in receivers.into_iter().enumerate() {
        let mut disk =
            FileStorage::open(folder.path().join(names[index].as_str())).expect("a disk");
        let settings = Settings::new(names[index].clone(), names.clone(), index as u64 + 1);
        let node = Node::open(settings, disk.load().expect("a disk"), Time::ZERO).expect("a node");
        let (queue, batches) = channel();
        let (peers, client, own) = (peers.clone(), client.clone(), senders[index].clone());
        let started = BTreeMap::new();
        let host = ReplicaHost {
            index,
            origin,
            node,
            peers,
            disk: queue,
            client,
            started,
            is_leader: false,
        };
        thread::spawn(move || sync(disk, &batches, &own));
        thread::spawn(move || host.run(&inputs));
    }
    let leader = loop {
        if let Ok(HostOutput::Elected(index)) = outputs.recv() {
            break index;
        }
    };
    let mut latencies = Vec::new();
    let mut sent = 0;
    let begin = Instant::now();
    while latencies.len() < count {
        while sent < count && sent < latencies.len() + window {
            let _ = senders[leader].send(HostInput::Propose(Instant::now()));
            sent += 1;
        }
        if let Ok(HostOutput::Committed(start)) = outputs.recv() {
            latencies.push(start.elapsed());
        }
    }
    report("three replicas", window, begin.elapsed(), &mut latencies);
    for sender in senders {
        let _ = sender.send(HostInput::Stop);
    }
}
