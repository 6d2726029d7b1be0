//! A simulated disk, and what a kill or a power loss leaves of it.

use fastrand::Rng;
use std::collections::BTreeMap;
use std::io::{Error, ErrorKind, Result};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, MutexGuard};
use storage::{Files, OpenFile};

/// One file, with or without a name.
#[derive(Default)]
struct Content {
    /// What a process reads.
    bytes: Vec<u8>,
    /// What a sync has covered.
    durable: Vec<u8>,
    /// Later appends: from and to.
    pending: Vec<(usize, usize)>,
    /// Appends whose sync failed. Later syncs leave them out.
    dropped: Vec<(usize, usize)>,
}

#[derive(Clone, Copy, PartialEq)]
enum Node {
    Directory,
    File(usize),
}

struct Disk {
    contents: Vec<Content>,
    names: BTreeMap<PathBuf, Node>,
    durable_names: BTreeMap<PathBuf, Node>,
    /// Number of the running process. Files that an earlier one opened are closed.
    process: u64,
    /// Changes until the process is killed.
    changes_left: Option<u32>,
    /// One in so many syncs fails; none if 0.
    failing_syncs: u32,
    /// Whether the sync of a new file makes its name durable as well, as some file systems do.
    syncs_names: bool,
    rng: Rng,
}

/// A disk in memory. Clones are the same disk.
#[derive(Clone)]
pub(crate) struct SimDisk(Arc<Mutex<Disk>>);

fn not_found(path: &Path) -> Error {
    Error::new(ErrorKind::NotFound, format!("{} does not exist", path.display()))
}

fn killed() -> Error {
    Error::new(ErrorKind::Interrupted, "the process was killed")
}

fn parent(path: &Path) -> &Path {
    path.parent().expect("a simulated path has a parent directory")
}

impl SimDisk {
    /// A disk with the empty directory `/data`. `seed` decides what power losses keep.
    pub(crate) fn new(seed: u64) -> SimDisk {
        let names = ["/", "/data"].map(|path| (PathBuf::from(path), Node::Directory));
        let names = BTreeMap::from(names);
        let mut rng = Rng::with_seed(seed);
        SimDisk(Arc::new(Mutex::new(Disk {
            contents: Vec::new(),
            durable_names: names.clone(),
            names,
            process: 0,
            changes_left: None,
            failing_syncs: 0,
            syncs_names: rng.bool(),
            rng,
        })))
    }

    fn lock(&self) -> MutexGuard<'_, Disk> {
        self.0.lock().expect("lock is not poisoned")
    }

    /// The file operations of a new process. Those of earlier ones fail from now on.
    pub(crate) fn start_process(&self) -> Files {
        let process = {
            let mut disk = self.lock();
            disk.process += 1;
            disk.changes_left = None;
            disk.process
        };
        let on = |disk: &SimDisk| disk.clone();
        let (d1, d2, d3, d4) = (on(self), on(self), on(self), on(self));
        let (d5, d6, d7) = (on(self), on(self), on(self));
        Files {
            create_dir: Box::new(move |path| d1.lock().create_dir(process, path)),
            list: Box::new(move |path| d2.lock().list(process, path)),
            read: Box::new(move |path| d3.lock().read(process, path)),
            create: Box::new(move |path| {
                let id = d4.lock().create(process, path)?;
                Ok(d4.open_file(process, id))
            }),
            rename: Box::new(move |from, to| d5.lock().rename(process, from, to)),
            remove: Box::new(move |path| d6.lock().remove(process, path)),
            sync_dir: Box::new(move |path| d7.lock().sync_dir(process, path)),
        }
    }

    fn open_file(&self, process: u64, id: usize) -> OpenFile {
        let (d1, d2) = (self.clone(), self.clone());
        OpenFile {
            append: Box::new(move |buf| d1.lock().append(process, id, buf)),
            sync: Box::new(move || d2.lock().sync(process, id)),
        }
    }

    /// Kills the running process at its change number `changes` from now on, before or after it.
    pub(crate) fn kill_after(&self, changes: u32) {
        self.lock().changes_left = Some(changes);
    }

    /// Lets one in `n` syncs fail, or none if `n` is 0.
    pub(crate) fn fail_syncs(&self, n: u32) {
        self.lock().failing_syncs = n;
    }

    /// Cuts the power. What was not synced is kept, lost or torn, each write and name by itself.
    pub(crate) fn lose_power(&self) {
        let disk = &mut *self.lock();
        disk.process += 1;
        let all_lost = disk.rng.u8(..5) == 0;
        let Disk { contents, names, durable_names, rng, .. } = disk;
        for content in contents.iter_mut() {
            content.lose_power(rng, all_lost);
        }
        let mut paths: Vec<PathBuf> = names.keys().chain(durable_names.keys()).cloned().collect();
        paths.sort();
        paths.dedup();
        for path in paths {
            let keep = !all_lost && rng.bool();
            let from = if keep { &names } else { &durable_names };
            match from.get(&path).copied() {
                Some(node) => durable_names.insert(path, node),
                None => durable_names.remove(&path),
            };
        }
        let kept = durable_names.clone();
        durable_names.retain(|path, _| path.ancestors().all(|a| kept.contains_key(a)));
        *names = durable_names.clone();
    }
}

impl Content {
    fn lose_power(&mut self, rng: &mut Rng, all_lost: bool) {
        let mut writes = std::mem::take(&mut self.pending);
        writes.append(&mut self.dropped);
        writes.sort_unstable();
        for (from, to) in writes {
            let kept = match rng.u8(..3) {
                _ if all_lost => continue,
                0 => continue,
                1 => to,
                _ => rng.usize(from..to),
            };
            if self.durable.len() < kept {
                self.durable.resize(kept, 0);
            }
            self.durable[from..kept].copy_from_slice(&self.bytes[from..kept]);
        }
        self.bytes = self.durable.clone();
    }
}

impl Disk {
    /// Runs a change, unless the process is killed before or has been. It may be killed right
    /// after, so that the caller never hears that the change was made.
    fn change<T, F>(&mut self, process: u64, f: F) -> Result<T>
    where
        F: FnOnce(&mut Disk) -> Result<T>,
    {
        self.check_runs(process)?;
        let is_last = match &mut self.changes_left {
            Some(0) => true,
            Some(left) => {
                *left -= 1;
                false
            }
            None => false,
        };
        if is_last {
            if self.rng.bool() {
                f(self)?;
            }
            self.process += 1;
            return Err(killed());
        }
        f(self)
    }

    fn check_runs(&self, process: u64) -> Result<()> {
        if process == self.process {
            Ok(())
        } else {
            Err(killed())
        }
    }

    fn directory(&self, path: &Path) -> Result<()> {
        match self.names.get(path) {
            Some(Node::Directory) => Ok(()),
            _ => Err(not_found(path)),
        }
    }

    fn create_dir(&mut self, process: u64, path: &Path) -> Result<()> {
        self.change(process, |disk| {
            disk.directory(parent(path))?;
            if disk.names.contains_key(path) {
                return Err(Error::from(ErrorKind::AlreadyExists));
            }
            disk.names.insert(path.to_path_buf(), Node::Directory);
            Ok(())
        })
    }

    fn list(&self, process: u64, dir: &Path) -> Result<Vec<String>> {
        self.check_runs(process)?;
        self.directory(dir)?;
        let inside = self.names.keys().filter(|path| path.parent() == Some(dir));
        let name = |path: &PathBuf| path.file_name().map(|n| n.to_string_lossy().into_owned());
        Ok(inside.filter_map(name).collect())
    }

    fn read(&self, process: u64, path: &Path) -> Result<Option<Vec<u8>>> {
        self.check_runs(process)?;
        match self.names.get(path) {
            Some(Node::File(id)) => Ok(Some(self.contents[*id].bytes.clone())),
            Some(Node::Directory) => Err(Error::other("is a directory")),
            None => Ok(None),
        }
    }

    fn create(&mut self, process: u64, path: &Path) -> Result<usize> {
        self.change(process, |disk| {
            disk.directory(parent(path))?;
            // Emptying a file is modelled as a new file under its name.
            disk.contents.push(Content::default());
            let id = disk.contents.len() - 1;
            disk.names.insert(path.to_path_buf(), Node::File(id));
            Ok(id)
        })
    }

    fn append(&mut self, process: u64, id: usize, buf: &[u8]) -> Result<()> {
        self.change(process, |disk| {
            let content = &mut disk.contents[id];
            let from = content.bytes.len();
            content.bytes.extend_from_slice(buf);
            if !buf.is_empty() {
                content.pending.push((from, from + buf.len()));
            }
            Ok(())
        })
    }

    fn sync(&mut self, process: u64, id: usize) -> Result<()> {
        self.change(process, |disk| {
            let fails = disk.failing_syncs > 0 && disk.rng.u32(..disk.failing_syncs) == 0;
            let content = &mut disk.contents[id];
            let pending = std::mem::take(&mut content.pending);
            if fails {
                content.dropped.extend(pending);
                return Err(Error::other("the sync failed"));
            }
            for (from, to) in pending {
                if content.durable.len() < to {
                    content.durable.resize(to, 0);
                }
                content.durable[from..to].copy_from_slice(&content.bytes[from..to]);
            }
            if !disk.syncs_names {
                return Ok(());
            }
            let is_new = |(path, node): (&PathBuf, &Node)| {
                (*node == Node::File(id) && !disk.durable_names.contains_key(path))
                    .then(|| (path.clone(), *node))
            };
            let new: Vec<_> = disk.names.iter().filter_map(is_new).collect();
            disk.durable_names.extend(new);
            Ok(())
        })
    }

    fn rename(&mut self, process: u64, from: &Path, to: &Path) -> Result<()> {
        self.change(process, |disk| {
            let node = disk.names.remove(from).ok_or_else(|| not_found(from))?;
            disk.names.insert(to.to_path_buf(), node);
            Ok(())
        })
    }

    fn remove(&mut self, process: u64, path: &Path) -> Result<()> {
        self.change(process, |disk| match disk.names.remove(path) {
            Some(_) => Ok(()),
            None => Err(not_found(path)),
        })
    }

    fn sync_dir(&mut self, process: u64, dir: &Path) -> Result<()> {
        self.change(process, |disk| {
            disk.directory(dir)?;
            let inside = |path: &PathBuf| path.parent() == Some(dir);
            disk.durable_names.retain(|path, _| !inside(path));
            let now = disk.names.iter().filter(|(path, _)| inside(path));
            disk.durable_names.extend(now.map(|(path, node)| (path.clone(), *node)));
            Ok(())
        })
    }
}
