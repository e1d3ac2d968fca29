//! Modelled files that keep what is durable apart from what is only written, and that crash or fail
//! at a chosen operation.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    io::{self, ErrorKind},
    path::Path,
    rc::Rc,
};

use aspenrail::control::log::{Storage, StorageFile};

/// What happens at one operation that changes the files.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The process ends before the operation.
    CrashBefore,
    /// The process ends after half of the data of an append; other operations are not begun.
    CrashWithin,
    /// The process ends after the operation.
    CrashAfter,
    /// The operation fails, after half of its data if it is an append.
    Fail,
}

/// What a crash leaves of the data and names that were not synced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Survival {
    /// Bit N tells whether the Nth change of names since the last sync of the folder is kept.
    pub names: u32,
    pub data: SurvivingData,
}

/// What a crash leaves of data that was not synced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SurvivingData {
    Nothing,
    Half,
    All,
}

/// Key of a file in [`Files::contents`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct FileKey(usize);

#[derive(Clone, Debug, Default)]
struct Content {
    written: Vec<u8>,
    durable: Vec<u8>,
}

/// A change of names since the last sync of the folder.
#[derive(Clone, Debug)]
struct NameChange {
    removed: Option<String>,
    added: Option<(String, FileKey)>,
}

#[derive(Clone, Debug, Default)]
struct Files {
    contents: Vec<Content>,
    names: BTreeMap<String, FileKey>,
    durable_names: BTreeMap<String, FileKey>,
    unsynced_changes: Vec<NameChange>,
    operations: usize,
    faults: BTreeMap<usize, Fault>,
    has_crashed: bool,
}

impl Files {
    /// Counts an operation and returns the fault that it meets.
    fn begin(&mut self) -> io::Result<Option<Fault>> {
        if self.has_crashed {
            return Err(crashed());
        }
        let fault = self.faults.get(&self.operations).copied();
        self.operations += 1;
        Ok(fault)
    }

    /// Performs one operation, unless a fault keeps it from happening.
    fn operate<T>(&mut self, operation: impl FnOnce(&mut Files) -> io::Result<T>) -> io::Result<T> {
        match self.begin()? {
            None => operation(self),
            Some(Fault::CrashBefore | Fault::CrashWithin) => {
                self.has_crashed = true;
                Err(crashed())
            }
            Some(Fault::CrashAfter) => {
                let _ = operation(self);
                self.has_crashed = true;
                Err(crashed())
            }
            Some(Fault::Fail) => Err(io::Error::from(ErrorKind::StorageFull)),
        }
    }

    fn change_names(&mut self, change: NameChange) {
        apply_change(&mut self.names, &change);
        self.unsynced_changes.push(change);
    }

    fn key_of(&self, name: &str) -> io::Result<FileKey> {
        self.names.get(name).copied().ok_or_else(|| io::Error::from(ErrorKind::NotFound))
    }
}

fn crashed() -> io::Error {
    io::Error::other("the process has ended")
}

fn apply_change(names: &mut BTreeMap<String, FileKey>, change: &NameChange) {
    if let Some(it) = &change.removed {
        names.remove(it);
    }
    if let Some((name, key)) = &change.added {
        names.insert(name.clone(), *key);
    }
}

/// A data folder in memory.
#[derive(Clone, Debug, Default)]
pub struct ModelStorage {
    files: Rc<RefCell<Files>>,
}

/// An open file of a [`ModelStorage`].
#[derive(Clone, Debug)]
pub struct ModelFile {
    files: Rc<RefCell<Files>>,
    key: FileKey,
}

impl ModelStorage {
    /// Lets the operation of this number, counted from 0, meet a fault.
    pub fn set_fault(&self, operation: usize, fault: Fault) {
        self.files.borrow_mut().faults.insert(operation, fault);
    }

    /// Returns the number of operations so far.
    pub fn operations(&self) -> usize {
        self.files.borrow().operations
    }

    pub fn has(&self, name: &str) -> bool {
        self.files.borrow().names.contains_key(name)
    }

    pub fn has_crashed(&self) -> bool {
        self.files.borrow().has_crashed
    }

    /// Returns the number of changes of names that a crash of the machine may lose.
    pub fn unsynced_changes(&self) -> usize {
        self.files.borrow().unsynced_changes.len()
    }

    /// Returns the folder as it is found after a crash.
    pub fn after_crash(&self, survival: Survival) -> ModelStorage {
        let files = self.files.borrow();
        let mut names = files.durable_names.clone();
        for (position, change) in files.unsynced_changes.iter().enumerate() {
            if survival.names >> position.min(31) & 1 == 1 {
                apply_change(&mut names, change);
            }
        }
        let contents = files.contents.iter().map(|it| {
            let data = surviving_data(it, survival.data);
            Content { written: data.clone(), durable: data }
        });
        let files = Files {
            contents: contents.collect(),
            durable_names: names.clone(),
            names,
            ..Files::default()
        };
        ModelStorage { files: Rc::new(RefCell::new(files)) }
    }

    fn open_file(&self, key: FileKey) -> ModelFile {
        ModelFile { files: self.files.clone(), key }
    }
}

fn surviving_data(it: &Content, survival: SurvivingData) -> Vec<u8> {
    let is_extension = it.written.starts_with(&it.durable);
    match survival {
        SurvivingData::Nothing => it.durable.clone(),
        SurvivingData::All => it.written.clone(),
        SurvivingData::Half if is_extension => {
            it.written[..(it.durable.len() + it.written.len()) / 2].to_vec()
        }
        SurvivingData::Half => it.durable.clone(),
    }
}

impl Storage for ModelStorage {
    type File = ModelFile;

    fn folder(&self) -> &Path {
        Path::new("model")
    }

    fn list(&self) -> io::Result<Vec<String>> {
        Ok(self.files.borrow().names.keys().cloned().collect())
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        let files = self.files.borrow();
        let key = files.key_of(name)?;
        Ok(files.contents[key.0].written.clone())
    }

    fn create(&self, name: &str) -> io::Result<ModelFile> {
        let key = self.files.borrow_mut().operate(|files| {
            if let Ok(key) = files.key_of(name) {
                files.contents[key.0].written.clear();
                return Ok(key);
            }
            let key = FileKey(files.contents.len());
            files.contents.push(Content::default());
            files.change_names(NameChange { removed: None, added: Some((name.to_owned(), key)) });
            Ok(key)
        })?;
        Ok(self.open_file(key))
    }

    fn open(&self, name: &str) -> io::Result<ModelFile> {
        let existing = self.files.borrow().key_of(name);
        match existing {
            Ok(key) => Ok(self.open_file(key)),
            Err(_) => self.create(name),
        }
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        self.files.borrow_mut().operate(|files| {
            let key = files.key_of(from)?;
            let added = Some((to.to_owned(), key));
            files.change_names(NameChange { removed: Some(from.to_owned()), added });
            Ok(())
        })
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        self.files.borrow_mut().operate(|files| {
            files.key_of(name)?;
            files.change_names(NameChange { removed: Some(name.to_owned()), added: None });
            Ok(())
        })
    }

    fn sync_folder(&self) -> io::Result<()> {
        self.files.borrow_mut().operate(|files| {
            files.durable_names = files.names.clone();
            files.unsynced_changes.clear();
            Ok(())
        })
    }

    fn free_bytes(&self) -> io::Result<u64> {
        Ok(u64::MAX)
    }
}

impl StorageFile for ModelFile {
    fn append(&mut self, data: &[u8]) -> io::Result<()> {
        let mut files = self.files.borrow_mut();
        let fault = files.begin()?;
        let written_bytes = match fault {
            Some(Fault::CrashBefore) => 0,
            Some(Fault::CrashWithin | Fault::Fail) => data.len() / 2,
            Some(Fault::CrashAfter) | None => data.len(),
        };
        files.contents[self.key.0].written.extend_from_slice(&data[..written_bytes]);
        match fault {
            None => Ok(()),
            Some(Fault::Fail) => Err(io::Error::from(ErrorKind::StorageFull)),
            Some(_) => {
                files.has_crashed = true;
                Err(crashed())
            }
        }
    }

    fn truncate(&mut self, size_bytes: u64) -> io::Result<()> {
        self.files.borrow_mut().operate(|files| {
            files.contents[self.key.0].written.truncate(size_bytes as usize);
            Ok(())
        })
    }

    fn sync(&mut self) -> io::Result<()> {
        let mut files = self.files.borrow_mut();
        let synced = files.operate(|files| {
            let content = &mut files.contents[self.key.0];
            content.durable = content.written.clone();
            Ok(())
        });
        if synced.is_err() && !files.has_crashed {
            // A kernel may drop the pages of a failed sync, and report success for the next one.
            let content = &mut files.contents[self.key.0];
            let durable_bytes = content.durable.len().min(content.written.len());
            content.written[durable_bytes..].fill(0);
        }
        synced
    }
}
