use std::{
    net::{IpAddr, SocketAddr},
    path::PathBuf,
    sync::Arc,
    time::Duration,
};

use crate::{
    ids::{DataCentreId, VmId},
    region::RegionTable,
    warmup::WarmupBounds,
};

/// Settings of a coordinator, a control daemon that serves gateways.
#[derive(Clone, Debug)]
pub struct CoordinatorConfig {
    /// VM on which the daemon runs.
    pub vm: VmId,
    /// Data centre of the VM.
    pub data_centre: DataCentreId,
    /// Regions of all data centres, by which copies of models are placed for requests with allowed
    /// regions.
    pub regions: Arc<RegionTable>,
    /// Folder with all durable state.
    pub data_folder: PathBuf,
    /// Address of the VM.
    pub address: IpAddr,
    /// Port for other coordinators and for gateways. It is the same on every VM.
    pub system_port: u16,
    /// Address of the operators' API.
    pub operator_listen: SocketAddr,
    /// System addresses of some coordinators, through which the others are found.
    pub seeds: Vec<SocketAddr>,
    /// Whether the daemon bootstraps a new fleet instead of joining an existing one.
    pub is_bootstrap: bool,
    /// Intended number of voters of the replicated log, which determines how many of them may be
    /// lost.
    pub voter_count: usize,
    /// Time after the start of a new or repaired VM by which another one may be lost.
    pub catch_up: Duration,
    /// Time after a change of leader during which orders of the former leader may still be carried
    /// out.
    pub holder_lease: Duration,
    /// Time for which a sync gives a gateway a lease on its plan; the gateways have the same setting.
    pub plan_lease: Duration,
    /// Bounds on requests to cold targets; `None` if there is no limit.
    pub warmup_bounds: Option<WarmupBounds>,
}
