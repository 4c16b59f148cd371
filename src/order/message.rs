use serde::{Deserialize, Serialize};

use crate::{ids::FencingNumber, sync::ResidentCopy};

/// JSON body of `POST /engine/v1/order`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// Number that increases with each order. An engine that checks it refuses orders with older
    /// numbers.
    pub fencing: FencingNumber,
    /// What the engine is ordered to do.
    pub action: OrderAction,
}

/// Action that an engine is ordered to carry out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderAction {
    /// Load this copy. Its field `is_ready` is ignored.
    Load(ResidentCopy),
    /// Unload this copy. Its field `is_ready` is ignored.
    Unload(ResidentCopy),
}

/// An engine's answer to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderAnswer {
    /// The order was accepted. The engine's report shows when it has been carried out.
    Accepted,
    /// The order was refused because its fencing number is old.
    OldFencing,
    /// The order was refused because the copy does not fit into the engine's memory.
    NoMemory,
}
