//! Gateway that forwards callers' requests to targets according to the serving plan; see
//! docs/platform.md.

mod absence_watch;
mod admission;
mod caller_server;
mod config;
mod connections;
mod coordinator_list;
mod counted_stream;
mod crash_watch;
mod daemon;
mod exchange;
mod grant_pacing;
mod grant_work;
mod grants;
mod list_fallback;
mod liveness;
mod loads;
mod part_watch;
mod plan_lease;
mod plan_news;
mod proxy;
mod readiness;
mod relay;
mod request;
mod resumption;
mod retry_delay;
mod room;
mod routing;
mod stream_origins;
mod sync_client;
mod sync_pacing;
mod sync_peers;
mod targets;
mod view;

pub use absence_watch::AbsenceWatch;
pub use config::GatewayConfig;
pub use coordinator_list::CoordinatorList;
pub use crash_watch::CrashWatch;
pub use daemon::GatewayDaemon;
pub use grant_pacing::GrantPacing;
pub use list_fallback::ListFallback;
pub use loads::LoadAggregator;
pub use part_watch::{PartReport, PartWatch, RequestParts};
pub use plan_lease::{DoubtfulTime, PlanLease, PlanStanding};
pub use sync_pacing::SyncPacing;
pub use sync_peers::{SyncPeer, SyncPeers};
