use std::{net::SocketAddr, time::Duration};

use crate::ids::{DataCentreId, VmId};

/// Settings of a gateway.
#[derive(Clone, Debug)]
pub struct GatewayConfig {
    /// VM that the gateway runs on.
    pub vm: VmId,
    /// Data centre of the VM.
    pub data_centre: DataCentreId,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address at which the load balancer asks whether the gateway takes connections.
    pub ready_listen: SocketAddr,
    /// Address at which other gateways tell what they send where, over UDP.
    pub load_listen: SocketAddr,
    /// System addresses of coordinators that are known at the start.
    pub coordinators: Vec<SocketAddr>,
    /// Time from SIGTERM until the process is killed.
    pub grace: Duration,
}
