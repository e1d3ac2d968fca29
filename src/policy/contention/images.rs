//! Images by small keys, so that decisions compare numbers and not names.

use std::collections::HashMap;

use crate::prelude::*;

/// Names told apart: many times what an installation runs, and a few hundred KB. Those beyond
/// share the key of images without a name.
const IMAGES_MAX: usize = 10_000;

/// An image, by its place in a table of names.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ImageKey(u32);

impl ImageKey {
    /// Returns its place in tables by key.
    pub fn index(self) -> usize {
        self.0 as usize
    }
}

/// The names of images, each with its key.
#[derive(Clone, Debug)]
pub struct ImageTable {
    names: Vec<CompactString>,
    keys: HashMap<CompactString, ImageKey>,
}

impl Default for ImageTable {
    fn default() -> ImageTable {
        let nameless = CompactString::default();
        ImageTable {
            names: vec![nameless.clone()],
            keys: HashMap::from([(nameless, ImageKey::default())]),
        }
    }
}

impl ImageTable {
    /// Returns the key of a name, which it is given now if it has none.
    pub fn key(&mut self, name: &str) -> ImageKey {
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

    /// Returns the name of a key; it is empty for images that share one.
    pub fn name(&self, key: ImageKey) -> &CompactString {
        &self.names[key.index()]
    }
}
