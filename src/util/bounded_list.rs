//! Lists of limited length in decoded bodies.

use std::{fmt, marker::PhantomData};

use serde::{
    Deserialize, Deserializer,
    de::{Error, SeqAccess, Visitor},
};

/// Decodes a list of at most `MAX` elements, for use in `deserialize_with`.
///
/// A decoded element may take many times the bytes that it has in a body. A longer list is refused
/// at its first element too many, before the rest is decoded.
///
/// # Errors
///
/// Returns an error if the list is longer or an element cannot be decoded.
pub fn bounded_list<'de, D, T, const MAX: usize>(deserializer: D) -> Result<Vec<T>, D::Error>
where
    D: Deserializer<'de>,
    T: Deserialize<'de>,
{
    deserializer.deserialize_seq(ListVisitor::<T, MAX>(PhantomData))
}

struct ListVisitor<T, const MAX: usize>(PhantomData<T>);

impl<'de, T, const MAX: usize> Visitor<'de> for ListVisitor<T, MAX>
where
    T: Deserialize<'de>,
{
    type Value = Vec<T>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "a list of at most {MAX} elements")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut sequence: A) -> Result<Vec<T>, A::Error> {
        let mut res = Vec::new();
        while let Some(element) = sequence.next_element()? {
            if res.len() == MAX {
                return Err(A::Error::custom(format_args!("a list has more than {MAX} elements")));
            }
            res.push(element);
        }
        Ok(res)
    }
}
