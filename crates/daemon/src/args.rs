//! The command line of `ebonywalkd`.

use crate::Error;
use clap::{Arg, ArgAction, ArgMatches, Command};
use settings::Settings;
use std::ffi::OsString;
use std::net::IpAddr;
use std::path::PathBuf;

/// The action selected by the command line.
pub(crate) enum Action {
    /// Run an entry host with these settings.
    Run(Box<Settings>),
    /// Run on the users' platform, with settings from the platform's own file.
    OnPlatform {
        /// Port on which metrics are served.
        metrics_port: u16,
        /// Address to listen on for other hosts; `None` for the address in the settings.
        bind_peers: Option<IpAddr>,
    },
    /// Print the settings in force and exit.
    PrintSettings(Box<Settings>),
    /// Exit; help or version has been printed.
    Nothing,
}

fn command() -> Command {
    Command::new("ebonywalkd")
        .version(clap::crate_version!())
        .about("Runs one entry host of an ebonywalk cell")
        .long_about(
            "Runs one entry host of an ebonywalk cell.\n\n\
             Without --settings it runs a cell of one host on loopback, with its state in ./data:\n\
             callers at 127.0.0.1:7400, workers and upstreams at 7401, operators at 7402.\n\
             SIGTERM or SIGINT stops it gracefully: it tells the balancer, finishes what is in\n\
             flight, transfers leadership and exits.",
        )
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .value_parser(clap::value_parser!(PathBuf))
                .help("Settings of this entry host, in YAML"),
        )
        .arg(
            Arg::new("print-settings")
                .long("print-settings")
                .action(ArgAction::SetTrue)
                .help("Print the settings in force, including defaults, and exit"),
        )
        .subcommand(
            Command::new("on-platform")
                .about("Runs one host on the users' platform, with the platform's settings file")
                .arg(
                    Arg::new("metrics-port")
                        .long("metrics-port")
                        .value_name("PORT")
                        .default_value("9464")
                        .value_parser(clap::value_parser!(u16))
                        .help("Port on which metrics are served"),
                )
                .arg(
                    Arg::new("bind-peers")
                        .long("bind-peers")
                        .value_name("IP")
                        .value_parser(clap::value_parser!(IpAddr))
                        .help("Listen for other hosts here, not on the address they connect to"),
                ),
        )
}

/// Parses the command line, and reads the settings file if one is given.
pub(crate) fn parse<I>(args: I) -> Result<Action, Error>
where
    I: IntoIterator<Item = OsString>,
{
    let matches = match command().try_get_matches_from(args) {
        Ok(matches) => matches,
        Err(e) if !e.use_stderr() => {
            let _ = e.print();
            return Ok(Action::Nothing);
        }
        Err(e) => return Err(Error::Usage(e.to_string())),
    };
    if let Some(("on-platform", sub)) = matches.subcommand() {
        let port = sub.get_one("metrics-port").copied().expect("the flag has a default");
        let bind_peers = sub.get_one("bind-peers").copied();
        return Ok(Action::OnPlatform { metrics_port: port, bind_peers });
    }
    let settings = Box::new(read_settings(&matches)?);
    Ok(if matches.get_flag("print-settings") {
        Action::PrintSettings(settings)
    } else {
        Action::Run(settings)
    })
}

fn read_settings(matches: &ArgMatches) -> Result<Settings, Error> {
    match matches.get_one::<PathBuf>("settings") {
        Some(path) => Ok(Settings::read(path)?),
        None => Ok(Settings::embedded()),
    }
}
