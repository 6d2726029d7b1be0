//! Errors of commands and their exit codes.

use quick_error::quick_error;
use std::io;
use std::process::ExitCode;

quick_error! {
    /// Why a command failed.
    #[derive(Debug)]
    pub enum Error {
        /// The command line is invalid.
        Usage(cause: String) {
            display("{}", cause)
        }
        /// A settings, release note or job file is invalid.
        File(cause: settings::Error) {
            display("{}", cause)
            source(cause)
            from()
        }
        /// A call to an entry host failed.
        Call(cause: client::Error) {
            display("{}", cause)
            source(cause)
            from()
        }
        /// The cell refused.
        Refused(cause: String) {
            display("{}", cause)
        }
        /// It is not known whether the command was carried out.
        Unknown(cause: String) {
            display("{}", cause)
        }
        /// A configuration is invalid: the file or host that it comes from, and the cause.
        Configuration(origin: String, cause: String) {
            display("{}: {}", origin, cause)
        }
        /// A configuration is valid, but this many of its entries can hardly be meant.
        Findings(count: usize) {
            display("findings: {}", count)
        }
        /// A file can't be read or written.
        Io(path: String, cause: io::Error) {
            display("{}: {}", path, cause)
            source(cause)
        }
    }
}

/// Category of an [`Error`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ErrorKind {
    /// The cell refused, or a check has found something.
    Refused,
    /// The command line or a file is invalid, or a file can't be read or written.
    Usage,
    /// No entry host could be reached; nothing was done.
    Unreachable,
    /// The command may or may not have been carried out.
    Unknown,
}

impl Error {
    /// Returns the category of the error.
    pub fn kind(&self) -> ErrorKind {
        match self {
            Error::Usage(_) | Error::File(_) | Error::Io(..) | Error::Configuration(..) => {
                ErrorKind::Usage
            }
            Error::Refused(_) | Error::Findings(_) => ErrorKind::Refused,
            Error::Unknown(_) => ErrorKind::Unknown,
            Error::Call(e) => match e.kind() {
                client::ErrorKind::Refused => ErrorKind::Refused,
                client::ErrorKind::Unreachable => ErrorKind::Unreachable,
                client::ErrorKind::Unknown => ErrorKind::Unknown,
            },
        }
    }

    /// Returns the exit code of the process: 1 for [`ErrorKind::Refused`], 2 for
    /// [`ErrorKind::Usage`], 3 for [`ErrorKind::Unreachable`], 4 for [`ErrorKind::Unknown`].
    pub fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self.kind() {
            ErrorKind::Refused => 1,
            ErrorKind::Usage => 2,
            ErrorKind::Unreachable => 3,
            ErrorKind::Unknown => 4,
        })
    }
}
