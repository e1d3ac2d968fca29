//! Small stand-ins of the systems that aspenrail serves: workers, endpoints and callers.
//!
//! They speak the protocols of docs/PLATFORM.md and docs/API.md and no more, for trying things
//! out on one machine and for tests. Nothing here is part of a deployment.

pub mod executor;
pub mod layout;
pub mod load;
pub mod worker;
pub mod worker_model;
