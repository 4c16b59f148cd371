use crate::ids::{FencingNumber, ModelId, TargetId, VmId};

/// What an engine is to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderAction {
    /// Take a model or adapter into memory.
    Load,
    /// Drop a model or adapter.
    Unload,
}

/// An order to one engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineOrder {
    /// The engine that is meant.
    pub target: TargetId,
    /// What it is to do.
    pub action: OrderAction,
    /// Model, or `model/adapter`.
    pub model: ModelId,
    /// Orders that the engine must have accepted before; another count voids the order.
    pub expected_orders: u64,
    /// VM that gives the order.
    pub holder: VmId,
    /// Number that grows with each holder.
    pub fence: FencingNumber,
}

/// Answer of an engine to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderResponse {
    /// The engine carries the order out.
    Accepted,
    /// What was ordered holds already.
    Holds,
    /// Another order is under way, or the count of orders differs.
    Busy,
    /// A later holder has given orders.
    Fenced,
    /// The order cannot be carried out there.
    Refused,
}
