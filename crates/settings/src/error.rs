//! Errors of settings and release notes.

use crate::lines;
use quick_error::quick_error;
use std::io;

quick_error! {
    /// Why a file can't be used.
    #[derive(Debug)]
    pub enum Error {
        /// It can't be read.
        Read(file: String, cause: io::Error) {
            display("{}: {}", file, cause)
            source(cause)
        }
        /// It is not YAML of the expected shape.
        Syntax(file: String, line: usize, cause: String) {
            display("{}:{}: {}", file, line, cause)
        }
        /// A field has a value that can't be.
        Field(file: String, line: usize, cause: String) {
            display("{}:{}: {}", file, line, cause)
        }
    }
}

/// The sort of an [`Error`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ErrorKind {
    /// The file can't be read.
    Read,
    /// The file is wrong.
    Content,
}

impl Error {
    /// The sort of error.
    pub fn kind(&self) -> ErrorKind {
        match self {
            Error::Read(..) => ErrorKind::Read,
            Error::Syntax(..) | Error::Field(..) => ErrorKind::Content,
        }
    }

    pub(crate) fn syntax(file: &str, cause: serde_yaml_ng::Error) -> Error {
        let line = cause.location().map_or(1, |at| at.line());
        let text = cause.to_string();
        let text = text.split(" at line ").next().unwrap_or(&text).to_string();
        Error::Syntax(file.to_string(), line, text)
    }

    /// `cause` starts with the path of the field, as in `hosts[1].zone: must not be empty`.
    pub(crate) fn field(file: &str, text: &str, cause: String) -> Error {
        let path = cause.split(':').next().unwrap_or_default();
        let line = lines::line_of(text, path);
        Error::Field(file.to_string(), line, cause)
    }
}
