//! Settings of a process, and the configuration that it has adopted.

mod adopted;
mod settings;

pub use self::{
    adopted::Adopted,
    settings::{Problem, load_settings, parse_settings, settings_page},
};
