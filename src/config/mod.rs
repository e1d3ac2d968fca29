//! Settings of a process, and the configuration that it has adopted.

mod adopted_configuration;
mod settings;

pub use self::{
    adopted_configuration::AdoptedConfiguration,
    settings::{SettingsProblem, load_settings, parse_settings, settings_page},
};
