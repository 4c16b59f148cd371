//! Configuration of the process-wide logger; see docs/operators.md.

use serde::{Deserialize, Serialize};
use spdlog::{Level, LevelFilter, formatter::JsonFormatter};

/// Format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// One line of text per message.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// Sets the log format of this process.
pub fn set_format(format: LogFormat) {
    match format {
        LogFormat::Text => {}
        LogFormat::Json => {
            for sink in spdlog::default_logger().sinks() {
                sink.set_formatter(Box::new(JsonFormatter::new()));
            }
        }
    }
}

/// Sets the minimum severity of messages that are logged.
pub fn set_level(level: Level) {
    spdlog::default_logger().set_level_filter(LevelFilter::MoreSevereEqual(level));
}
