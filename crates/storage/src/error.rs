//! Errors of the data folder.

use quick_error::quick_error;
use std::io;
use std::path::{Path, PathBuf};

quick_error! {
    /// Why the data folder can't be used. After any of these nothing more is written.
    #[derive(Debug)]
    pub enum Error {
        /// The operating system refused.
        Io(path: PathBuf, doing: &'static str, cause: io::Error) {
            display("{}: {} failed: {}", path.display(), doing, cause)
            source(cause)
        }
        /// The contents are not what was written.
        Corrupt(path: PathBuf, offset: u64, cause: String) {
            display("{}: damaged at byte {}: {}", path.display(), offset, cause)
        }
        /// Another process has the folder.
        Locked(path: PathBuf) {
            display("{}: another process uses this data folder", path.display())
        }
        /// The folder belongs to another entry host.
        WrongOwner(path: PathBuf, has: String, wanted: String) {
            display("{}: belongs to {}, not to {}", path.display(), has, wanted)
        }
    }
}

/// The sort of an [`Error`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ErrorKind {
    /// The operating system refused; the disk may be full or broken.
    Io,
    /// The contents are damaged: wipe the folder and let the host join again.
    Corrupt,
    /// The settings or the start-up are wrong, not the folder.
    Usage,
}

impl Error {
    /// The sort of error.
    pub fn kind(&self) -> ErrorKind {
        match self {
            Error::Io(..) => ErrorKind::Io,
            Error::Corrupt(..) => ErrorKind::Corrupt,
            Error::Locked(..) | Error::WrongOwner(..) => ErrorKind::Usage,
        }
    }

    pub(crate) fn io<'a>(
        path: &'a Path,
        doing: &'static str,
    ) -> impl FnOnce(io::Error) -> Error + 'a {
        move |cause| Error::Io(path.to_path_buf(), doing, cause)
    }
}
