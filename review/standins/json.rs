//! Cuts members out of JSON text. The stand-ins store and compare them as text.

/// Returns the text of an object's member; `None` if it is missing.
pub fn member<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let inner = text.trim().strip_prefix('{')?.strip_suffix('}')?;
    let quoted = format!("\"{name}\"");
    parts(inner).into_iter().find_map(|part| {
        let rest = part.trim().strip_prefix(quoted.as_str())?;
        Some(rest.trim_start().strip_prefix(':')?.trim())
    })
}

/// Returns a member that is a string without escapes.
pub fn string(text: &str, name: &str) -> Option<String> {
    Some(member(text, name)?.trim_matches('"').to_owned())
}

/// Splits a text at the commas that are in no brackets and no string.
fn parts(text: &str) -> Vec<&str> {
    let (mut parts, mut start, mut depth) = (Vec::new(), 0, 0);
    let (mut is_string, mut is_escaped) = (false, false);
    for (at, byte) in text.bytes().enumerate() {
        match byte {
            _ if is_escaped => is_escaped = false,
            b'\\' if is_string => is_escaped = true,
            b'"' => is_string = !is_string,
            b'[' | b'{' if !is_string => depth += 1,
            b']' | b'}' if !is_string => depth -= 1,
            b',' if depth == 0 && !is_string => {
                parts.push(&text[start..at]);
                start = at + 1;
            }
            _ => {}
        }
    }
    parts.push(&text[start..]);
    parts
}
