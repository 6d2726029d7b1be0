//! Finds the line of a field in YAML text, for errors found after parsing.

/// One component of a field's path: a key of a mapping or an index of a list.
enum Step<'a> {
    Key(&'a str),
    Item(usize),
}

/// Returns the line, counted from 1, of the field at `path` in block-style YAML, or that of the
/// nearest parent that can be found.
pub(crate) fn line_of(text: &str, path: &str) -> usize {
    let lines: Vec<&str> = text.lines().collect();
    let mut at = 0;
    let mut found = 1;
    for step in steps(path) {
        let next = match step {
            Step::Key(key) => find_key(&lines, at, key),
            Step::Item(index) => find_item(&lines, at + 1, index),
        };
        let Some(line) = next else { break };
        at = line;
        found = line + 1;
    }
    found
}

/// Splits a path such as `hosts[1].zone` into its components.
fn steps(path: &str) -> Vec<Step<'_>> {
    let mut out = Vec::new();
    for part in path.split('.') {
        let mut pieces = part.split('[');
        out.extend(pieces.next().filter(|key| !key.is_empty()).map(Step::Key));
        let index = |piece: &str| piece.trim_end_matches(']').parse().ok();
        out.extend(pieces.filter_map(index).map(Step::Item));
    }
    out
}

/// Returns the first line at or after `from` that contains `key`, at its start or in a flow
/// mapping.
fn find_key(lines: &[&str], from: usize, key: &str) -> Option<usize> {
    let has_key = |line: &&str| {
        let line = line.trim_start().trim_start_matches("- ").trim_start_matches('{');
        line.strip_prefix(key).is_some_and(|rest| rest.starts_with(':'))
            || line.contains(&format!(" {key}:"))
    };
    lines.iter().copied().skip(from).position(|line| has_key(&line)).map(|i| from + i)
}

/// Returns the line of item `index` of the first list at or after line `from`.
fn find_item(lines: &[&str], from: usize, index: usize) -> Option<usize> {
    let indent = |line: &str| line.len() - line.trim_start().len();
    let items = lines.iter().enumerate().skip(from);
    let items = items.filter(|(_, line)| line.trim_start().starts_with('-'));
    let depth = indent(items.clone().next()?.1);
    items.filter(|(_, line)| indent(line) == depth).nth(index).map(|(i, _)| i)
}
