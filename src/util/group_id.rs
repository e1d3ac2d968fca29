//! Identifiers that carry region and group.

const INDEX_BITS: u32 = 48;
const INDEX_MASK: u64 = (1 << INDEX_BITS) - 1;

/// The region and control group that an identifier was made in.
///
/// Identifiers carry both from the first day, so that a second group or region never meets an
/// identifier of another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Place {
    pub region: u8,
    pub group: u8,
}

impl Place {
    /// Packs `index` with this place into one number.
    ///
    /// ```
    /// use aspenrail::util::{Place, index_of};
    ///
    /// let here = Place { region: 2, group: 1 };
    /// let id = here.pack(7);
    /// assert_eq!(index_of(id), 7);
    /// assert!(here.owns(id));
    /// assert!(!Place { region: 1, group: 1 }.owns(id));
    /// ```
    pub fn pack(self, index: u64) -> u64 {
        (u64::from(self.region) << 56)
            | (u64::from(self.group) << INDEX_BITS)
            | (index & INDEX_MASK)
    }

    /// Returns whether `packed` was made in this place.
    pub fn owns(self, packed: u64) -> bool {
        packed & !INDEX_MASK == self.pack(0)
    }
}

/// Returns the index within its place.
pub fn index_of(packed: u64) -> u64 {
    packed & INDEX_MASK
}
