use compact_str::CompactString;

use crate::border::{AdapterConfig, KeyConfig, ModelConfig, RouteConfig, TargetConfig, TeamConfig};

/// A part of the configuration that has an id, unique among the parts of its list.
pub trait NamedConfig {
    /// Returns the id.
    fn id(&self) -> &CompactString;
}

macro_rules! named {
    ($($config:ty),*) => {
        $(impl NamedConfig for $config {
            fn id(&self) -> &CompactString {
                &self.id
            }
        })*
    };
}

named!(
    AdapterConfig,
    KeyConfig,
    ModelConfig,
    RouteConfig,
    TargetConfig,
    TeamConfig
);
