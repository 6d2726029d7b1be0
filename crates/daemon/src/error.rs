//! Errors that end the process.

use quick_error::quick_error;
use std::io;
use std::process::ExitCode;

quick_error! {
    /// Why the process ends.
    #[derive(Debug)]
    pub enum Error {
        /// The command line is wrong.
        Usage(cause: String) {
            display("{}", cause)
        }
        /// The settings are wrong.
        Settings(cause: settings::Error) {
            display("{}", cause)
            source(cause)
            from()
        }
        /// The data folder can't be used any more.
        Storage(cause: storage::Error) {
            display("{}", cause)
            source(cause)
            from()
        }
        /// An address can't be listened on.
        Listen(what: &'static str, addr: std::net::SocketAddr, cause: io::Error) {
            display("listen.{}: {}: {}", what, addr, cause)
            source(cause)
        }
        /// The inner port can't be listened on.
        Peers(addr: std::net::SocketAddr, cause: wire::Error) {
            display("listen.peers: {}: {}", addr, cause)
            source(cause)
        }
        /// The process can't run on the platform.
        Platform(cause: platform::Error) {
            display("{}", cause)
            source(cause)
            from()
        }
        /// The operating system refused something else.
        Io(cause: io::Error) {
            display("{}", cause)
            source(cause)
            from()
        }
    }
}

/// The sort of an [`Error`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ErrorKind {
    /// The command line or the settings.
    Usage,
    /// The data folder.
    Storage,
    /// Anything else.
    Running,
}

impl Error {
    /// The sort of error.
    pub fn kind(&self) -> ErrorKind {
        match self {
            Error::Usage(_) | Error::Settings(_) => ErrorKind::Usage,
            Error::Storage(_) => ErrorKind::Storage,
            Error::Listen(..) | Error::Peers(..) | Error::Platform(_) | Error::Io(_) => {
                ErrorKind::Running
            }
        }
    }

    /// The exit code of the process.
    pub fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self.kind() {
            ErrorKind::Running => 1,
            ErrorKind::Usage => 2,
            ErrorKind::Storage => 3,
        })
    }
}
