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
    /// Folder for all durable state.
    pub data_folder: PathBuf,
    /// Port for voters and entries.
    pub system_listen: ListenAddress,
    /// Port for operators.
    pub admin_listen: ListenAddress,
    /// The control daemons that found a new fleet, this one among them; when this daemon joins an
    /// existing fleet, some of its members.
    pub voters: Vec<VoterAddress>,
    /// System addresses of some control daemons of the fleet, in place of `voters`, when the members
    /// find each other by themselves.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Whether a new data folder joins an existing fleet as a learner and never founds one.
    #[serde(default)]
    pub join: bool,
    /// File with the secret that the system's own processes share.
    pub system_secret_file: PathBuf,
    /// File with the bearer token of operators.
    pub admin_token_file: PathBuf,
    /// The platform's list of live and leaving VMs; without it, only operators and the targets
    /// themselves say what leaves.
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
