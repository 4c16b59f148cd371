use compact_str::CompactString;

use crate::border::{AdapterConfig, KeyConfig, ModelConfig, RouteConfig, TargetConfig, TeamConfig};

/// Configuration item with an id that is unique within its list.
pub trait NamedConfig {
    /// Returns the id of the item.
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
