//! A whole fleet in one process, for trying the system out and for developing against it.

mod fleet;
mod settings;

pub use fleet::DevFleet;
pub use settings::DevSettings;
