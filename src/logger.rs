//! Set-up of the log; see docs/operators.md.

use spdlog::{Level, LevelFilter};

/// Lets through messages at `level` and above.
pub fn set_level(level: Level) {
    spdlog::default_logger().set_level_filter(LevelFilter::MoreSevereEqual(level));
}
