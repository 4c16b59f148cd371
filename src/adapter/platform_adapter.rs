use std::net::SocketAddr;

use futures::future::BoxFuture;
use hyper::{HeaderMap, StatusCode, http::request::Parts};

use super::{
    EngineOrder, EngineStatus, ForwardMetadata, OrderResponse, RefusalNotice, RequestMetadata,
    ResponseMetadata, TargetEntry,
};
use crate::{error::Result, plan::ServingPlan};

/// Future of a call to the platform or to an engine.
pub type PlatformFuture<'c, T> = BoxFuture<'c, Result<T>>;

/// Translates between the platform's interfaces and the types of this crate. Implementations make
/// no decisions and keep no state.
pub trait PlatformAdapter: Send + Sync {
    /// Parses the head of a caller's request.
    fn parse_request(&self, parts: &Parts) -> RequestMetadata;

    /// Prepares the headers of a caller's request for forwarding to a target.
    ///
    /// Headers that only concern the caller's connection and those that only a gateway may set are
    /// removed; the metadata is added.
    fn prepare_request(&self, headers: &mut HeaderMap, metadata: &ForwardMetadata<'_>);

    /// Parses the head of a target's response.
    fn parse_response(&self, status: StatusCode, headers: &HeaderMap) -> ResponseMetadata;

    /// Builds the status and headers of a response that the gateway itself gives.
    fn build_refusal(&self, notice: &RefusalNotice) -> (StatusCode, HeaderMap);

    /// Returns the event id if `line` of an event stream has one.
    fn event_id<'l>(&self, line: &'l [u8]) -> Option<&'l [u8]>;

    /// Decodes and validates a plan document.
    ///
    /// # Errors
    /// An error when the document is not a valid plan.
    fn decode_plan(&self, document: &[u8]) -> Result<ServingPlan>;

    /// Fetches the platform's list of targets.
    fn list_targets(&self) -> PlatformFuture<'_, Vec<TargetEntry>>;

    /// Fetches the status of an engine.
    fn engine_status(&self, engine: SocketAddr) -> PlatformFuture<'_, EngineStatus>;

    /// Sends an order to an engine.
    fn send_order<'c>(
        &'c self,
        engine: SocketAddr,
        order: &'c EngineOrder,
    ) -> PlatformFuture<'c, OrderResponse>;
}
