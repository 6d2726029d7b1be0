//! Errors of the data directory.

use quick_error::quick_error;
use std::io;
use std::path::{Path, PathBuf};

quick_error! {
    /// Why the data directory cannot be used. After any of these errors nothing more is written.
    #[derive(Debug)]
    pub enum Error {
        /// A file operation failed.
        Io(path: PathBuf, operation: &'static str, cause: io::Error) {
            display("{}: {} failed: {}", path.display(), operation, cause)
            source(cause)
        }
        /// The contents of a file are damaged at a byte offset.
        Corrupt(path: PathBuf, offset: u64, cause: String) {
            display("{}: damaged at byte {}: {}", path.display(), offset, cause)
        }
        /// Another process has locked the data directory.
        Locked(path: PathBuf) {
            display("{}: another process uses this data directory", path.display())
        }
        /// The data directory belongs to another entry host.
        WrongOwner(path: PathBuf, has: String, wanted: String) {
            display("{}: belongs to {}, not to {}", path.display(), has, wanted)
        }
    }
}

/// The kind of an [`Error`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ErrorKind {
    /// A file operation failed; the disk may be full or faulty.
    Io,
    /// The contents are damaged. Wipe the data directory and let the host join again.
    Corrupt,
    /// The data directory is intact, but is in use or belongs to another host: the settings or
    /// the way the process was started are wrong.
    Usage,
}

impl Error {
    /// The kind of this error.
    pub fn kind(&self) -> ErrorKind {
        match self {
            Error::Io(..) => ErrorKind::Io,
            Error::Corrupt(..) => ErrorKind::Corrupt,
            Error::Locked(..) | Error::WrongOwner(..) => ErrorKind::Usage,
        }
    }

    /// Returns a function that adds a path and the failed operation to an I/O error.
    pub(crate) fn io<'a>(
        path: &'a Path,
        operation: &'static str,
    ) -> impl FnOnce(io::Error) -> Error + 'a {
        move |cause| Error::Io(path.to_path_buf(), operation, cause)
    }
}
