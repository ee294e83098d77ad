//! Path of the field that a line of YAML belongs to.

/// Returns the path of the field on `line` (starting at 1), such as
/// `routes[2].service`, or `.` if the line belongs to no field.
///
/// The path is derived from the indentation of YAML's block style. Inside flow
/// style it is the path of the enclosing block field.
pub fn at_line(text: &str, line: u64) -> String {
    let Some(last) = usize::try_from(line).ok().filter(|line| *line > 0) else {
        return ".".to_owned();
    };
    let lines: Vec<&str> = text.lines().take(last).collect();
    let mut parts = Vec::new();
    // The dashes of a list may be in the same column as the list's key, so keys
    // and dashes have separate column limits.
    let mut dash_limit = usize::MAX;
    let mut key_limit = usize::MAX;
    for index in (0..lines.len()).rev() {
        let Some(entry) = Entry::parse(lines[index]) else {
            continue;
        };
        if let Some(key) = entry.key
            && entry.key_column < key_limit
        {
            parts.push(format!(".{key}"));
            key_limit = entry.key_column;
            dash_limit = entry.key_column;
        }
        if let Some(dash_column) = entry.dash_column
            && dash_column < dash_limit
        {
            parts.push(format!("[{}]", item_index(&lines[..index], dash_column)));
            dash_limit = dash_column;
            key_limit = dash_column + 1;
        }
        if key_limit == 0 {
            break;
        }
    }
    parts.reverse();
    let path = parts.concat();
    if path.is_empty() {
        return ".".to_owned();
    }
    path.trim_start_matches('.').to_owned()
}

struct Entry<'a> {
    dash_column: Option<usize>,
    key: Option<&'a str>,
    key_column: usize,
}

impl<'a> Entry<'a> {
    fn parse(line: &'a str) -> Option<Self> {
        let trimmed = line.trim_start();
        if trimmed.is_empty() || trimmed.starts_with('#') {
            return None;
        }
        let indent = line.len() - trimmed.len();
        let (dash_column, rest) = match trimmed.strip_prefix("- ") {
            Some(rest) => (Some(indent), rest),
            None => (None, trimmed),
        };
        let after_dash = rest.trim_start();
        let key_column = line.len() - after_dash.len();
        let key = after_dash
            .split_once(':')
            .map(|(key, _)| key.trim().trim_matches('"'))
            .filter(|key| !key.contains(['{', '[', ' ']));
        Some(Self {
            dash_column,
            key,
            key_column,
        })
    }
}

fn item_index(lines_before: &[&str], dash_column: usize) -> usize {
    lines_before
        .iter()
        .rev()
        .filter_map(|line| Entry::parse(line))
        .take_while(|entry| {
            entry.dash_column == Some(dash_column) || entry.key_column > dash_column
        })
        .filter(|entry| entry.dash_column == Some(dash_column))
        .count()
}
