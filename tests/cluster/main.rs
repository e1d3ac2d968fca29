//! Separate processes on loopback: killed, frozen and stopped while they work.
#![allow(clippy::unwrap_used)]

mod edges;
mod faults;
mod harness;
mod idle;
