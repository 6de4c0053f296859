//! Finds differences by digests of key ranges, after the idea in "MDC4 Independent Fullsync RFC".
//! Both sides compare digests of ever smaller key ranges and then send only the entries of the
//! ranges that differ.

use {
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, ops::RangeInclusive},
};

/// The compared map. Keys and values have 40 bytes.
pub(crate) type Map = BTreeMap<Vec<u8>, Vec<u8>>;

/// Number of ranges into which a range is split.
const FANOUT: u32 = 16;
/// Largest number of entries for which a range is sent instead of being split.
const LEAF_ENTRIES_MAX: usize = 8;
/// Largest depth of a range. The next one would need a shift by all 32 bits of a hash.
const DEPTH_MAX: u8 = 7;

/// A range of key hashes: those whose top `depth` hexadecimal digits equal `prefix`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct KeyRange {
    depth: u8,
    prefix: u32,
}

impl KeyRange {
    fn hashes(self) -> RangeInclusive<u32> {
        let bits = 4 * u32::from(self.depth);
        match bits {
            0 => 0..=u32::MAX,
            _ => self.prefix << (32 - bits)..=(self.prefix << (32 - bits) | (u32::MAX >> bits)),
        }
    }
}

/// Digest of a range. It has the size of a digest fit for real use, but its hash is weaker.
pub(crate) type Digest = [u8; 8];

/// A range with all of its entries.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct RangeEntries {
    range: KeyRange,
    entries: Map,
}

/// One message of a comparison round.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum DiffMessage {
    /// Digests of ranges, sent by the replica that lags.
    Digests(Vec<(KeyRange, Digest)>),
    /// Ranges to split further, and the entries of ranges that are small enough to send.
    Reply { split: Vec<KeyRange>, small: Vec<RangeEntries> },
}

/// Entries ordered by the hash of their key.
pub(crate) struct HashIndex<'a>(BTreeMap<(u32, &'a [u8]), &'a [u8]>);

impl<'a> HashIndex<'a> {
    pub(crate) fn new(map: &'a Map) -> Self {
        let hashed =
            |(k, v): (&'a Vec<u8>, &'a Vec<u8>)| ((crc32fast::hash(k), k.as_slice()), v.as_slice());
        Self(map.iter().map(hashed).collect())
    }

    fn entries(&self, range: KeyRange) -> Vec<(&'a [u8], &'a [u8])> {
        let hashes = range.hashes();
        let range = self.0.range((*hashes.start(), &[][..])..);
        let inside = range.take_while(|((hash, _), _)| hash <= hashes.end());
        inside.map(|((_, key), value)| (*key, *value)).collect()
    }

    fn digest(&self, range: KeyRange) -> Digest {
        let mut hasher = crc32fast::Hasher::new();
        for (key, value) in self.entries(range) {
            hasher.update(key);
            hasher.update(value);
        }
        u64::from(hasher.finalize()).wrapping_mul(0x9e37_79b9_7f4a_7c15).to_le_bytes()
    }

    /// Digests of the ranges into which the other side asked to split.
    pub(crate) fn ask(&self, split: &[KeyRange]) -> DiffMessage {
        let children = split.iter().flat_map(|range| {
            let child = |i| KeyRange { depth: range.depth + 1, prefix: range.prefix * FANOUT + i };
            (0..FANOUT).map(child)
        });
        DiffMessage::Digests(children.map(|range| (range, self.digest(range))).collect())
    }

    /// Compares the other side's digests with those of this map.
    pub(crate) fn answer(&self, digests: &[(KeyRange, Digest)]) -> DiffMessage {
        let (mut split, mut small) = (Vec::new(), Vec::new());
        for &(range, digest) in digests {
            if self.digest(range) == digest {
                continue;
            }
            let entries = self.entries(range);
            if entries.len() > LEAF_ENTRIES_MAX && range.depth < DEPTH_MAX {
                split.push(range);
                continue;
            }
            let entries = entries.iter().map(|(k, v)| (k.to_vec(), v.to_vec()));
            small.push(RangeEntries { range, entries: entries.collect() });
        }
        DiffMessage::Reply { split, small }
    }
}

/// The range of all keys.
pub(crate) const ROOT: KeyRange = KeyRange { depth: 0, prefix: 0 };

/// Replaces the entries in the ranges that were sent.
pub(crate) fn replace(map: &mut Map, ranges: Vec<RangeEntries>) {
    let mut hashed: BTreeMap<u32, Vec<Vec<u8>>> = BTreeMap::new();
    for key in map.keys() {
        hashed.entry(crc32fast::hash(key)).or_default().push(key.clone());
    }
    for RangeEntries { range, entries } in ranges {
        let old = hashed.range(range.hashes()).flat_map(|(_, keys)| keys);
        old.for_each(|key| {
            map.remove(key);
        });
        map.extend(entries);
    }
}
