use crate::ids::{FencingNumber, ModelId, TargetId, VmId};

/// Action that an order requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderAction {
    /// Load a model or adapter into memory.
    Load,
    /// Unload a model or adapter from memory.
    Unload,
}

/// An order to an engine to change the models that it has loaded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineOrder {
    /// Engine that the order is meant for.
    pub target: TargetId,
    /// Action that the engine is to carry out.
    pub action: OrderAction,
    /// Name of the model, or `model/adapter`.
    pub model: ModelId,
    /// Precondition: the number of orders that the engine must have accepted before this one.
    pub expected_orders: u64,
    /// VM of the leader that gives the order.
    pub holder: VmId,
    /// Fencing number, which grows with each change of the holder.
    pub fence: FencingNumber,
}

/// Response of an engine to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderResponse {
    /// The engine accepted the order and carries it out.
    Accepted,
    /// The engine is already in the requested state.
    Holds,
    /// Another order is in progress, or the number of accepted orders differs from the precondition.
    Busy,
    /// The engine has accepted an order with a higher fencing number, from a later holder.
    Fenced,
    /// The engine cannot carry out the order.
    Refused,
}
