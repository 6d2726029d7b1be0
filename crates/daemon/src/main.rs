//! The `ebonywalkd` program, which runs one entry host.

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
