use std::net::SocketAddr;

use futures::future::BoxFuture;
use hyper::{HeaderMap, StatusCode, http::request::Parts};

use super::{
    AnswerFacts, CallerFacts, EngineOrder, EngineStatus, OrderAnswer, RefusalNotice, SendFacts,
    TargetEntry,
};
use crate::{error::Result, plan::ServingPlan};

/// A call to the platform or to a target.
pub type PlatformCall<'c, T> = BoxFuture<'c, Result<T>>;

/// Translates between the platform's interfaces and the product's types. It decides nothing and
/// keeps no state.
pub trait PlatformAdapter: Send + Sync {
    /// Reads the head of a caller's request.
    fn read_request(&self, parts: &Parts) -> CallerFacts;

    /// Removes what only concerns the caller's connection or is the gateway's to set, and adds what
    /// a target needs to know.
    fn write_request(&self, headers: &mut HeaderMap, facts: &SendFacts<'_>);

    /// Reads the head of a target's answer.
    fn read_answer(&self, status: StatusCode, headers: &HeaderMap) -> AnswerFacts;

    /// Returns the status and headers of an answer that a gateway gives itself.
    fn write_refusal(&self, notice: &RefusalNotice) -> (StatusCode, HeaderMap);

    /// Returns the id at the start of an event of a stream, when `line` is such a line.
    fn event_id<'l>(&self, line: &'l [u8]) -> Option<&'l [u8]>;

    /// Decodes and validates a plan document.
    ///
    /// # Errors
    /// When the document is not a valid plan.
    fn decode_plan(&self, document: &[u8]) -> Result<ServingPlan>;

    /// Asks the platform which targets there are.
    fn list_targets(&self) -> PlatformCall<'_, Vec<TargetEntry>>;

    /// Asks an engine for its state.
    fn engine_status(&self, engine: SocketAddr) -> PlatformCall<'_, EngineStatus>;

    /// Gives an order to an engine.
    fn give_order<'c>(
        &'c self,
        engine: SocketAddr,
        order: &'c EngineOrder,
    ) -> PlatformCall<'c, OrderAnswer>;
}
