//! Settings files, profiles and services, and how a change of them spreads.

mod agent_settings;
mod balancer_settings;
mod document;
mod key_file;
mod object_check;
mod problem;
mod section;
mod settings;

pub use agent_settings::AgentSettings;
pub use balancer_settings::{BalancerSettings, IngressSettings, Team, TeamServices};
pub use key_file::{KeyFiles, Keys, TlsFiles, TlsMaterial};
pub use object_check::{Catalog, check_profile, check_service, check_service_file};
pub use problem::SettingsProblem;
pub use settings::{LogFormat, LogLevel, LogSettings, Settings, check, open};
