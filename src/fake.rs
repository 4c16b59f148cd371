//! Stand-ins for targets, for tests, the development fleet and the load program.
//!
//! docs/engine-interface.md describes the interface that the stand-in engine implements.

mod engine;
mod engine_calls;
mod engine_orders;
mod engine_state;
mod fault;
mod options;
mod prefix_cache;
mod prompt;
mod record;
mod service;
mod slots;
mod token_stream;

pub use engine::FakeEngine;
pub use fault::Faults;
pub use options::{EngineOptions, ServiceOptions, Switch};
pub use record::{RequestRecord, RequestState};
pub use service::FakeService;
