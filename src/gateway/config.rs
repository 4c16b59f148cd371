use std::{net::SocketAddr, sync::Arc, time::Duration};

use super::plan_lease::PlanLease;
use crate::{
    admission::AdmissionOrder,
    ids::{DataCentreId, RegionId, VmId},
    region::RegionTable,
    warmup::WarmupBounds,
};

/// Settings of a gateway.
#[derive(Clone, Debug)]
pub struct GatewayConfig {
    /// VM that the gateway runs on.
    pub vm: VmId,
    /// Data centre of the VM.
    pub data_centre: DataCentreId,
    /// Region of the VM, for the log; `None` if the settings name none.
    pub region: Option<RegionId>,
    /// Regions of all data centres, by which targets are allowed or not.
    pub regions: Arc<RegionTable>,
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
    /// Bounds on requests to cold targets; `None` if there is no limit.
    pub warmup_bounds: Option<WarmupBounds>,
    /// Order in which waiting requests get slots that become free.
    pub admission_order: AdmissionOrder,
    /// Time between SIGTERM and the kill of the process.
    pub grace_period: Duration,
}
