//! Integer keys for image names, so that decisions compare numbers instead of names.

use std::collections::HashMap;

use crate::prelude::*;

/// Images with a key of their own: many times what an installation runs, and a few hundred KB.
/// Further images share the key of the empty name.
const IMAGES_MAX: usize = 10_000;

/// The index of an image in an [`ImageTable`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ImageKey(u32);

impl ImageKey {
    /// Returns the index in tables that are ordered by key.
    pub fn index(self) -> usize {
        self.0 as usize
    }
}

/// A mapping between image names and keys.
#[derive(Clone, Debug)]
pub struct ImageTable {
    names: Vec<CompactString>,
    keys: HashMap<CompactString, ImageKey>,
}

impl Default for ImageTable {
    fn default() -> ImageTable {
        let empty_name = CompactString::default();
        ImageTable {
            names: vec![empty_name.clone()],
            keys: HashMap::from([(empty_name, ImageKey::default())]),
        }
    }
}

impl ImageTable {
    /// Returns the key of a name, and assigns one if it has none.
    pub fn key_or_insert(&mut self, name: &str) -> ImageKey {
        if let Some(it) = self.keys.get(name) {
            return *it;
        }
        if IMAGES_MAX <= self.names.len() {
            return ImageKey::default();
        }
        let res = ImageKey(self.names.len() as u32);
        self.names.push(name.into());
        self.keys.insert(name.into(), res);
        res
    }

    /// Returns the name of a key, which is empty for the shared key.
    pub fn name(&self, key: ImageKey) -> &CompactString {
        &self.names[key.index()]
    }
}
