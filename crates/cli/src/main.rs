//! `ebonywalk`: the operators' command line.

use std::process::ExitCode;

fn main() -> ExitCode {
    match cli::run(std::env::args_os()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("ebonywalk: {e}");
            e.exit_code()
        }
    }
}
