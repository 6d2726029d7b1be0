//! Release note and job files.

use crate::error::from_yaml;
use crate::Error;
use sha2::{Digest, Sha256};
use std::fs;
use std::path::Path;
use types::{JobSpec, ReleaseNote};

/// Reads and validates a release note file.
pub fn parse_note_file(path: &Path) -> Result<ReleaseNote, Error> {
    let file = path.display().to_string();
    let text = fs::read_to_string(path).map_err(|e| Error::Read(file.clone(), e))?;
    parse_note(&file, &text)
}

/// Parses and validates a release note. `file` is the name used in errors.
///
/// ```
/// let error = settings::parse_note("r.yaml", "base: 0\nwithdraw:\n  - nonsense\n").unwrap_err();
/// assert_eq!(
///     error.to_string(),
///     "r.yaml:3: withdraw[0]: `nonsense` is not a job; write team/name",
/// );
/// ```
pub fn parse_note(file: &str, text: &str) -> Result<ReleaseNote, Error> {
    let note: ReleaseNote = from_yaml(file, text)?;
    note.check().map_err(|cause| Error::field(file, text, cause))?;
    Ok(note)
}

/// Reads and validates a job file.
pub fn parse_job_file(path: &Path) -> Result<JobSpec, Error> {
    let file = path.display().to_string();
    let text = fs::read_to_string(path).map_err(|e| Error::Read(file.clone(), e))?;
    parse_job(&file, &text)
}

/// Parses and validates a job. `file` is the name used in errors.
pub fn parse_job(file: &str, text: &str) -> Result<JobSpec, Error> {
    let spec: JobSpec = from_yaml(file, text)?;
    spec.check().map_err(|cause| Error::field(file, text, cause))?;
    Ok(spec)
}

/// Returns the SHA-256 of `bytes` in lowercase hex.
///
/// ```
/// assert!(settings::sha256_hex(b"").starts_with("e3b0c442"));
/// ```
pub fn sha256_hex(bytes: &[u8]) -> String {
    Sha256::digest(bytes).iter().map(|b| format!("{b:02x}")).collect()
}
