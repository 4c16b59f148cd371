use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::{DataCentreId, VmId};

/// Addresses of a control daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VoterAddress {
    /// VM that the control daemon runs on.
    pub vm: VmId,
    /// Data centre of the VM.
    pub data_centre: DataCentreId,
    /// Address of the system port, for voters and entries.
    pub system: SocketAddr,
    /// Address of the administration port, for operators.
    pub admin: SocketAddr,
}
