//! Errors in settings, job and release note files.

use crate::lines;
use quick_error::quick_error;
use serde::de::DeserializeOwned;
use std::io;

quick_error! {
    /// Why a file can't be used. Lines are counted from 1.
    #[derive(Debug)]
    pub enum Error {
        /// The file can't be read.
        Read(file: String, cause: io::Error) {
            display("{}: {}", file, cause)
            source(cause)
        }
        /// The file is not valid YAML, or a field is unknown, missing or of the wrong type.
        Syntax(file: String, line: usize, cause: String) {
            display("{}:{}: {}", file, line, cause)
        }
        /// A field's value is invalid.
        Field(file: String, line: usize, cause: String) {
            display("{}:{}: {}", file, line, cause)
        }
    }
}

/// Category of an [`Error`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ErrorKind {
    /// The file can't be read.
    Read,
    /// The file's content is invalid.
    Content,
}

impl Error {
    /// Returns the category of the error.
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
        // For a value that parses but is rejected by its type, the YAML library reports line 1,
        // the start of the document. The line is then found from the field's path.
        let line = match cause.location() {
            Some(at) if path == "." || at.line() > 1 => at.line(),
            _ => lines::line_of(text, &path),
        };
        let message = cause.to_string();
        let message = message.split(" at line ").next().unwrap_or(&message);
        let has_path = path == "." || message.starts_with(&path);
        let cause = if has_path { message.to_string() } else { format!("{path}: {message}") };
        Error::Syntax(file.to_string(), line, cause)
    }

    /// Creates an [`Error::Field`]. `cause` starts with the path of the field, as in
    /// `hosts[1].zone: must not be empty`.
    pub(crate) fn field(file: &str, text: &str, cause: String) -> Error {
        let path = cause.split(':').next().unwrap_or_default();
        let line = lines::line_of(text, path);
        Error::Field(file.to_string(), line, cause)
    }
}

/// Parses YAML. An error states the field and its line.
pub(crate) fn from_yaml<T>(file: &str, text: &str) -> Result<T, Error>
where
    T: DeserializeOwned,
{
    let yaml = serde_yaml_ng::Deserializer::from_str(text);
    serde_path_to_error::deserialize(yaml).map_err(|e| Error::syntax(file, text, e))
}
