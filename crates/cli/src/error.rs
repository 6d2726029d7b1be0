//! Errors of the command line, and their exit codes.

use quick_error::quick_error;
use std::io;
use std::process::ExitCode;

quick_error! {
    /// Why a command failed.
    #[derive(Debug)]
    pub enum Error {
        /// The command line is wrong.
        Usage(cause: String) {
            display("{}", cause)
        }
        /// A file is wrong.
        File(cause: settings::Error) {
            display("{}", cause)
            source(cause)
            from()
        }
        /// A call failed.
        Call(cause: client::Error) {
            display("{}", cause)
            source(cause)
            from()
        }
        /// The cell refused.
        Refused(cause: String) {
            display("{}", cause)
        }
        /// Nobody knows yet whether it was done.
        Unknown(cause: String) {
            display("{}", cause)
        }
        /// A file can't be read or written.
        Io(path: String, cause: io::Error) {
            display("{}: {}", path, cause)
            source(cause)
        }
    }
}

/// The sort of an [`Error`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ErrorKind {
    /// The cell refused.
    Refused,
    /// The command line or a file is wrong.
    Usage,
    /// No entry host could be reached; nothing was done.
    Unreachable,
    /// It may or may not have been done.
    Unknown,
}

impl Error {
    /// The sort of error.
    pub fn kind(&self) -> ErrorKind {
        match self {
            Error::Usage(_) | Error::File(_) | Error::Io(..) => ErrorKind::Usage,
            Error::Refused(_) => ErrorKind::Refused,
            Error::Unknown(_) => ErrorKind::Unknown,
            Error::Call(e) => match e.kind() {
                client::ErrorKind::Refused => ErrorKind::Refused,
                client::ErrorKind::Unreachable => ErrorKind::Unreachable,
                client::ErrorKind::Unknown => ErrorKind::Unknown,
            },
        }
    }

    /// The exit code of the process.
    pub fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self.kind() {
            ErrorKind::Refused => 1,
            ErrorKind::Usage => 2,
            ErrorKind::Unreachable => 3,
            ErrorKind::Unknown => 4,
        })
    }
}
