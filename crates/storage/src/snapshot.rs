//! The snapshot file of a group.

use crate::data_dir::replace_file;
use crate::frame::{self, Frame};
use crate::{Error, Files};
use consensus::Snapshot;
use std::path::Path;

/// Reads the snapshot at `path`, or returns `None` if the file does not exist.
pub(crate) fn read(files: &Files, path: &Path) -> Result<Option<Snapshot>, Error> {
    let buf = (files.read)(path).map_err(Error::io(path, "reading the snapshot"))?;
    let Some(buf) = buf else { return Ok(None) };
    match frame::decode(&buf) {
        Frame::Complete(snapshot, _) => Ok(Some(snapshot)),
        Frame::Corrupt(cause) => Err(Error::Corrupt(path.to_path_buf(), 0, cause)),
        // The file is renamed into place only when complete, so this is damage and not an
        // interrupted write.
        Frame::End | Frame::Torn => {
            Err(Error::Corrupt(path.to_path_buf(), 0, "the snapshot is incomplete".to_string()))
        }
    }
}

/// Atomically replaces the snapshot at `path`. It is durable when this function returns.
pub(crate) fn write(files: &Files, path: &Path, snapshot: &Snapshot) -> Result<(), Error> {
    replace_file(files, path, [frame::encode(snapshot)]).map(drop)
}
