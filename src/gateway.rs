//! The gateway: forwards callers' requests to targets as the serving plan says; see
//! docs/platform.md.

mod admission;
mod config;
mod connections;
mod daemon;
mod exchange;
mod follower;
mod grants;
mod loads;
mod pools;
mod port;
mod proxy;
mod ready;
mod relay;
mod request;
mod targets;
mod view;

pub use config::GatewayConfig;
pub use daemon::GatewayDaemon;
pub use loads::LoadBook;
