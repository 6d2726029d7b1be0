//! The file operations that a data directory is made of.

use std::fmt;
use std::fs::{self, File};
use std::io::{self, Write};
use std::path::Path;
use std::sync::Arc;

type PathFn<T> = Box<dyn Fn(&Path) -> io::Result<T> + Send + Sync>;
type RenameFn = Box<dyn Fn(&Path, &Path) -> io::Result<()> + Send + Sync>;
type AppendFn = Box<dyn FnMut(&[u8]) -> io::Result<()> + Send>;

/// File operations. Tests replace those of the operating system by a simulated disk.
pub struct Files {
    /// Creates a directory in an existing one. Fails if it exists.
    pub create_dir: PathFn<()>,
    /// Returns the names in a directory.
    pub list: PathFn<Vec<String>>,
    /// Returns the contents of a file, or `None` if it does not exist.
    pub read: PathFn<Option<Vec<u8>>>,
    /// Creates a file, or empties it if it exists.
    pub create: PathFn<OpenFile>,
    /// Gives the first path's file the second path, whose file it replaces.
    pub rename: RenameFn,
    /// Removes a file.
    pub remove: PathFn<()>,
    /// Makes created, renamed and removed names of a directory durable.
    pub sync_dir: PathFn<()>,
}

/// A file that is written from its start on.
pub struct OpenFile {
    /// Appends bytes.
    pub append: AppendFn,
    /// Makes what was appended durable.
    pub sync: Box<dyn FnMut() -> io::Result<()> + Send>,
}

impl Files {
    /// The file operations of the operating system.
    ///
    /// ```
    /// # let tmp = tempfile::tempdir().unwrap();
    /// let files = storage::Files::of_system();
    /// let mut file = (files.create)(&tmp.path().join("a")).unwrap();
    /// (file.append)(b"text").unwrap();
    /// (file.sync)().unwrap();
    /// (files.sync_dir)(tmp.path()).unwrap();
    /// assert_eq!((files.read)(&tmp.path().join("a")).unwrap().unwrap(), b"text");
    /// assert_eq!((files.read)(&tmp.path().join("b")).unwrap(), None);
    /// ```
    pub fn of_system() -> Files {
        Files {
            create_dir: Box::new(|path| fs::create_dir(path)),
            list: Box::new(list),
            read: Box::new(read),
            create: Box::new(|path| File::create(path).map(OpenFile::of_system)),
            rename: Box::new(|from, to| fs::rename(from, to)),
            remove: Box::new(|path| fs::remove_file(path)),
            sync_dir: Box::new(|path| File::open(path)?.sync_all()),
        }
    }
}

impl OpenFile {
    fn of_system(file: File) -> OpenFile {
        let file = Arc::new(file);
        let synced = file.clone();
        OpenFile {
            append: Box::new(move |buf| (&*file).write_all(buf)),
            sync: Box::new(move || synced.sync_data()),
        }
    }
}

impl fmt::Debug for Files {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Files").finish_non_exhaustive()
    }
}

fn list(dir: &Path) -> io::Result<Vec<String>> {
    let names = fs::read_dir(dir)?.map(|item| Ok(item?.file_name().to_string_lossy().into_owned()));
    names.collect()
}

fn read(path: &Path) -> io::Result<Option<Vec<u8>>> {
    match fs::read(path) {
        Ok(buf) => Ok(Some(buf)),
        Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(e) => Err(e),
    }
}
