//! Suggests the known name that is closest to a mistyped one.

/// Longest name that is compared, in characters.
const NAME_CHARS_MAX: usize = 64;

/// The known name closest to `text`, if their distance is at most a third of that name's length,
/// rounded up.
pub(super) fn nearest<'a>(text: &str, known: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    if text.chars().count() > NAME_CHARS_MAX {
        return None;
    }
    known
        .map(|name| (distance(text, name), name))
        .filter(|&(distance, name)| distance <= name.len().div_ceil(3))
        .min()
        .map(|(_, name)| name)
}

/// Levenshtein distance in characters.
fn distance(a: &str, b: &str) -> usize {
    let b: Vec<char> = b.chars().collect();
    let mut row: Vec<usize> = (0..=b.len()).collect();
    for (i, x) in a.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = i + 1;
        for (j, &y) in b.iter().enumerate() {
            let replaced = diagonal + usize::from(x != y);
            diagonal = row[j + 1];
            row[j + 1] = replaced.min(row[j] + 1).min(diagonal + 1);
        }
    }
    row[b.len()]
}
