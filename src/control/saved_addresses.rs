use std::{fs, io::Write, path::PathBuf};

use crate::{
    config::{ControlConfig, VoterAddress},
    error::{Error, Result},
};

/// File in the data folder with the known addresses of other members.
const ADDRESSES_FILE: &str = "addresses.json";

/// Reads the member addresses that an earlier run saved. They only help to reach members that are
/// not in the settings, so an unreadable file is treated as an empty one.
pub fn read_addresses(config: &ControlConfig) -> Vec<VoterAddress> {
    fs::read(addresses_path(config))
        .ok()
        .and_then(|content| serde_json::from_slice(&content).ok())
        .unwrap_or_default()
}

/// Saves the addresses of other members durably.
///
/// # Errors
/// [`Error::File`] when a file operation fails.
pub fn write_addresses(config: &ControlConfig, addresses: &[VoterAddress]) -> Result<()> {
    let path = addresses_path(config);
    let temporary = path.with_extension("tmp");
    let content = serde_json::to_vec(addresses).unwrap_or_default();
    let write = || {
        let mut file = fs::File::create(&temporary)?;
        file.write_all(&content)?;
        file.sync_all()?;
        fs::rename(&temporary, &path)?;
        fs::File::open(&config.data_folder)?.sync_all()
    };
    write().map_err(|source| Error::file(path, source))
}

fn addresses_path(config: &ControlConfig) -> PathBuf {
    config.data_folder.join(ADDRESSES_FILE)
}
