//! Release notes as files.

use crate::error::from_yaml;
use crate::Error;
use sha2::{Digest, Sha256};
use std::fs;
use std::path::Path;
use types::{JobSpec, ReleaseNote};

/// Reads and checks a release note.
pub fn parse_note_file(path: &Path) -> Result<ReleaseNote, Error> {
    let file = path.display().to_string();
    let text = fs::read_to_string(path).map_err(|e| Error::Read(file.clone(), e))?;
    parse_note(&file, &text)
}

/// Parses and checks a release note; `file` is for errors.
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

/// Reads and checks a job as it is submitted.
pub fn parse_job_file(path: &Path) -> Result<JobSpec, Error> {
    let file = path.display().to_string();
    let text = fs::read_to_string(path).map_err(|e| Error::Read(file.clone(), e))?;
    parse_job(&file, &text)
}

/// Parses and checks a job; `file` is for errors.
pub fn parse_job(file: &str, text: &str) -> Result<JobSpec, Error> {
    let spec: JobSpec = from_yaml(file, text)?;
    spec.check().map_err(|cause| Error::field(file, text, cause))?;
    Ok(spec)
}

/// SHA-256 of some bytes, in hex.
///
/// ```
/// assert!(settings::sha256_hex(b"").starts_with("e3b0c442"));
/// ```
pub fn sha256_hex(bytes: &[u8]) -> String {
    Sha256::digest(bytes).iter().map(|b| format!("{b:02x}")).collect()
}
