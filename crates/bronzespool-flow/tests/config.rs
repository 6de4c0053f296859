//! Compare-and-set of the configuration with races, resends and reused operation keys.

use {
    arbtest::{
        arbitrary::{self, Unstructured},
        arbtest,
    },
    bronzespool_core::{Digest, Key},
    bronzespool_flow::config::{ConfigOutcome, ConfigStore, ConfigUpdate},
    std::collections::BTreeMap,
};

/// Upper halves of the seeds, one for each case of a property. The lower half is [`BYTES`], the
/// number of random bytes that a case gets.
const SEEDS: std::ops::Range<u64> = 0xc0f1_1000..0xc0f1_1200;
const BYTES: u64 = 0x200;
const STEPS: u32 = 60;

fn check(mut property: impl FnMut(&mut Unstructured<'_>) -> arbitrary::Result<()>) {
    for seed in SEEDS {
        arbtest(&mut property).seed(seed << 32 | BYTES).run();
    }
}

fn update(base: u64, operation: u64, content: u64) -> ConfigUpdate {
    ConfigUpdate {
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
        let mut store = ConfigStore::default();
        let mut first: BTreeMap<Key, (Digest, ConfigOutcome)> = BTreeMap::new();
        let mut winners: Vec<Key> = Vec::new();
        for _ in 0..STEPS {
            let before = store.config().revision;
            let base = before.saturating_sub(u.int_in_range(0..=2)?) + u.int_in_range(0..=1)?;
            let update = update(base, u.int_in_range(0..=20)?, u.int_in_range(0..=1)?);
            let outcome = store.apply(&update);
            let wanted = match first.get(&update.operation) {
                Some((digest, outcome)) if *digest == update.digest => outcome.clone(),
                Some(_) => ConfigOutcome::Reused,
                None if base == before => ConfigOutcome::Accepted { revision: before + 1 },
                None => {
                    ConfigOutcome::Conflict { revision: before, winner: winners.last().cloned() }
                }
            };
            assert_eq!(outcome, wanted, "{update:?} at revision {before}");
            let new = !first.contains_key(&update.operation);
            let accepted = new && base == before;
            assert_eq!(store.config().revision, before + u64::from(accepted));
            if accepted {
                winners.push(update.operation.clone());
            }
            first.entry(update.operation).or_insert((update.digest, outcome));
        }
        assert_eq!(winners.len() as u64, store.config().revision);
        Ok(())
    });
}

#[test]
fn apply_race_names_winner() {
    let mut store = ConfigStore::default();
    let accepted = ConfigOutcome::Accepted { revision: 1 };
    let conflict = ConfigOutcome::Conflict { revision: 1, winner: Some(key(1)) };
    assert_eq!(store.apply(&update(0, 1, 1)), accepted);
    assert_eq!(store.apply(&update(0, 2, 2)), conflict);
    store.apply(&update(1, 3, 3));
    assert_eq!(store.apply(&update(0, 1, 1)), accepted);
    assert_eq!(store.apply(&update(0, 2, 2)), conflict);
    assert_eq!(store.apply(&update(0, 1, 9)), ConfigOutcome::Reused);
    assert_eq!(store.config().revision, 2);
}

#[test]
fn apply_replicas_equal() {
    let (mut left, mut right) = (ConfigStore::default(), ConfigStore::default());
    for number in 0..50 {
        let update = update(number / 2, number, number);
        assert_eq!(left.apply(&update), right.apply(&update));
        let bytes = postcard::to_stdvec(&left).unwrap();
        left = postcard::from_bytes(&bytes).unwrap();
    }
    assert_eq!(left, right);
}
