//! Load program: drives entries as callers do, checks every answer and writes one report.
//!
//! It starts no process and injects no fault itself; tests and operators do that beside it.

mod answer;
mod arrivals;
mod caller;
mod report;
mod run;
mod shape;

pub use arrivals::ArrivalTimes;
pub use report::{LatencyFigures, LoadReport, TeamFigures};
pub use run::{LoadRun, LoadSettings};
pub use shape::{LoadShape, RequestKind, TeamShape};
