//! Messages, log commands and settings, generated from the files in `schema/`.
//!
//! The schema files are the source. `tests/schema.rs` checks that the committed code matches them
//! and regenerates it on request, so the build itself needs no generator.

pub mod memory;
#[allow(clippy::all, missing_docs, rustdoc::all)]
#[rustfmt::skip]
pub mod messages;
#[allow(clippy::all, missing_docs, rustdoc::all)]
#[rustfmt::skip]
pub mod settings;

/// Version of the protocol between processes; peers with another version are refused with an error
/// that states it.
pub const PROTOCOL_VERSION: u32 = 1;
