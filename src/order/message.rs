use serde::{Deserialize, Serialize};

use crate::{ids::FencingNumber, sync::ResidentCopy};

/// An order at `POST /engine/v1/order`, as JSON.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// Grows with each order; an engine that checks it refuses older ones.
    pub fencing: FencingNumber,
    /// What the engine is to do.
    pub action: OrderAction,
}

/// What an engine is ordered to do.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderAction {
    /// Load this copy; `ready` is ignored.
    Load(ResidentCopy),
    /// Unload this copy; `ready` is ignored.
    Unload(ResidentCopy),
}

/// An engine's answer to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderAnswer {
    /// The order was accepted; the engine's report tells when it is carried out.
    Accepted,
    /// The fencing number is old and the order was not accepted.
    OldFencing,
    /// The order does not fit and was not accepted.
    NoMemory,
}
