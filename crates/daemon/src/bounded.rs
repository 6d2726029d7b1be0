//! An appender that writes log lines to standard output without blocking the process and within
//! bounds of rate and memory.
//!
//! Logging appends the line to a buffer, which a thread of its own writes out. If the reader of
//! standard output stops reading, only that thread blocks. Lines beyond the bounds are dropped,
//! counted by module, and the counts are logged.

use logforth::kv::{KeyView, ValueView, Visitor};
use logforth::record::{Level, Record};
use logforth::{Append, Diagnostic, Error};
use std::fmt::Write as _;
use std::io::Write as _;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, UNIX_EPOCH};
use types::SortedMap;

/// Most lines per second below level `Warn`.
const LINES_PER_SECOND: u32 = 1_500;
/// Most warnings and errors per second, in addition to the other lines.
const WARNINGS_PER_SECOND: u32 = 300;
/// Most bytes that wait to be written.
const MAX_BUFFERED_BYTES: usize = 256 << 10;
/// Pause between two writes, so that lines are written in batches.
const WRITE_INTERVAL: Duration = Duration::from_millis(250);

/// Lines that wait to be written, and the counts that limit them.
#[derive(Debug, Default)]
struct Buffer {
    bytes: Vec<u8>,
    /// Start of the second in which `lines` and `warnings` are counted; `None` before the first
    /// line.
    window_start: Option<Instant>,
    lines: u32,
    warnings: u32,
    /// Lines dropped since the last report, by module.
    dropped: SortedMap<String, u64>,
}

/// The buffer, shared by the loggers and the writing thread.
#[derive(Debug, Default)]
struct Shared {
    buffer: Mutex<Buffer>,
    not_empty: Condvar,
}

/// Appends log lines to standard output within the bounds of this module.
#[derive(Debug)]
pub(crate) struct BoundedStdout(Arc<Shared>);

impl BoundedStdout {
    /// Starts the thread that writes the buffer out.
    pub(crate) fn start() -> BoundedStdout {
        let shared: Arc<Shared> = Arc::default();
        let writer = shared.clone();
        thread::spawn(move || write_out(&writer, &mut std::io::stdout()));
        BoundedStdout(shared)
    }
}

/// Writes the buffer out in batches, forever.
fn write_out<W>(shared: &Shared, out: &mut W)
where
    W: std::io::Write,
{
    loop {
        let mut buffer = shared.buffer.lock().expect("lock is not poisoned");
        while buffer.bytes.is_empty() {
            buffer = shared.not_empty.wait(buffer).expect("lock is not poisoned");
        }
        let bytes = std::mem::take(&mut buffer.bytes);
        drop(buffer);
        // An error means that nobody reads standard output, so it can't be reported there.
        let _ = out.write_all(&bytes).and_then(|()| out.flush());
        thread::sleep(WRITE_INTERVAL);
    }
}

impl Buffer {
    /// Returns whether one more line of this length is within the bounds; counts it as dropped if
    /// not.
    fn try_admit(&mut self, level: Level, target: &str, length: usize) -> bool {
        let now = Instant::now();
        if self.window_start.is_none_or(|start| now - start >= Duration::from_secs(1)) {
            self.window_start = Some(now);
            (self.lines, self.warnings) = (0, 0);
            self.report_dropped();
        }
        let (count, limit) = if level >= Level::Warn {
            (&mut self.warnings, WARNINGS_PER_SECOND)
        } else {
            (&mut self.lines, LINES_PER_SECOND)
        };
        *count += 1;
        let admitted = *count <= limit && self.bytes.len() + length <= MAX_BUFFERED_BYTES;
        if !admitted {
            match self.dropped.get_mut(target) {
                Some(count) => *count += 1,
                None => drop(self.dropped.insert(target.to_string(), 1)),
            }
        }
        admitted
    }

    /// Appends a warning with the number of dropped lines by module, if there are any.
    fn report_dropped(&mut self) {
        if self.dropped.is_empty() {
            return;
        }
        let mut line = String::from("{\"level\":\"WARN\",\"message\":\"log lines were dropped\"");
        for (target, count) in std::mem::take(&mut self.dropped).iter() {
            // Writing to a string does not fail.
            let _ = write!(line, ",\"{target}\":{count}");
        }
        line.push_str("}\n");
        if self.bytes.len() + line.len() <= MAX_BUFFERED_BYTES {
            self.bytes.extend_from_slice(line.as_bytes());
        }
    }
}

/// Appends the fields of a record to a line as JSON members.
struct Fields<'a>(&'a mut String);

impl Visitor for Fields<'_> {
    fn visit(&mut self, key: KeyView<'_>, value: ValueView<'_>) -> Result<(), Error> {
        self.0.push_str(",\"");
        self.0.push_str(key.as_str());
        self.0.push_str("\":");
        if let Some(number) = value.to_u64() {
            let _ = write!(self.0, "{number}");
        } else if let Some(flag) = value.to_bool() {
            let _ = write!(self.0, "{flag}");
        } else {
            push_json_string(self.0, &value.to_string());
        }
        Ok(())
    }
}

/// Appends a JSON string, quoted and escaped.
fn push_json_string(line: &mut String, text: &str) {
    line.push('"');
    for c in text.chars() {
        match c {
            '"' => line.push_str("\\\""),
            '\\' => line.push_str("\\\\"),
            c if c.is_control() => {
                let _ = write!(line, "\\u{:04x}", u32::from(c));
            }
            c => line.push(c),
        }
    }
    line.push('"');
}

/// Formats a record as one line of JSON.
fn format_line(record: &Record<'_>) -> Result<String, Error> {
    let since_epoch = record.time().duration_since(UNIX_EPOCH).unwrap_or_default();
    let mut line = String::with_capacity(192);
    let (level, target) = (record.level().name(), record.target());
    let _ = write!(
        line,
        "{{\"at_ms\":{},\"level\":\"{level}\",\"target\":\"{target}\",\"message\":",
        since_epoch.as_millis()
    );
    push_json_string(&mut line, &record.payload().to_string());
    record.key_values().visit(&mut Fields(&mut line))?;
    line.push_str("}\n");
    Ok(line)
}

impl Append for BoundedStdout {
    fn append(&self, record: &Record<'_>, _: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        let line = format_line(record)?;
        let mut buffer = self.0.buffer.lock().expect("lock is not poisoned");
        if buffer.try_admit(record.level(), record.target(), line.len()) {
            let was_empty = buffer.bytes.is_empty();
            buffer.bytes.extend_from_slice(line.as_bytes());
            if was_empty {
                self.0.not_empty.notify_one();
            }
        }
        Ok(())
    }

    fn flush(&self) -> Result<(), Error> {
        let mut buffer = self.0.buffer.lock().expect("lock is not poisoned");
        let bytes = std::mem::take(&mut buffer.bytes);
        drop(buffer);
        // As in `write_out`, an error can't be reported.
        let _ = std::io::stdout().write_all(&bytes);
        Ok(())
    }
}
