use std::{net::SocketAddr, time::Duration};

use super::plan_lease::PlanLease;
use crate::admission::AdmissionOrder;
use crate::ids::{DataCentreId, VmId};

/// Settings of a gateway.
#[derive(Clone, Debug)]
pub struct GatewayConfig {
    /// VM that the gateway runs on.
    pub vm: VmId,
    /// Data centre of the VM.
    pub data_centre: DataCentreId,
    /// Address at which callers' requests are accepted.
    pub caller_listen: SocketAddr,
    /// Address for the readiness checks of the load balancer.
    pub ready_listen: SocketAddr,
    /// UDP address at which other gateways report the load that they cause at targets.
    pub load_listen: SocketAddr,
    /// System addresses of the coordinators that are known at start-up.
    pub coordinators: Vec<SocketAddr>,
    /// Calls per second that the platform accepts from the whole fleet for its list of targets.
    pub list_calls_per_second: f64,
    /// How long the gateway goes on by its plan without a proof that it is the newest one.
    pub plan_lease: PlanLease,
    /// Order in which waiting requests get slots that become free.
    pub admission_order: AdmissionOrder,
    /// Time between SIGTERM and the kill of the process.
    pub grace_period: Duration,
}
