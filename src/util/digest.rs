//! Checksums and digests.

use sha2::{Digest, Sha256};

/// Returns the CRC-32 of `data`, which detects accidental corruption, not tampering.
pub fn checksum(data: &[u8]) -> u32 {
    crc32fast::hash(data)
}

/// Returns a 64-bit digest of several parts, each preceded by its length.
pub fn digest_of(parts: &[&[u8]]) -> u64 {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update((part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    let hash = hasher.finalize();
    u64::from_le_bytes([hash[0], hash[1], hash[2], hash[3], hash[4], hash[5], hash[6], hash[7]])
}
