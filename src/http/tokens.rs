//! Tokens of teams and operators.

use std::path::Path;

use sha2::{Digest, Sha256};
use subtle::{ConditionallySelectable, ConstantTimeEq};

use crate::prelude::*;

/// Shortest token accepted, so that none can be guessed.
const TOKEN_MIN_BYTES: usize = 16;

/// The tokens of one edge, by digest.
#[derive(Clone, Debug)]
pub struct Tokens {
    names: Vec<CompactString>,
    digests: Vec<[u8; 32]>,
}

impl Tokens {
    /// Reads a file with one line `name = token` for each holder.
    ///
    /// # Errors
    ///
    /// Returns an error that names the line's holder, never the token.
    pub fn load(path: &Path) -> Result<Tokens> {
        let bad = |message: CompactString| {
            Error::report(ErrorKind::BadRequest, format_compact!("{}: {message}", path.display()))
        };
        let file = ini::Ini::load_from_file(path).map_err(|it| bad(format_compact!("{it}")))?;
        let mut res = Tokens { names: Vec::new(), digests: Vec::new() };
        for (section, properties) in file.iter() {
            if let Some(it) = section {
                return Err(bad(format_compact!("[{it}]: a file of tokens has no sections")));
            }
            for (name, token) in properties.iter() {
                if token.len() < TOKEN_MIN_BYTES {
                    return Err(bad(format_compact!(
                        "the token of {name} is shorter than {TOKEN_MIN_BYTES} bytes"
                    )));
                }
                let digest = Sha256::digest(token.as_bytes()).into();
                if res.digests.contains(&digest) {
                    return Err(bad(format_compact!("{name} has the token of another")));
                }
                res.names.push(name.into());
                res.digests.push(digest);
            }
        }
        if res.names.is_empty() {
            return Err(bad("it holds no token, so nobody could be let in".into()));
        }
        Ok(res)
    }

    /// Returns whose token an `Authorization` header holds.
    ///
    /// Every digest is compared in full, so that the time taken tells nothing.
    pub fn holder(&self, authorization: Option<&str>) -> Option<CompactString> {
        let token = authorization?.strip_prefix("Bearer ")?;
        let digest = Sha256::digest(token.as_bytes());
        let mut found = u32::MAX;
        for (at, it) in self.digests.iter().enumerate() {
            found.conditional_assign(&(at as u32), it.ct_eq(digest.as_slice()));
        }
        self.names.get(found as usize).cloned()
    }
}
