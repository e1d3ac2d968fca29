//! Checksums and digests.

use sha2::{Digest, Sha256};

/// Returns the CRC-32 of `data`, which finds accidents, not attacks.
pub fn checksum(data: &[u8]) -> u32 {
    crc32fast::hash(data)
}

/// Returns a 64-bit digest of several parts, each delimited by its length.
pub fn digest_of(parts: &[&[u8]]) -> u64 {
    let mut hasher = Sha256::new();
    for it in parts {
        hasher.update((it.len() as u64).to_le_bytes());
        hasher.update(it);
    }
    let res = hasher.finalize();
    u64::from_le_bytes([res[0], res[1], res[2], res[3], res[4], res[5], res[6], res[7]])
}
