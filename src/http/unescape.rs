//! Text of a path, with its escapes read.

use crate::prelude::*;

/// Returns a part of a path with `%` and two hexadecimal digits read as the byte they name, or
/// nothing where an escape is cut short or the bytes are no UTF-8.
pub fn unescape(text: &str) -> Option<CompactString> {
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.bytes();
    while let Some(it) = rest.next() {
        match it {
            b'%' => bytes.push(digit(rest.next()?)? * 16 + digit(rest.next()?)?),
            it => bytes.push(it),
        }
    }
    CompactString::from_utf8(bytes).ok()
}

fn digit(it: u8) -> Option<u8> {
    char::from(it).to_digit(16).map(|it| it as u8)
}
