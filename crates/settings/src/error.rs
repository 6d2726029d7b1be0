//! Errors of settings and release notes.

use crate::lines;
use quick_error::quick_error;
use serde::de::DeserializeOwned;
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

    fn syntax(
        file: &str,
        text: &str,
        error: serde_path_to_error::Error<serde_yaml_ng::Error>,
    ) -> Error {
        let path = error.path().to_string();
        let cause = error.into_inner();
        // Where a value was read but is wrong, YAML gives the place of the whole document.
        let line = match cause.location() {
            Some(at) if path == "." || at.line() > 1 => at.line(),
            _ => lines::line_of(text, &path),
        };
        let words = cause.to_string();
        let words = words.split(" at line ").next().unwrap_or(&words);
        let named = path == "." || words.starts_with(&path);
        let cause = if named { words.to_string() } else { format!("{path}: {words}") };
        Error::Syntax(file.to_string(), line, cause)
    }

    /// `cause` starts with the path of the field, as in `hosts[1].zone: must not be empty`.
    pub(crate) fn field(file: &str, text: &str, cause: String) -> Error {
        let path = cause.split(':').next().unwrap_or_default();
        let line = lines::line_of(text, path);
        Error::Field(file.to_string(), line, cause)
    }
}

/// Parses YAML; an error names the field and its line.
pub(crate) fn from_yaml<T>(file: &str, text: &str) -> Result<T, Error>
where
    T: DeserializeOwned,
{
    let yaml = serde_yaml_ng::Deserializer::from_str(text);
    serde_path_to_error::deserialize(yaml).map_err(|e| Error::syntax(file, text, e))
}
