//! Replicates a counter on three replicas in one thread: `cargo run --example
//! replicated_counter`.
//!
//! The loop plays the role of the embedder: it delivers messages, makes writes durable and
//! advances the time.

use {
    bronzespool_consensus::{Message, Node, Result, Settings, Storage, fake::MemoryStorage},
    bronzespool_core::{Instance, Time},
    std::{collections::VecDeque, time::Duration},
};

struct Replica {
    name: Instance,
    node: Node,
    disk: MemoryStorage,
    count: u64,
}

struct Envelope {
    from: Instance,
    to: Instance,
    message: Message,
}

fn open(name: &Instance, peers: &[Instance], seed: u64) -> Result<Replica> {
    let mut disk = MemoryStorage::default();
    let settings = Settings::new(name.clone(), peers.to_vec(), seed);
    let node = Node::open(settings, disk.load()?, Time::ZERO)?;
    Ok(Replica { name: name.clone(), node, disk, count: 0 })
}

/// Processes the output of a replica until there is none left.
fn pump(replica: &mut Replica, now: Time, in_flight: &mut VecDeque<Envelope>) -> Result<()> {
    loop {
        let ready = replica.node.ready();
        if ready.is_empty() {
            return Ok(());
        }
        for entry in &ready.committed {
            let bytes = entry.command().and_then(|data| data.try_into().ok());
            replica.count += bytes.map_or(0, u64::from_le_bytes);
        }
        let from = &replica.name;
        let envelope = |(to, message)| Envelope { from: from.clone(), to, message };
        in_flight.extend(ready.messages.into_iter().map(envelope));
        replica.disk.write(&ready.writes)?;
        replica.node.synced(now, ready.batch_id);
    }
}

fn main() -> Result<()> {
    let name = |i| Instance::try_from(format!("control-{i}")).expect("a valid name");
    let peers: Vec<Instance> = (1..=3).map(name).collect();
    let seeds = peers.iter().zip(1..);
    let mut replicas = seeds.map(|(n, seed)| open(n, &peers, seed)).collect::<Result<Vec<_>>>()?;
    let (mut now, mut in_flight, mut increments) = (Time::ZERO, VecDeque::new(), 1..=10_u64);
    while !replicas.iter().all(|r| r.count == 55) {
        now += Duration::from_millis(1);
        for replica in &mut replicas {
            replica.node.tick(now);
            let increment = if replica.node.has_lease(now) { increments.next() } else { None };
            if let Some(increment) = increment {
                replica.node.propose(now, increment.to_le_bytes())?;
            }
            pump(replica, now, &mut in_flight)?;
        }
        while let Some(Envelope { from, to, message }) = in_flight.pop_front() {
            let Some(replica) = replicas.iter_mut().find(|r| r.name == to) else { continue };
            replica.node.receive(now, &from, message);
            pump(replica, now, &mut in_flight)?;
        }
    }
    println!("all replicas count 55 after {now}");
    Ok(())
}
