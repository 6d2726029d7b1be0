//! Parses the command line and runs the command.

use crate::args::command;
use crate::output::Format;
use crate::target::Target;
use crate::{burn, config, jobs, release, status, Error};
use async_std::task::block_on;
use clap::ArgMatches;
use settings::Settings;
use std::ffi::OsString;
use std::path::{Path, PathBuf};

/// Runs `ebonywalk` with these command-line arguments.
pub fn run<I>(args: I) -> Result<(), Error>
where
    I: IntoIterator<Item = OsString>,
{
    let matches = match command().try_get_matches_from(args) {
        Ok(matches) => matches,
        Err(e) if !e.use_stderr() => {
            let _ = e.print();
            return Ok(());
        }
        Err(e) => return Err(Error::Usage(e.to_string())),
    };
    let (name, sub) = matches.subcommand().expect("a subcommand is required");
    block_on(dispatch(name, sub))
}

/// Context of a command: where to send calls, and how to print.
pub(crate) struct Context {
    pub(crate) target: Target,
    pub(crate) format: Format,
}

async fn dispatch(name: &str, matches: &ArgMatches) -> Result<(), Error> {
    let nested = matches.subcommand().map(|(name, sub)| (name.to_string(), sub));
    let innermost = nested.as_ref().map_or(matches, |(_, sub)| sub);
    let is_json = innermost.get_one::<String>("output").is_some_and(|format| format == "json");
    let format = if is_json { Format::Json } else { Format::Text };
    let cx = Context { target: Target::from_matches(innermost), format };
    let nested_name = nested.as_ref().map_or("", |(name, _)| name.as_str());
    match (name, nested_name) {
        ("settings", _) => check_settings(file(innermost)),
        ("config", _) => {
            let against = innermost.get_one::<String>("against");
            config::check(&cx, file(innermost), against.map(String::as_str)).await
        }
        ("release", "check") => release::check(&cx, file(innermost)),
        ("release", "diff") => release::diff(&cx, file(innermost)).await,
        ("release", "apply") => {
            release::apply(&cx, file(innermost), innermost.get_one::<String>("request")).await
        }
        ("release", _) => release::show(&cx).await,
        ("job", _) => jobs::check(&cx, file(innermost)),
        ("submit", _) => jobs::submit(&cx, file(innermost)).await,
        ("cancel", _) => jobs::cancel(&cx, text(innermost, "job")).await,
        ("explain", _) => jobs::explain(&cx, text(innermost, "job")).await,
        ("jobs", _) => jobs::list(&cx).await,
        ("workers", _) => jobs::workers(&cx).await,
        ("drain", "worker") => {
            let draining = !innermost.get_flag("undo");
            jobs::drain_worker(&cx, text(innermost, "zone"), text(innermost, "worker"), draining)
                .await
        }
        ("drain", _) => status::drain_host(&cx).await,
        ("status", _) => status::show(&cx).await,
        ("members", _) => status::members(&cx).await,
        _ => burn::report(&cx, innermost.get_one::<PathBuf>("html")).await,
    }
}

fn file(matches: &ArgMatches) -> &Path {
    matches.get_one::<PathBuf>("file").expect("the file is required")
}

fn text<'a>(matches: &'a ArgMatches, name: &str) -> &'a str {
    matches.get_one::<String>(name).expect("the argument is required")
}

fn check_settings(path: &Path) -> Result<(), Error> {
    let settings = Settings::read(path)?;
    print!("{}", settings.to_yaml());
    Ok(())
}
