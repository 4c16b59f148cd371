use std::{net::SocketAddr, path::PathBuf};

use serde::{Deserialize, Serialize};

use super::{CheckedConfig, ListenAddress, PlatformSource, VoterAddress};
use crate::{
    error::Result,
    ids::{DataCentreId, VmId},
};

/// Settings of a control daemon; see docs/operators.md.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlConfig {
    /// VM that this daemon runs on.
    pub vm: VmId,
    /// Data centre of the VM.
    pub data_centre: DataCentreId,
    /// Folder for all persistent state.
    pub data_folder: PathBuf,
    /// Listen address for voters and entries.
    pub system_listen: ListenAddress,
    /// Listen address for operators.
    pub admin_listen: ListenAddress,
    /// Initial control daemons of a new fleet, including this one; when this daemon joins an
    /// existing fleet, some of its members.
    pub voters: Vec<VoterAddress>,
    /// System addresses of some control daemons of the fleet, used instead of `voters` when the
    /// members discover each other.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Whether a daemon with a new data folder joins an existing fleet as a learner and never
    /// bootstraps a new one.
    #[serde(default)]
    pub join: bool,
    /// File with the secret shared by the system's own processes.
    pub system_secret_file: PathBuf,
    /// File with the bearer token for operators.
    pub admin_token_file: PathBuf,
    /// Source of the platform's list of live and leaving VMs; without it, only operators and the
    /// targets themselves report which targets are leaving.
    #[serde(default)]
    pub platform_list: Option<PlatformSource>,
}

impl CheckedConfig for ControlConfig {
    fn check(&self) -> Result<(), (String, String)> {
        let error = |field: &str, reason: &str| Err((field.to_owned(), reason.to_owned()));
        match self {
            config if config.vm.is_empty() => error("vm", "must not be empty"),
            config if !config.seeds.is_empty() => Ok(()),
            config if config.voters.is_empty() => {
                error("voters", "must name at least one control daemon")
            }
            config if config.join => Ok(()),
            config if config.voters.len().is_multiple_of(2) => {
                error("voters", "must name an odd number of control daemons")
            }
            config if config.voters.iter().all(|voter| voter.vm != config.vm) => {
                error("voters", "must name this VM")
            }
            _ => Ok(()),
        }
    }
}
