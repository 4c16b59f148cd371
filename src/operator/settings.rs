use std::{net::SocketAddr, path::PathBuf, time::Duration};

use clap::ArgMatches;
use serde::{Deserialize, Serialize};

use super::{OperatorClient, OutputFormat};
use crate::{
    config::{self, CheckedConfig},
    error::{Error, Result},
    fleet::KeyHasher,
};

/// Settings of the command line; see docs/operators.md.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorConfig {
    /// Administration addresses of the control daemons.
    #[serde(default)]
    pub admin: Vec<SocketAddr>,
    /// File that holds the bearer token for the administration API.
    #[serde(default)]
    pub token_file: Option<PathBuf>,
    /// File that holds the secret used to hash callers' keys.
    #[serde(default)]
    pub key_hash_secret_file: Option<PathBuf>,
}

impl CheckedConfig for OperatorConfig {
    fn check(&self) -> Result<(), (String, String)> {
        Ok(())
    }
}

/// Options that all commands share.
pub struct OperatorContext {
    config: OperatorConfig,
    timeout: Duration,
    /// Output format.
    pub format: OutputFormat,
}

impl OperatorContext {
    /// Reads the settings file, if one is given; command line flags override its fields.
    ///
    /// # Errors
    /// [`Error::File`] and [`Error::Settings`] as for any settings file.
    pub fn new(arguments: &ArgMatches) -> Result<Self> {
        let mut config = match arguments.get_one::<PathBuf>("config") {
            Some(path) => config::load(path)?,
            None => OperatorConfig::default(),
        };
        if let Some(addresses) = arguments.get_many::<SocketAddr>("admin") {
            config.admin = addresses.copied().collect();
        }
        if let Some(path) = arguments.get_one::<PathBuf>("token-file") {
            config.token_file = Some(path.clone());
        }
        let timeout = arguments.get_one("timeout-ms").copied();
        Ok(Self {
            config,
            timeout: Duration::from_millis(timeout.unwrap_or(10_000)),
            format: *arguments.get_one("output").unwrap_or(&OutputFormat::Table),
        })
    }

    /// Creates a client for the configured control daemons.
    ///
    /// # Errors
    /// [`Error::Settings`] when no address or token file is set, [`Error::File`] when the token is
    /// not readable.
    pub fn client(&self) -> Result<OperatorClient> {
        if self.config.admin.is_empty() {
            return Err(missing_setting("admin", "--admin"));
        }
        let Some(path) = &self.config.token_file else {
            return Err(missing_setting("token_file", "--token-file"));
        };
        let token = config::read_secret(path)?;
        OperatorClient::new(self.config.admin.clone(), token, self.timeout)
    }

    /// Creates the hasher of callers' keys. The file in `flag_path` overrides the one in the
    /// settings.
    ///
    /// # Errors
    /// [`Error::Settings`] when no file is set, [`Error::File`] when it is not readable.
    pub fn key_hasher(&self, flag_path: Option<&PathBuf>) -> Result<KeyHasher> {
        let path = flag_path.or(self.config.key_hash_secret_file.as_ref());
        let path =
            path.ok_or_else(|| missing_setting("key_hash_secret_file", "--key-hash-secret-file"))?;
        Ok(KeyHasher::new(&config::read_secret(path)?))
    }
}

fn missing_setting(field: &str, flag: &str) -> Error {
    Error::Settings {
        path: PathBuf::from("command line"),
        field: field.to_owned(),
        reason: format!("is not set; use {flag} or the settings file"),
    }
}
