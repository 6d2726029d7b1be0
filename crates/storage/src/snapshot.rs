//! The snapshot file of a group.

use crate::data_dir::replace_file;
use crate::frame::{self, Frame};
use crate::Error;
use consensus::Snapshot;
use std::fs;
use std::path::Path;

/// Reads the snapshot at `path`, where there is one.
pub(crate) fn read(path: &Path) -> Result<Option<Snapshot>, Error> {
    if !path.exists() {
        return Ok(None);
    }
    let buf = fs::read(path).map_err(Error::io(path, "reading the snapshot"))?;
    match frame::decode(&buf) {
        Frame::Whole(snapshot, _) => Ok(Some(snapshot)),
        Frame::Damaged(cause) => Err(Error::Corrupt(path.to_path_buf(), 0, cause)),
        // The file is renamed into place only when whole, so this is not a cut-off write.
        Frame::End | Frame::Torn => {
            Err(Error::Corrupt(path.to_path_buf(), 0, "the snapshot is not whole".to_string()))
        }
    }
}

/// Replaces the snapshot at `path`.
pub(crate) fn write(path: &Path, snapshot: &Snapshot) -> Result<(), Error> {
    replace_file(path, &frame::encode(snapshot))
}
