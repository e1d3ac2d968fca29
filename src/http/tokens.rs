//! Authentication by the tokens of teams and operators.

use std::path::Path;

use sha2::{Digest, Sha256};
use subtle::{ConditionallySelectable, ConstantTimeEq};

use crate::prelude::*;

/// Shortest token accepted; shorter ones could be guessed.
const TOKEN_MIN_BYTES: usize = 16;

/// The tokens of one listener, stored as digests.
#[derive(Clone, Debug)]
pub struct Tokens {
    names: Vec<CompactString>,
    digests: Vec<[u8; 32]>,
}

impl Tokens {
    /// Loads a file with one line `name = token` for each holder.
    ///
    /// # Errors
    ///
    /// Returns an error that names the holder in an invalid line, never the token.
    pub fn load(path: &Path) -> Result<Tokens> {
        let invalid = |message: CompactString| {
            Error::report(ErrorKind::BadRequest, format_compact!("{}: {message}", path.display()))
        };
        let file = ini::Ini::load_from_file(path).map_err(|it| invalid(format_compact!("{it}")))?;
        let mut res = Tokens { names: Vec::new(), digests: Vec::new() };
        for (section, properties) in file.iter() {
            if let Some(name) = section {
                return Err(invalid(format_compact!(
                    "section [{name}]: a token file must not have sections"
                )));
            }
            for (name, token) in properties.iter() {
                if token.len() < TOKEN_MIN_BYTES {
                    return Err(invalid(format_compact!(
                        "the token of {name} is shorter than {TOKEN_MIN_BYTES} bytes"
                    )));
                }
                let digest = Sha256::digest(token.as_bytes()).into();
                if res.digests.contains(&digest) {
                    return Err(invalid(format_compact!(
                        "{name} has the same token as another holder"
                    )));
                }
                res.names.push(name.into());
                res.digests.push(digest);
            }
        }
        if res.names.is_empty() {
            return Err(invalid(
                "the file has no tokens, so every request would be refused".into(),
            ));
        }
        Ok(res)
    }

    /// Returns the holder of the token in an `Authorization` header.
    ///
    /// Every digest is compared in full, so that the time taken reveals nothing about the tokens.
    pub fn holder(&self, authorization: Option<&str>) -> Option<CompactString> {
        let token = authorization?.strip_prefix("Bearer ")?;
        let digest = Sha256::digest(token.as_bytes());
        let mut found_index = u32::MAX;
        for (index, known_digest) in self.digests.iter().enumerate() {
            found_index.conditional_assign(&(index as u32), known_digest.ct_eq(digest.as_slice()));
        }
        self.names.get(found_index as usize).cloned()
    }
}
