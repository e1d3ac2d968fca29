//! Simulated workers, endpoints and callers, for local trials and tests on one machine.
//!
//! They implement only the protocols of docs/PLATFORM.md and docs/API.md. Nothing here is part of
//! a deployment.

pub mod executor;
pub mod layout;
pub mod load;
pub mod worker;
pub mod worker_model;
