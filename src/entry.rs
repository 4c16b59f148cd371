//! The entry daemon: authenticates, admits, routes and streams callers' requests.

mod body;
mod caller_port;
mod candidates;
mod claim;
mod context;
mod control_client;
mod crash;
mod credential;
mod daemon;
mod dispatch;
mod event;
mod exchange;
mod follow;
mod guard;
mod header;
mod in_flight;
mod management;
mod metrics;
mod model;
mod model_stream;
mod outgoing;
mod phase;
mod plain_stream;
mod proxy;
mod refusal;
mod request;
mod retries;
mod service;
mod target_pool;
mod view;

pub use daemon::EntryDaemon;
pub use refusal::CallerError;
