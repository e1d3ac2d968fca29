//! Memory that several holders share.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

/// A holder gets at most the remainder that the others leave, divided by this. So large holders are
/// refused first, and small ones find room beside any number of large ones.
const REMAINDER_DIVISOR: usize = 4;

/// Returns the most bytes that one holder gets of those that the others leave.
pub fn holder_max_bytes(remainder_bytes: usize) -> usize {
    remainder_bytes / REMAINDER_DIVISOR
}

/// A number of bytes that several holders share.
///
/// ```
/// use aspenrail::util::ByteBudget;
///
/// let budget = ByteBudget::new(1_000);
/// let first = budget.reserve(250).expect("a quarter of all");
/// assert!(budget.reserve(250).is_none(), "more than a quarter of the remaining 750");
/// assert!(budget.reserve(10).is_some());
/// drop(first);
/// assert_eq!(budget.used_bytes(), 0);
/// ```
#[derive(Clone, Debug)]
pub struct ByteBudget {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    max_bytes: usize,
    used_bytes: AtomicUsize,
}

/// The bytes of one holder, which returns them when it is dropped.
#[derive(Debug)]
pub struct ReservedBytes {
    budget: ByteBudget,
    bytes: usize,
}

impl ByteBudget {
    /// Returns an unused budget of `max_bytes`.
    pub fn new(max_bytes: usize) -> ByteBudget {
        ByteBudget { shared: Arc::new(Shared { max_bytes, used_bytes: AtomicUsize::new(0) }) }
    }

    /// Returns how many bytes are reserved.
    pub fn used_bytes(&self) -> usize {
        self.shared.used_bytes.load(Ordering::Relaxed)
    }

    /// Reserves bytes, or returns `None` if there is no room for them.
    pub fn reserve(&self, bytes: usize) -> Option<ReservedBytes> {
        let mut res = self.reserve_none();
        res.grow_to(bytes).then_some(res)
    }

    /// Returns an empty reservation, to be enlarged later.
    pub fn reserve_none(&self) -> ReservedBytes {
        ReservedBytes { budget: self.clone(), bytes: 0 }
    }
}

impl ReservedBytes {
    /// Enlarges the reservation to `bytes`; returns whether there was room.
    pub fn grow_to(&mut self, bytes: usize) -> bool {
        let Shared { max_bytes, used_bytes } = &*self.budget.shared;
        let with_growth = |used_bytes: usize| {
            let others_bytes = used_bytes - self.bytes;
            let remainder_bytes = max_bytes.saturating_sub(others_bytes);
            (bytes <= holder_max_bytes(remainder_bytes)).then_some(others_bytes + bytes)
        };
        if bytes <= self.bytes {
            return true;
        }
        let result = used_bytes.fetch_update(Ordering::Relaxed, Ordering::Relaxed, with_growth);
        if result.is_ok() {
            self.bytes = bytes;
        }
        result.is_ok()
    }
}

impl Drop for ReservedBytes {
    fn drop(&mut self) {
        self.budget.shared.used_bytes.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
