use super::storage::{Storage, replace_file};
use crate::{
    error::{Error, Result},
    raft::VoterId,
};

/// Name of the file that identifies the voter that the folder belongs to.
pub const NAME: &str = "identity.json";

/// Reads the identity file; returns `None` when it does not exist.
pub fn load(storage: &dyn Storage) -> Result<Option<VoterId>> {
    let path = storage.path(NAME);
    let content = match storage.read(NAME) {
        Ok(content) => content,
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => return Ok(None),
        Err(source) => return Err(Error::file(path, source)),
    };
    let identity = serde_json::from_slice(&content);
    identity.map(Some).map_err(|error| Error::Corrupt {
        path,
        offset: 0,
        reason: error.to_string(),
    })
}

/// Writes and syncs the identity file.
pub fn save(identity: &VoterId, storage: &mut dyn Storage) -> Result<()> {
    let content = serde_json::to_vec(identity).map_err(|error| Error::Decode {
        what: "identity",
        reason: error.to_string(),
    })?;
    replace_file(storage, NAME, &[&content])
        .map_err(|source| Error::file(storage.path(NAME), source))
}
