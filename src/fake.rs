//! Stand-ins for targets, for tests, the development fleet and the load program.

mod engine;
mod service;

pub use engine::FakeEngine;
pub use service::FakeService;
