//! Structured logs to standard error.

use crate::bounded::BoundedStdout;
use logforth::append::Stderr;
use logforth::filter::rustlog::RustLogFilterBuilder;
use logforth::layout::{JsonLayout, TextLayout};
use settings::{LogFormat, LogSettings};

/// Libraries that log each message; they stay quiet unless settings name them.
const QUIET: [&str; 2] = ["tarpc=warn", "tide=warn"];

/// Starts logging as settings say.
pub(crate) fn start(settings: &LogSettings) {
    let modules = settings.modules.iter().map(|(module, level)| format!("{module}={level}"));
    let quiet = QUIET.iter().map(|directive| directive.to_string());
    let level = std::iter::once(settings.level.clone());
    let spec: Vec<String> = level.chain(quiet).chain(modules).collect();
    let filter = RustLogFilterBuilder::from_spec(spec.join(",")).build();
    let append = match settings.format {
        LogFormat::Text => Stderr::default().with_layout(TextLayout::default().no_color()),
        LogFormat::Json => Stderr::default().with_layout(JsonLayout::default()),
    };
    logforth::starter_log::builder().dispatch(|d| d.filter(filter).append(append)).apply();
}

/// Starts logging to standard output, a JSON object a line.
pub(crate) fn start_on_platform() {
    let spec = std::iter::once("info").chain(QUIET).collect::<Vec<_>>().join(",");
    let filter = RustLogFilterBuilder::from_spec(spec).build();
    let append = BoundedStdout::start();
    logforth::starter_log::builder().dispatch(|d| d.filter(filter).append(append)).apply();
}
