//! Text tables and JSON.

use serde::Serialize;

/// The form of what is printed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Format {
    Text,
    Json,
}

/// Prints a value as JSON.
pub(crate) fn print_json<T>(value: &T)
where
    T: Serialize,
{
    println!("{}", serde_json::to_string_pretty(value).expect("answers are plain data"));
}

/// Rows under a head, columns padded to their widest cell.
pub(crate) fn table(head: &[&str], rows: &[Vec<String>]) -> String {
    let width = |i: usize| {
        let cells = rows.iter().map(|row| row[i].chars().count());
        cells.chain([head[i].len()]).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..head.len()).map(width).collect();
    let line = |cells: Vec<&str>| {
        let padded = cells.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}"));
        let line: Vec<String> = padded.collect();
        format!("{}\n", line.join("  ").trim_end())
    };
    let mut out = line(head.to_vec());
    for row in rows {
        out.push_str(&line(row.iter().map(String::as_str).collect()));
    }
    out
}
