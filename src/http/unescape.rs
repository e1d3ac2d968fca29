//! Percent-decoding of URL paths.

use crate::prelude::*;

/// Percent-decodes a part of a path; returns `None` if an escape is invalid or the result is not
/// UTF-8.
pub fn unescape(text: &str) -> Option<CompactString> {
    let mut bytes = Vec::with_capacity(text.len());
    let mut input = text.bytes();
    while let Some(byte) = input.next() {
        match byte {
            b'%' => bytes.push(hex_digit(input.next()?)? * 16 + hex_digit(input.next()?)?),
            byte => bytes.push(byte),
        }
    }
    CompactString::from_utf8(bytes).ok()
}

fn hex_digit(byte: u8) -> Option<u8> {
    char::from(byte).to_digit(16).map(|it| it as u8)
}
