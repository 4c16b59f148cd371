//! Serves many models to many teams on fewer accelerators.
//!
//! The design is in docs/design.md; the modules below follow its sections.

pub mod adapter;
pub mod admission;
pub mod allowance;
pub mod answer;
#[rustfmt::skip] // Generated; a test compares it with the output of the generator.
pub mod border;
pub mod brittle;
pub mod clap_app;
pub mod client;
pub mod clock;
pub mod code;
pub mod config;
pub mod control;
pub mod coordinator;
pub mod dev;
pub mod entry;
pub mod error;
pub mod fair;
pub mod fake;
pub mod fleet;
pub mod gateway;
pub mod ids;
pub mod journal;
pub mod load;
pub mod logger;
pub mod operator;
pub mod order;
pub mod pace;
pub mod placement;
pub mod plan;
pub mod raft;
pub mod region;
pub mod route;
pub mod server;
pub mod soft_state;
pub mod state;
pub mod sync;
pub mod voter;
pub mod warmup;
