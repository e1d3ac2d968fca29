//! Identifiers that include their region and control group.

const INDEX_BITS: u32 = 48;
const INDEX_MASK: u64 = (1 << INDEX_BITS) - 1;

/// The region and control group in which an identifier was assigned.
///
/// Identifiers include both, so that those of different groups or regions never collide.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct GroupId {
    pub region: u8,
    pub group: u8,
}

impl GroupId {
    /// Packs region, group and `index` into one number.
    ///
    /// ```
    /// use aspenrail::util::{GroupId, index_of};
    ///
    /// let group = GroupId { region: 2, group: 1 };
    /// let id = group.pack(7);
    /// assert_eq!(index_of(id), 7);
    /// assert!(group.owns(id));
    /// assert!(!GroupId { region: 1, group: 1 }.owns(id));
    /// ```
    pub fn pack(self, index: u64) -> u64 {
        (u64::from(self.region) << 56)
            | (u64::from(self.group) << INDEX_BITS)
            | (index & INDEX_MASK)
    }

    /// Returns whether `packed` was assigned in this region and group.
    pub fn owns(self, packed: u64) -> bool {
        packed & !INDEX_MASK == self.pack(0)
    }
}

/// Returns the index of an identifier within its region and group.
pub fn index_of(packed: u64) -> u64 {
    packed & INDEX_MASK
}
