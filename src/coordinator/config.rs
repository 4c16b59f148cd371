use std::{
    net::{IpAddr, SocketAddr},
    path::PathBuf,
    time::Duration,
};

use crate::ids::{DataCentreId, VmId};

/// Settings of a coordinator: a control daemon that serves gateways.
#[derive(Clone, Debug)]
pub struct CoordinatorConfig {
    /// VM that the daemon runs on.
    pub vm: VmId,
    /// Data centre of the VM.
    pub data_centre: DataCentreId,
    /// Folder for all durable state.
    pub data_folder: PathBuf,
    /// Address of the VM.
    pub address: IpAddr,
    /// Port for other coordinators and for gateways, the same on every VM.
    pub system_port: u16,
    /// Address for operators.
    pub operator_listen: SocketAddr,
    /// System addresses of some coordinators.
    pub seeds: Vec<SocketAddr>,
    /// Whether the fleet starts for the first time.
    pub is_bootstrap: bool,
    /// Voters that the log is to have: enough to bear the losses that are planned for.
    pub voters: usize,
    /// Time during which a former holder of orders may still act.
    pub holder_lease: Duration,
}
