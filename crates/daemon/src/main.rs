//! `ebonywalkd`: one entry host as a process.

use std::process::ExitCode;

fn main() -> ExitCode {
    match daemon::run(std::env::args_os()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("ebonywalkd: {e}");
            e.exit_code()
        }
    }
}
