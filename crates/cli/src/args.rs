//! Definition of the command line, with its help texts.

use clap::{Arg, ArgAction, Command};
use std::path::PathBuf;

const EXAMPLES: &str = "Examples:
  ebonywalk settings check host.yaml
  ebonywalk config check queues.json --against 10.1.0.24:8749
  ebonywalk release diff release.yaml
  ebonywalk release apply release.yaml
  ebonywalk submit job.yaml
  ebonywalk explain planning/nightly-sync
  ebonywalk status
  ebonywalk report burn --html burn.html

Entry hosts are taken from --operators or EBONYWALK_OPERATORS (separated by commas; the first
that can be reached is used), the token from --token or EBONYWALK_TOKEN.

Exit codes: 0 done, 1 refused, 2 wrong command line or file, 3 no entry host reached (nothing was
done), 4 outcome unknown (run the same command again).";

/// Returns the definition of the whole command line.
pub(crate) fn command() -> Command {
    Command::new("ebonywalk")
        .version(clap::crate_version!())
        .about("Operates an ebonywalk cell")
        .after_help(EXAMPLES)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .arg(global(
            "operators",
            "ADDR",
            "Operators' addresses of entry hosts, separated by commas",
        ))
        .arg(global("token", "TOKEN", "The operators' token"))
        .arg(
            global("output", "FORMAT", "Output format: text or json")
                .value_parser(["text", "json"]),
        )
        .subcommand(settings())
        .subcommand(config())
        .subcommand(release())
        .subcommand(
            Command::new("job").about("Work with job files").subcommand_required(true).subcommand(
                Command::new("check")
                    .about("Check a job file without an entry host")
                    .arg(file("The job")),
            ),
        )
        .subcommand(
            Command::new("submit")
                .about(
                    "Submit a job from a YAML file; submitting the same file again changes nothing",
                )
                .arg(file("The job")),
        )
        .subcommand(Command::new("cancel").about("Cancel a submitted job").arg(job()))
        .subcommand(
            Command::new("explain").about("Show the state of a job and why it waits").arg(job()),
        )
        .subcommand(Command::new("jobs").about("List the jobs of all zones"))
        .subcommand(Command::new("workers").about("List the workers of all zones"))
        .subcommand(drain())
        .subcommand(
            Command::new("status")
                .about("Show the state of the cell as seen by every entry host given"),
        )
        .subcommand(Command::new("members").about("Show the members of the replicated groups"))
        .subcommand(report())
}

fn global(name: &'static str, value: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).value_name(value).global(true).help(help)
}

fn file(help: &'static str) -> Arg {
    Arg::new("file")
        .value_name("FILE")
        .required(true)
        .value_parser(clap::value_parser!(PathBuf))
        .help(help)
}

fn job() -> Arg {
    Arg::new("job").value_name("TEAM/NAME").required(true).help("The job")
}

fn settings() -> Command {
    Command::new("settings")
        .about("Work with settings files of entry hosts")
        .subcommand_required(true)
        .subcommand(
            Command::new("check")
                .about("Check a settings file and print the settings with defaults")
                .arg(file("The settings")),
        )
}

fn config() -> Command {
    let against = Arg::new("against").long("against").value_name("HOST|FILE").help(
        "Show what differs from the version in force on this host (ip:port), or from this file",
    );
    Command::new("config")
        .about("Work with configurations of queues, services and client accounts")
        .subcommand_required(true)
        .subcommand(
            Command::new("check")
                .about("Check a configuration before it is sent")
                .after_help("Exit codes: 0 nothing found, 1 findings, 2 invalid or can't be read.")
                .arg(file("The configuration, as it is sent"))
                .arg(against),
        )
}

fn release() -> Command {
    let request = Arg::new("request").long("request").value_name("ID").help(
        "Id of this request; the same id sent again gets the same answer [default: digest of file]",
    );
    Command::new("release")
        .about("Work with the release")
        .subcommand_required(true)
        .subcommand(
            Command::new("check")
                .about("Check a release note without an entry host")
                .arg(file("The release note")),
        )
        .subcommand(
            Command::new("diff")
                .about("Show what a release note would change")
                .arg(file("The release note")),
        )
        .subcommand(
            Command::new("apply")
                .about("Apply a release note, and show where it is in force")
                .arg(file("The release note"))
                .arg(request),
        )
        .subcommand(Command::new("show").about("Show the release in force"))
}

fn drain() -> Command {
    let undo = Arg::new("undo")
        .long("undo")
        .action(ArgAction::SetTrue)
        .help("Assign work to the worker again");
    let zone = Arg::new("zone").value_name("ZONE").required(true).help("The worker's zone");
    Command::new("drain")
        .about("Drain a worker or an entry host")
        .subcommand_required(true)
        .subcommand(
            Command::new("worker")
                .about("Let a worker finish its runs without assigning new ones")
                .arg(zone)
                .arg(Arg::new("worker").value_name("WORKER").required(true).help("The worker"))
                .arg(undo),
        )
        .subcommand(
            Command::new("host").about("Stop the first entry host of --operators gracefully"),
        )
}

fn report() -> Command {
    let html = Arg::new("html")
        .long("html")
        .value_name("FILE")
        .value_parser(clap::value_parser!(PathBuf))
        .help("Also write an HTML page with plots");
    Command::new("report").about("Write reports").subcommand_required(true).subcommand(
        Command::new("burn")
            .about("Report how fast each service uses up its error budget")
            .arg(html),
    )
}
