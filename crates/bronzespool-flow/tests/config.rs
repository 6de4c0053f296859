//! Compare-and-set of the configuration, with races, resends and misused operations.

use {
    arbtest::{
        arbitrary::{self, Unstructured},
        arbtest,
    },
    bronzespool_core::{Digest, Key},
    bronzespool_flow::config::{Change, Store, Verdict},
    std::collections::BTreeMap,
};

/// Cases of each property; each has a seed of its own and as many bytes as its low half says.
const SEEDS: std::ops::Range<u64> = 0xc0f1_1000..0xc0f1_1200;
const BYTES: u64 = 0x200;
const STEPS: u32 = 60;

fn check(mut property: impl FnMut(&mut Unstructured<'_>) -> arbitrary::Result<()>) {
    for seed in SEEDS {
        arbtest(&mut property).seed(seed << 32 | BYTES).run();
    }
}

fn change(base: u64, operation: u64, content: u64) -> Change {
    Change {
        base,
        operation: key(operation),
        digest: Digest::of(format!("{base} {content}").as_bytes()),
        services: Vec::new(),
        removed: Vec::new(),
    }
}

fn key(operation: u64) -> Key {
    Key::try_from(format!("op-{operation}").as_str()).unwrap()
}

#[test]
fn apply_once_each_base() {
    check(|u| {
        let mut store = Store::default();
        let mut first: BTreeMap<Key, (Digest, Verdict)> = BTreeMap::new();
        let mut winners: Vec<Key> = Vec::new();
        for _ in 0..STEPS {
            let before = store.config().revision;
            let base = before.saturating_sub(u.int_in_range(0..=2)?) + u.int_in_range(0..=1)?;
            let change = change(base, u.int_in_range(0..=20)?, u.int_in_range(0..=1)?);
            let verdict = store.apply(&change);
            let wanted = match first.get(&change.operation) {
                Some((digest, verdict)) if *digest == change.digest => verdict.clone(),
                Some(_) => Verdict::Reused,
                None if base == before => Verdict::Accepted { revision: before + 1 },
                None => Verdict::Conflict { revision: before, winner: winners.last().cloned() },
            };
            assert_eq!(verdict, wanted, "{change:?} at revision {before}");
            let new = !first.contains_key(&change.operation);
            let accepted = new && base == before;
            assert_eq!(store.config().revision, before + u64::from(accepted));
            if accepted {
                winners.push(change.operation.clone());
            }
            first.entry(change.operation).or_insert((change.digest, verdict));
        }
        assert_eq!(winners.len() as u64, store.config().revision);
        Ok(())
    });
}

#[test]
fn apply_race_names_winner() {
    let mut store = Store::default();
    let accepted = Verdict::Accepted { revision: 1 };
    let conflict = Verdict::Conflict { revision: 1, winner: Some(key(1)) };
    assert_eq!(store.apply(&change(0, 1, 1)), accepted);
    assert_eq!(store.apply(&change(0, 2, 2)), conflict);
    store.apply(&change(1, 3, 3));
    assert_eq!(store.apply(&change(0, 1, 1)), accepted);
    assert_eq!(store.apply(&change(0, 2, 2)), conflict);
    assert_eq!(store.apply(&change(0, 1, 9)), Verdict::Reused);
    assert_eq!(store.config().revision, 2);
}

#[test]
fn apply_replicas_equal() {
    let (mut left, mut right) = (Store::default(), Store::default());
    for number in 0..50 {
        let change = change(number / 2, number, number);
        assert_eq!(left.apply(&change), right.apply(&change));
        let bytes = postcard::to_stdvec(&left).unwrap();
        left = postcard::from_bytes(&bytes).unwrap();
    }
    assert_eq!(left, right);
}
