//! Prints the log lines of all hosts to standard error if `EBONYWALK_LOG` is set.

use log::kv::{Error, Key, Value, VisitSource};
use log::{LevelFilter, Log, Metadata, Record};
use std::fmt::Write;

struct Logger;

static LOGGER: Logger = Logger;

struct Fields(String);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        write!(self.0, " {key}={value}").map_err(Error::from)
    }
}

impl Log for Logger {
    fn enabled(&self, _metadata: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        let mut fields = Fields(String::new());
        match record.key_values().visit(&mut fields) {
            Ok(()) => eprintln!("    {} {}{}", record.target(), record.args(), fields.0),
            Err(e) => eprintln!("    {} {}: {e}", record.target(), record.args()),
        }
    }

    fn flush(&self) {}
}

pub(super) fn init() {
    // Fails after the first time.
    if std::env::var_os("EBONYWALK_LOG").is_some() && log::set_logger(&LOGGER).is_ok() {
        log::set_max_level(LevelFilter::Info);
    }
}
