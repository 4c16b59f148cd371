//! Settings of the daemons, read once from JSON and checked before anything starts.

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

/// A settings type that can check itself after parsing.
pub trait CheckedConfig: DeserializeOwned {
    /// Returns the first unusable field as its path and the reason.
    ///
    /// # Errors
    /// The field's path and why its value cannot be used.
    fn check(&self) -> Result<(), (String, String)>;
}

/// Reads and checks a settings file.
///
/// # Errors
/// [`Error::File`] when the file is not readable and [`Error::Settings`] with the field's name
/// when its content cannot be used.
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

/// Reads a secret file without its trailing line end.
///
/// # Errors
/// [`Error::File`] when the file is not readable.
pub fn read_secret(path: &Path) -> Result<String> {
    let text = fs::read_to_string(path).map_err(|source| Error::file(path, source))?;
    Ok(text.trim().to_owned())
}
