//! Normalisation of request paths for lookups.

use std::borrow;

/// Decodes percent-encoded unreserved characters, so that equivalent spellings
/// of a path match the same route.
///
/// Other percent-encoded characters, including the slash, stay encoded.
pub(crate) fn decode_unreserved(path: &str) -> borrow::Cow<'_, str> {
    if !path.contains('%') {
        return borrow::Cow::Borrowed(path);
    }
    let mut decoded = String::with_capacity(path.len());
    let mut rest = path;
    while let Some(percent_at) = rest.find('%') {
        decoded.push_str(&rest[..percent_at]);
        rest = &rest[percent_at..];
        let unreserved = rest.get(1..3).and_then(unreserved_character);
        decoded.push(unreserved.unwrap_or('%'));
        rest = &rest[if unreserved.is_some() { 3 } else { 1 }..];
    }
    decoded.push_str(rest);
    borrow::Cow::Owned(decoded)
}

/// Returns the non-empty segments of a path, without its query and fragment.
pub(crate) fn segments(path: &str) -> impl Iterator<Item = &str> {
    let query_at = path.bytes().position(|byte| matches!(byte, b'?' | b'#'));
    let path = &path[..query_at.unwrap_or(path.len())];
    path.split('/').filter(|segment| !segment.is_empty())
}

/// Returns whether a segment refers to the current or the parent directory.
pub(crate) fn is_dot_segment(segment: &str) -> bool {
    matches!(segment, "." | "..")
}

fn unreserved_character(hex: &str) -> Option<char> {
    if !hex.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return None;
    }
    let character = char::from(u8::from_str_radix(hex, 16).ok()?);
    let unreserved = character.is_ascii_alphanumeric() || "-._~".contains(character);
    unreserved.then_some(character)
}
