//! Cost of bringing a replica up to date by log entries, by a snapshot, or by digests of key
//! ranges.

use {
    crate::{
        digest::{self, DiffMessage, HashIndex, Map, ROOT, RangeEntries},
        table::quantile,
    },
    bronzespool_consensus::{
        Entry, EntryPayload, MESSAGE_MAX_BYTES, Membership, Message, MessageBody, ReplicaId,
        Settings, Snapshot,
    },
    bronzespool_core::Instance,
    std::time::{Duration, Instant},
};

const ITEM_BYTES: usize = 40;
const REPEATS: usize = 15;

struct Cost {
    bytes: usize,
    messages: usize,
    /// Round trips: messages that have to wait for an answer to the previous one.
    rounds: usize,
}

fn item(rng: &mut fastrand::Rng) -> Vec<u8> {
    (0..ITEM_BYTES).map(|_| rng.u8(..)).collect()
}

/// Random command: about nine in ten set an existing key, the others set a new key or remove one.
fn command(map: &Map, keys: &[Vec<u8>], rng: &mut fastrand::Rng) -> Vec<u8> {
    let old = keys[rng.usize(..keys.len())].clone();
    match rng.u8(..20) {
        0 if map.contains_key(&old) => old,
        1 => [item(rng), item(rng)].concat(),
        _ => [old, item(rng)].concat(),
    }
}

fn apply(map: &mut Map, command: &[u8]) {
    let (key, value) = command.split_at(ITEM_BYTES);
    match value {
        [] => map.remove(key),
        _ => map.insert(key.to_vec(), value.to_vec()),
    };
}

fn message(body: MessageBody) -> Vec<u8> {
    let message = Message { cluster: 1, from: ReplicaId(1), to: ReplicaId(2), term: 1, body };
    message.encode().expect("a message")
}

fn decode(bytes: &[u8]) -> MessageBody {
    assert!(bytes.len() <= MESSAGE_MAX_BYTES);
    Message::decode(bytes).expect("a message").body
}

fn by_log(old: &mut Map, commands: &[Vec<u8>], batch: usize) -> Cost {
    let mut cost = Cost { bytes: 0, messages: 0, rounds: 1 };
    let batch_len = (batch / (ITEM_BYTES * 2 + 16)).max(1);
    let mut index = 0;
    for commands in commands.chunks(batch_len) {
        let entries = commands.iter().zip(index + 1..).map(|(c, index)| {
            let payload = EntryPayload::Command(c.as_slice().into());
            Entry { index, term: 1, payload }
        });
        let entries = entries.collect();
        let sent =
            message(MessageBody::Append { prev_index: index, prev_term: 1, commit: 0, entries });
        index += commands.len() as u64;
        let answer = message(MessageBody::Matched(index));
        cost.bytes += sent.len() + answer.len();
        cost.messages += 2;
        let MessageBody::Append { entries, .. } = decode(&sent) else { continue };
        entries.iter().filter_map(Entry::command).for_each(|c| apply(old, c));
    }
    cost
}

fn by_snapshot(old: &mut Map, new: &Map, chunk: usize) -> Cost {
    let mut cost = Cost { bytes: 0, messages: 0, rounds: 0 };
    let state = postcard::to_stdvec(new).expect("a state");
    let snapshot = Snapshot::new(1, 1, Membership::default(), state);
    let mut received = Vec::new();
    for part in snapshot.state.chunks(chunk) {
        let offset = received.len() as u64;
        let body =
            MessageBody::SnapshotChunk { meta: snapshot.meta.clone(), offset, bytes: part.into() };
        let sent = message(body);
        let answer =
            message(MessageBody::ChunkRequest { index: 1, offset: offset + part.len() as u64 });
        cost.bytes += sent.len() + answer.len();
        cost.messages += 2;
        cost.rounds += 1;
        if let MessageBody::SnapshotChunk { bytes, .. } = decode(&sent) {
            received.extend_from_slice(&bytes);
        }
    }
    let state = Snapshot::verified(snapshot.meta, received.into()).expect("a complete state");
    *old = postcard::from_bytes(&state.state).expect("a state");
    cost
}

fn by_digests(old: &mut Map, new: &Map) -> Cost {
    let mut cost = Cost { bytes: 0, messages: 0, rounds: 0 };
    let source = HashIndex::new(new);
    let mut split = vec![ROOT];
    let mut ranges: Vec<RangeEntries> = Vec::new();
    let lagging = old.clone();
    let target = HashIndex::new(&lagging);
    while !split.is_empty() {
        let sent = postcard::to_stdvec(&target.ask(&split)).expect("a round");
        let Ok(DiffMessage::Digests(digests)) = postcard::from_bytes(&sent) else { return cost };
        let answer = postcard::to_stdvec(&source.answer(&digests)).expect("a round");
        cost.bytes += sent.len() + answer.len();
        cost.messages += 2;
        cost.rounds += 1;
        let Ok(DiffMessage::Reply { split: next, small }) = postcard::from_bytes(&answer) else {
            return cost;
        };
        ranges.extend(small);
        split = next;
    }
    digest::replace(old, ranges);
    cost
}

fn measure(what: &str, old: &Map, new: &Map, mut transfer: impl FnMut(&mut Map) -> Cost) {
    let mut spans: Vec<Duration> = Vec::new();
    let mut cost = Cost { bytes: 0, messages: 0, rounds: 0 };
    for _ in 0..REPEATS {
        let mut map = old.clone();
        let start = Instant::now();
        cost = transfer(&mut map);
        spans.push(start.elapsed());
        assert_eq!(&map, new, "{what} brought another state");
    }
    let cpu = quantile(&mut spans, 500);
    let Cost { bytes, messages, rounds } = cost;
    println!("  {what:<9} {bytes:>9} B {messages:>5} messages {rounds:>3} rounds {cpu:>7} us cpu");
}

pub(crate) fn run() {
    let name = Instance::try_from("control-1").expect("a name");
    let settings = Settings::new(name.clone(), vec![name], 1);
    let mut rng = fastrand::Rng::with_seed(7);
    for size in [1_000, 10_000] {
        let old: Map = (0..size).map(|_| (item(&mut rng), item(&mut rng))).collect();
        let keys: Vec<Vec<u8>> = old.keys().cloned().collect();
        for missed in [100, 300, 1_000] {
            let mut new = old.clone();
            let mut commands = Vec::new();
            for _ in 0..missed {
                let command = command(&new, &keys, &mut rng);
                apply(&mut new, &command);
                commands.push(command);
            }
            println!("{size} entries, {missed} changes missed");
            measure("log", &old, &new, |map| by_log(map, &commands, settings.append_bytes));
            measure("snapshot", &old, &new, |map| by_snapshot(map, &new, settings.chunk_bytes));
            measure("digests", &old, &new, |map| by_digests(map, &new));
        }
    }
}
