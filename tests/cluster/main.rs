//! Tests of separate processes on loopback that are killed, frozen and stopped under load.
#![allow(clippy::unwrap_used)]

mod edges;
mod faults;
mod harness;
mod idle;
