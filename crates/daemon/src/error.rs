//! Errors that end the process.

use quick_error::quick_error;
use std::io;
use std::process::ExitCode;

quick_error! {
    /// Why the process exits with an error.
    #[derive(Debug)]
    pub enum Error {
        /// The command line is invalid.
        Usage(cause: String) {
            display("{}", cause)
        }
        /// The settings are invalid.
        Settings(cause: settings::Error) {
            display("{}", cause)
            source(cause)
            from()
        }
        /// The data directory can't be opened, read or written.
        Storage(cause: storage::Error) {
            display("{}", cause)
            source(cause)
            from()
        }
        /// An HTTP address of the settings can't be listened on.
        Listen(what: &'static str, addr: std::net::SocketAddr, cause: io::Error) {
            display("listen.{}: {}: {}", what, addr, cause)
            source(cause)
        }
        /// The address for peers can't be listened on.
        Peers(addr: std::net::SocketAddr, cause: wire::Error) {
            display("listen.peers: {}: {}", addr, cause)
            source(cause)
        }
        /// The process failed on the users' platform.
        Platform(cause: platform::Error) {
            display("{}", cause)
            source(cause)
            from()
        }
        /// Another system call failed, or a thread panicked.
        Io(cause: io::Error) {
            display("{}", cause)
            source(cause)
            from()
        }
    }
}

/// Category of an [`Error`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ErrorKind {
    /// The command line or the settings are invalid.
    Usage,
    /// The data directory is unusable.
    Storage,
    /// A failure while the process was starting or running.
    Running,
}

impl Error {
    /// Returns the category of the error.
    pub fn kind(&self) -> ErrorKind {
        match self {
            Error::Usage(_) | Error::Settings(_) => ErrorKind::Usage,
            Error::Storage(_) => ErrorKind::Storage,
            Error::Listen(..) | Error::Peers(..) | Error::Platform(_) | Error::Io(_) => {
                ErrorKind::Running
            }
        }
    }

    /// Returns the exit code of the process: 1 for [`ErrorKind::Running`], 2 for
    /// [`ErrorKind::Usage`], 3 for [`ErrorKind::Storage`].
    pub fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self.kind() {
            ErrorKind::Running => 1,
            ErrorKind::Usage => 2,
            ErrorKind::Storage => 3,
        })
    }
}
