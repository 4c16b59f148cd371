use std::net::SocketAddr;

use futures::future::BoxFuture;
use hyper::{HeaderMap, StatusCode, http::request::Parts};

use super::{
    EngineOrder, EngineStatus, ForwardMetadata, OrderResponse, RefusalNotice, RequestMetadata,
    ResponseMetadata, TargetEntry,
};
use crate::{error::Result, plan::ServingPlan};

/// A call to the platform or to a target.
pub type PlatformFuture<'c, T> = BoxFuture<'c, Result<T>>;

/// Translates between the platform's interfaces and the product's types. It decides nothing and
/// keeps no state.
pub trait PlatformAdapter: Send + Sync {
    /// Reads the head of a caller's request.
    fn parse_request(&self, parts: &Parts) -> RequestMetadata;

    /// Removes what only concerns the caller's connection or is the gateway's to set, and adds what
    /// a target needs to know.
    fn prepare_request(&self, headers: &mut HeaderMap, facts: &ForwardMetadata<'_>);

    /// Reads the head of a target's answer.
    fn parse_response(&self, status: StatusCode, headers: &HeaderMap) -> ResponseMetadata;

    /// Returns the status and headers of an answer that a gateway gives itself.
    fn build_refusal(&self, notice: &RefusalNotice) -> (StatusCode, HeaderMap);

    /// Returns the id at the start of an event of a stream, when `line` is such a line.
    fn event_id<'l>(&self, line: &'l [u8]) -> Option<&'l [u8]>;

    /// Decodes and validates a plan document.
    ///
    /// # Errors
    /// When the document is not a valid plan.
    fn decode_plan(&self, document: &[u8]) -> Result<ServingPlan>;

    /// Asks the platform which targets there are.
    fn list_targets(&self) -> PlatformFuture<'_, Vec<TargetEntry>>;

    /// Asks an engine for its state.
    fn engine_status(&self, engine: SocketAddr) -> PlatformFuture<'_, EngineStatus>;

    /// Gives an order to an engine.
    fn send_order<'c>(
        &'c self,
        engine: SocketAddr,
        order: &'c EngineOrder,
    ) -> PlatformFuture<'c, OrderResponse>;
}
