use clap::{ValueEnum, builder::PossibleValue};

/// Whether a stand-in does something.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Switch {
    /// It does.
    On,
    /// It does not.
    Off,
}

impl Switch {
    /// Whether the switch is on.
    #[must_use]
    pub fn is_on(self) -> bool {
        self == Self::On
    }
}

impl ValueEnum for Switch {
    fn value_variants<'a>() -> &'a [Self] {
        &[Self::On, Self::Off]
    }

    fn to_possible_value(&self) -> Option<PossibleValue> {
        let name = match self {
            Self::On => "on",
            Self::Off => "off",
        };
        Some(PossibleValue::new(name))
    }
}

/// Behaviour of a stand-in engine. Times are in milliseconds.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// Number of accelerators.
    pub accelerators: u32,
    /// Memory of each accelerator in MiB.
    pub memory_mib: u64,
    /// Whether an order that exceeds the memory is refused. When off, the excess is carried out and
    /// shows in the record, so that tests see who gave the order.
    pub checks_memory: Switch,
    /// Whether an order with an old fencing number is refused.
    pub checks_fencing: Switch,
    /// Time to load a copy.
    pub load_ms: u64,
    /// Time to unload a copy; its memory is taken until then.
    pub unload_ms: u64,
    /// Time per generated token.
    pub token_ms: u64,
    /// Requests that run at once; more wait by priority.
    pub slots: u32,
    /// Blocks of the prefix cache.
    pub cache_blocks: usize,
    /// Time after which a cache event is published.
    pub event_delay_ms: u64,
    /// Every event whose number is a multiple of this is never published; 0 publishes all.
    pub event_gap: u64,
    /// Greatest age of a report.
    pub report_lag_ms: u64,
    /// Whether `X-Request-Id` is echoed.
    pub echoes_ids: Switch,
    /// Whether broken streams can be resumed.
    pub resumes: Switch,
    /// Version of the software that responses name; empty if they name none.
    pub software: String,
}

impl Default for EngineOptions {
    fn default() -> Self {
        Self {
            accelerators: 1,
            memory_mib: 81_920,
            checks_memory: Switch::Off,
            checks_fencing: Switch::On,
            load_ms: 0,
            unload_ms: 0,
            token_ms: 5,
            slots: 16,
            cache_blocks: 4_096,
            event_delay_ms: 0,
            event_gap: 0,
            report_lag_ms: 0,
            echoes_ids: Switch::On,
            resumes: Switch::On,
            software: String::new(),
        }
    }
}

/// Behaviour of a stand-in service. Times are in milliseconds.
#[derive(Clone, Debug)]
pub struct ServiceOptions {
    /// Time that a response takes.
    pub response_ms: u64,
    /// Whether `X-Request-Id` is echoed.
    pub echoes_ids: Switch,
}

impl Default for ServiceOptions {
    fn default() -> Self {
        Self {
            response_ms: 0,
            echoes_ids: Switch::On,
        }
    }
}
