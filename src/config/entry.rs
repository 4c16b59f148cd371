use std::{collections::BTreeMap, net::SocketAddr, path::PathBuf};

use serde::{Deserialize, Serialize};

use super::{CheckedConfig, ListenAddress};
use crate::{
    error::Result,
    ids::{DataCentreId, VmId},
    logger::LogFormat,
};

/// Settings of an entry daemon; see docs/operators.md.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntryConfig {
    /// VM that this daemon runs on.
    pub vm: VmId,
    /// Data centre of the VM.
    pub data_centre: DataCentreId,
    /// Listen address for callers.
    pub listen: ListenAddress,
    /// System addresses of the control daemons.
    pub control: Vec<SocketAddr>,
    /// File with the secret shared by the system's own processes.
    pub system_secret_file: PathBuf,
    /// File with the secret for hashing callers' keys.
    pub key_hash_secret_file: PathBuf,
    /// Maximum age of the freshness proof at which keyed routes are still served, in milliseconds.
    #[serde(default = "default_freshness_bound_ms")]
    pub freshness_bound_ms: u64,
    /// Time limit for running requests after SIGTERM, in milliseconds.
    #[serde(default = "default_drain_timeout_ms")]
    pub drain_timeout_ms: u64,
    /// Delay between reporting unreadiness and refusing new work, in milliseconds, so that the load
    /// balancer can redirect callers first.
    #[serde(default = "default_drain_delay_ms")]
    pub drain_delay_ms: u64,
    /// Listen address for health checks and metrics; without it, neither is served.
    #[serde(default)]
    pub manage_listen: Option<ListenAddress>,
    /// Maximum time to the first token that counts as attained, in milliseconds.
    #[serde(default = "default_first_token_target_ms")]
    pub first_token_target_ms: u64,
    /// Maximum mean interval between tokens that counts as attained, in milliseconds.
    #[serde(default = "default_inter_token_target_ms")]
    pub inter_token_target_ms: u64,
    /// Round-trip time from this entry to each data centre, in milliseconds.
    #[serde(default)]
    pub data_centre_rtt_ms: BTreeMap<DataCentreId, u64>,
    /// Log format.
    #[serde(default)]
    pub log: LogFormat,
}

fn default_drain_delay_ms() -> u64 {
    500
}

fn default_first_token_target_ms() -> u64 {
    320
}

fn default_inter_token_target_ms() -> u64 {
    36
}

fn default_freshness_bound_ms() -> u64 {
    2_000
}

fn default_drain_timeout_ms() -> u64 {
    60_000
}

impl CheckedConfig for EntryConfig {
    fn check(&self) -> Result<(), (String, String)> {
        let error = |field: &str, reason: &str| Err((field.to_owned(), reason.to_owned()));
        match self {
            config if config.vm.is_empty() => error("vm", "must not be empty"),
            config if config.control.is_empty() => {
                error("control", "must name at least one control daemon")
            }
            config if !(200..=3_000).contains(&config.freshness_bound_ms) => {
                error("freshness_bound_ms", "must be from 200 to 3000")
            }
            config if config.drain_delay_ms > config.drain_timeout_ms => {
                error("drain_delay_ms", "must not exceed drain_timeout_ms")
            }
            config if config.manage_listen == Some(config.listen) => {
                error("manage_listen", "must differ from listen")
            }
            _ => Ok(()),
        }
    }
}
