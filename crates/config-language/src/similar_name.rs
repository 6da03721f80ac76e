//! Suggestions for unknown names.

/// Largest edit distance at which a known name is suggested.
const MAX_DISTANCE: usize = 2;

/// Returns the known name with the smallest edit distance, if it is within [`MAX_DISTANCE`]; of several, the first in
/// alphabetical order.
pub fn similar_name<'a>(name: &str, known: &'a [String]) -> Option<&'a String> {
    let candidates = known.iter().map(|candidate| (edit_distance(name, candidate), candidate));
    let near = candidates.filter(|(distance, _)| *distance <= MAX_DISTANCE);
    near.min().map(|(_, candidate)| candidate)
}

/// Returns the Levenshtein distance of two names.
fn edit_distance(a: &str, b: &str) -> usize {
    let (a, b): (Vec<_>, Vec<_>) = (a.chars().collect(), b.chars().collect());
    let mut row: Vec<usize> = (0..=b.len()).collect();
    for (i, x) in a.iter().enumerate() {
        let mut corner = std::mem::replace(&mut row[0], i + 1);
        for (j, y) in b.iter().enumerate() {
            let cost = corner + usize::from(x != y);
            corner = row[j + 1];
            row[j + 1] = cost.min(row[j] + 1).min(corner + 1);
        }
    }
    row[b.len()]
}
