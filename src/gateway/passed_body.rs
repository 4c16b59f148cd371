use std::{
    io,
    net::SocketAddr,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
    time::Instant,
};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use spdlog::prelude::*;
use tokio::time::{Sleep, sleep_until};

use super::connections::{TargetConnection, TargetConnections};
use crate::ids::{RequestId, TargetId};

/// Body that relays the answer of a neighbour to the caller. An error aborts the caller's connection, so that
/// an answer that breaks off never looks complete.
pub struct PassedBody {
    incoming: Incoming,
    connection: Option<TargetConnection>,
    connections: Arc<TargetConnections>,
    neighbour: SocketAddr,
    request: RequestId,
    timeout: Pin<Box<Sleep>>,
    is_finished: bool,
    /// Why the answer was cut, until the caller's connection is aborted.
    failure: Option<io::Error>,
}

impl PassedBody {
    /// Creates a body that fails if it is incomplete at `deadline`.
    pub fn new(
        incoming: Incoming,
        connection: TargetConnection,
        connections: &Arc<TargetConnections>,
        neighbour: SocketAddr,
        request: RequestId,
        deadline: Instant,
    ) -> Self {
        Self {
            incoming,
            connection: Some(connection),
            connections: Arc::clone(connections),
            neighbour,
            request,
            timeout: Box::pin(sleep_until(deadline.into())),
            is_finished: false,
            failure: None,
        }
    }

    fn complete(&mut self) {
        self.is_finished = true;
        if let Some(connection) = self.connection.take() {
            let key = connection_key(self.neighbour);
            self.connections.put_back(&key, connection);
        }
    }

    /// Cuts the answer. The failure is reported by the next poll, since the server discards bytes that it has
    /// not sent when a body fails.
    fn fail(&mut self, reason: String, context: &Context<'_>) {
        self.is_finished = true;
        self.connection = None;
        warn!("gateway: a passed request's answer was cut", kv: {
            request = self.request.as_str(),
            neighbour:? = self.neighbour,
            reason = reason.as_str(),
        });
        self.failure = Some(io::Error::other(reason));
        context.waker().wake_by_ref();
    }
}

/// Returns the name under which connections to a neighbour are pooled.
pub fn connection_key(neighbour: SocketAddr) -> TargetId {
    compact_str::format_compact!("{neighbour}")
}

impl Body for PassedBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        let this = &mut *self;
        if this.is_finished {
            return Poll::Ready(this.failure.take().map(Err));
        }
        match Pin::new(&mut this.incoming).poll_frame(context) {
            Poll::Ready(Some(Ok(frame))) => {
                if let Some(connection) = &this.connection {
                    connection.record_content();
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(error))) => {
                this.fail(error.to_string(), context);
                Poll::Pending
            }
            Poll::Ready(None) => {
                this.complete();
                Poll::Ready(None)
            }
            Poll::Pending if this.timeout.as_mut().poll(context).is_ready() => {
                this.fail("the time is over".to_owned(), context);
                Poll::Pending
            }
            Poll::Pending => Poll::Pending,
        }
    }

    fn is_end_stream(&self) -> bool {
        (self.is_finished && self.failure.is_none())
            || (!self.is_finished && self.incoming.is_end_stream())
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}

impl Drop for PassedBody {
    fn drop(&mut self) {
        // Hyper does not poll a body of known length again after its last byte.
        if !self.is_finished && self.is_end_stream() {
            self.complete();
        }
    }
}
