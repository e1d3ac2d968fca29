//! Messages, log commands and settings, generated from the files in `schema/`.
//!
//! The schema files are the source; `tests/schema.rs` proves that the committed code is what
//! they generate, and writes it anew on request. The build itself needs no generator.

#[allow(clippy::all, missing_docs, rustdoc::all)]
#[rustfmt::skip]
pub mod messages;
#[allow(clippy::all, missing_docs, rustdoc::all)]
#[rustfmt::skip]
pub mod settings;

/// Version of the protocol between processes; a peer with another one is refused by name.
pub const PROTOCOL_VERSION: u32 = 1;
