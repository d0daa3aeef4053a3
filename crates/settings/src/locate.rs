//! Finds the line of a key, for errors that are found after parsing.

/// Line, from 1, on which the key of a dotted path stands.
///
/// Looks for the parts one after the other, so it serves block and flow maps alike.
pub(crate) fn line_of(text: &str, path: &str) -> Option<usize> {
    let mut start = 0;
    for part in path.split('.') {
        start = find_key(text, start, part)?;
    }
    Some(text[..start].matches('\n').count() + 1)
}

/// Position behind the first `key:` at or after `start` that is no part of a comment.
fn find_key(text: &str, start: usize, key: &str) -> Option<usize> {
    let wanted = format!("{key}:");
    text[start..]
        .match_indices(&wanted)
        .map(|(at, _)| start + at)
        .find(|at| is_key(&text[..*at]))
        .map(|at| at + wanted.len())
}

fn is_key(before: &str) -> bool {
    let line = before.rsplit('\n').next().unwrap_or_default();
    let starts_word = line.is_empty() || line.ends_with([' ', '{', ',']);
    starts_word && !line.contains('#')
}
