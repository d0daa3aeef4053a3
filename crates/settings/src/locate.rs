//! Finds the line of a key in YAML, for errors that are detected after deserialization.
//!
//! Deserialized values have no location, so this searches the text.

/// Returns the line, counted from 1, of the key at a dotted path; `None` if the text lacks it.
///
/// Searches for the parts of the path one after another, in block and flow mappings alike.
pub(crate) fn line_of(text: &str, path: &str) -> Option<usize> {
    let mut start = 0;
    for part in path.split('.') {
        start = find_key(text, start, part)?;
    }
    Some(text[..start].matches('\n').count() + 1)
}

/// Returns the position after the first `key:` at or after `start` that is outside comments.
fn find_key(text: &str, start: usize, key: &str) -> Option<usize> {
    let pattern = format!("{key}:");
    text[start..]
        .match_indices(&pattern)
        .map(|(pos, _)| start + pos)
        .find(|pos| is_key(&text[..*pos]))
        .map(|pos| pos + pattern.len())
}

/// Whether a key can start here, given the text before it.
fn is_key(before: &str) -> bool {
    let line = before.rsplit('\n').next().unwrap_or_default();
    let follows_delimiter = line.is_empty() || line.ends_with([' ', '{', ',']);
    follows_delimiter && !line.contains('#')
}
