//! Settings of the daemons, read once from JSON and validated before startup.

mod control;
mod entry;
mod listen;
mod platform;
mod voter;

use std::{fs, path::Path};

use serde::de::DeserializeOwned;

pub use control::ControlConfig;
pub use entry::EntryConfig;
pub use listen::ListenAddress;
pub use platform::PlatformSource;
pub use voter::VoterAddress;

use crate::error::{Error, Result};

/// Settings that are validated after parsing.
pub trait CheckedConfig: DeserializeOwned {
    /// Validates the settings.
    ///
    /// # Errors
    /// The path of the first invalid field, and the reason.
    fn check(&self) -> Result<(), (String, String)>;
}

/// Reads and validates a settings file.
///
/// # Errors
/// [`Error::File`] when the file is not readable, and [`Error::Settings`] with the path of the
/// field when its content is invalid.
pub fn load<C: CheckedConfig>(path: &Path) -> Result<C> {
    let text = fs::read_to_string(path).map_err(|source| Error::file(path, source))?;
    let settings_error = |field: String, reason: String| Error::Settings {
        path: path.to_owned(),
        field,
        reason,
    };
    let mut deserializer = serde_json::Deserializer::from_str(&text);
    let config: C = serde_path_to_error::deserialize(&mut deserializer)
        .map_err(|error| settings_error(error.path().to_string(), error.inner().to_string()))?;
    config
        .check()
        .map_err(|(field, reason)| settings_error(field, reason))?;
    Ok(config)
}

/// Reads a secret file and trims leading and trailing white space.
///
/// # Errors
/// [`Error::File`] when the file is not readable.
pub fn read_secret(path: &Path) -> Result<String> {
    let text = fs::read_to_string(path).map_err(|source| Error::file(path, source))?;
    Ok(text.trim().to_owned())
}
