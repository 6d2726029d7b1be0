//! Output as text tables or JSON.

use serde::Serialize;

/// Output format, from `--output`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Format {
    Text,
    Json,
}

/// Prints a value as indented JSON.
pub(crate) fn print_json<T>(value: &T)
where
    T: Serialize,
{
    println!("{}", serde_json::to_string_pretty(value).expect("answers are plain data"));
}

/// Formats rows under a header, with each column padded to its widest cell.
pub(crate) fn table(header: &[&str], rows: &[Vec<String>]) -> String {
    let width = |i: usize| {
        let cells = rows.iter().map(|row| row[i].chars().count());
        cells.chain([header[i].len()]).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..header.len()).map(width).collect();
    let line = |cells: Vec<&str>| {
        let padded = cells.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}"));
        let line: Vec<String> = padded.collect();
        format!("{}\n", line.join("  ").trim_end())
    };
    let mut out = line(header.to_vec());
    for row in rows {
        out.push_str(&line(row.iter().map(String::as_str).collect()));
    }
    out
}
