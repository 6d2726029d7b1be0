//! Structured logs, to standard error or, on the users' platform, to standard output.

use crate::bounded::BoundedStdout;
use logforth::append::Stderr;
use logforth::filter::rustlog::RustLogFilterBuilder;
use logforth::layout::{JsonLayout, TextLayout};
use settings::{LogFormat, LogSettings};

/// Levels of libraries that log every message. Settings that name the module override them.
const LIBRARY_LEVELS: [&str; 2] = ["tarpc=warn", "tide=warn"];

/// Starts logging to standard error in the format and at the levels of the settings.
pub(crate) fn start(settings: &LogSettings) {
    let modules = settings.modules.iter().map(|(module, level)| format!("{module}={level}"));
    let libraries = LIBRARY_LEVELS.iter().map(|directive| directive.to_string());
    let level = std::iter::once(settings.level.clone());
    let spec: Vec<String> = level.chain(libraries).chain(modules).collect();
    let filter = RustLogFilterBuilder::from_spec(spec.join(",")).build();
    let append = match settings.format {
        LogFormat::Text => Stderr::default().with_layout(TextLayout::default().no_color()),
        LogFormat::Json => Stderr::default().with_layout(JsonLayout::default()),
    };
    logforth::starter_log::builder().dispatch(|d| d.filter(filter).append(append)).apply();
}

/// Starts logging to standard output, one JSON object per line.
pub(crate) fn start_on_platform() {
    let spec = std::iter::once("info").chain(LIBRARY_LEVELS).collect::<Vec<_>>().join(",");
    let filter = RustLogFilterBuilder::from_spec(spec).build();
    let append = BoundedStdout::start();
    logforth::starter_log::builder().dispatch(|d| d.filter(filter).append(append)).apply();
}
