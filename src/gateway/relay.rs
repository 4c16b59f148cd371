use std::{
    io,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
    time::Instant,
};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use spdlog::prelude::*;
use tokio::time::{Sleep, sleep_until};

use super::{
    connections::{TargetConnection, TargetConnections},
    exchange::LoadGuard,
};
use crate::{answer::AnswerFraming, ids::RequestId};

/// Body that relays a target's answer to the caller. An error aborts the caller's connection, so
/// that a truncated answer never looks complete.
pub struct RelayBody {
    incoming: Incoming,
    framing: AnswerFraming,
    relayed_bytes: usize,
    connection: Option<TargetConnection>,
    connections: Arc<TargetConnections>,
    guard: LoadGuard,
    timeout: Pin<Box<Sleep>>,
    request: RequestId,
    is_finished: bool,
}

impl RelayBody {
    /// Creates a body that relays `incoming` and fails if it is incomplete at `deadline`.
    pub fn new(
        incoming: Incoming,
        framing: AnswerFraming,
        connection: TargetConnection,
        connections: &Arc<TargetConnections>,
        guard: LoadGuard,
        deadline: Instant,
        request: RequestId,
    ) -> Self {
        Self {
            incoming,
            framing,
            relayed_bytes: 0,
            connection: Some(connection),
            connections: Arc::clone(connections),
            guard,
            timeout: Box::pin(sleep_until(deadline.into())),
            request,
            is_finished: false,
        }
    }

    fn complete(&mut self) {
        self.is_finished = true;
        if self.framing == AnswerFraming::Connection {
            info!("gateway: an answer ended with its connection", kv: {
                request = self.request.as_str(),
                target = self.guard.chosen.choice.target.as_str(),
                bytes = self.relayed_bytes,
            });
        }
        if let Some(connection) = self.connection.take() {
            let target = &self.guard.chosen.choice.target;
            self.connections.put_back(target, connection);
        }
    }

    fn fail(&mut self, reason: &str) -> io::Error {
        self.is_finished = true;
        self.connection = None;
        let target = &self.guard.chosen.choice.target;
        warn!("gateway: an answer was cut", kv: { request = self.request.as_str(), target = target.as_str(), reason = reason });
        io::Error::other(reason.to_owned())
    }
}

impl Body for RelayBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        let this = &mut *self;
        if this.is_finished {
            return Poll::Ready(None);
        }
        match Pin::new(&mut this.incoming).poll_frame(context) {
            Poll::Ready(Some(Ok(frame))) => {
                this.relayed_bytes += frame.data_ref().map_or(0, Bytes::len);
                this.guard
                    .targets
                    .record_activity(&this.guard.chosen.choice.target);
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(error))) => {
                let error = this.fail(&error.to_string());
                Poll::Ready(Some(Err(error)))
            }
            Poll::Ready(None) => {
                this.complete();
                Poll::Ready(None)
            }
            Poll::Pending if this.timeout.as_mut().poll(context).is_ready() => {
                let error = this.fail("the time is over");
                Poll::Ready(Some(Err(error)))
            }
            Poll::Pending => Poll::Pending,
        }
    }

    fn is_end_stream(&self) -> bool {
        self.is_finished || self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}

impl Drop for RelayBody {
    fn drop(&mut self) {
        // Hyper does not poll a body of known length again after its last byte.
        if !self.is_finished && self.incoming.is_end_stream() {
            self.complete();
        }
    }
}
