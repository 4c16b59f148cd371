//! Streams that callers take up after they broke off: they go on at the version that began them, or not.

use std::time::{Duration, Instant};

use futures::future::join_all;
use rand::Rng;
use spdlog::prelude::*;

use super::{
    proxy::{GatewayProxy, unavailable},
    request::GatewayRequest,
    stream_origins::{StreamRun, stream_key},
};
use crate::{
    adapter::{RefusalKind, RefusalNotice},
    ids::TargetId,
    sync::{StreamOrigin, StreamQuery},
};

/// Share of the time left that a request waits until it is known which version began its stream.
const ORIGIN_WAIT_SHARE: f64 = 0.25;
/// Maximum of that wait. The gateway that ran a stream reports it as soon as it breaks.
const MAX_ORIGIN_WAIT: Duration = Duration::from_millis(700);

impl GatewayProxy {
    /// Finds out which version began the stream that a request takes up.
    ///
    /// # Errors
    /// A refusal if that is not known, or no target runs the version any more.
    pub(super) async fn resolve_origin(
        &self,
        request: &mut GatewayRequest,
    ) -> Result<(), RefusalNotice> {
        if !request.is_resuming() {
            return Ok(());
        }
        let wait = request.time_left().mul_f64(ORIGIN_WAIT_SHARE);
        let deadline = Instant::now() + wait.min(MAX_ORIGIN_WAIT);
        let first_attempt = request.metadata.first_attempt.as_deref();
        let shares = request.route.shares.iter();
        let resolved = shares.filter(|share| share.weight > 0).map(|share| {
            let service = share.service.clone();
            let stream = first_attempt.map(|attempt| stream_key(request, &service, attempt));
            let query = StreamQuery { service, stream };
            async move {
                let origin = self.stream_origins.resolve(query.clone(), deadline).await;
                (query.service, origin)
            }
        });
        let resolved = join_all(resolved).await;
        let is_answered = resolved.iter().any(|(_, origin)| origin.is_some());
        let recorded = resolved.iter().find_map(|(service, origin)| match origin {
            Some(StreamOrigin::Recorded(version)) => Some((service.clone(), version.clone())),
            _ => None,
        });
        let drawn = request.route.service(rand::rng().random());
        let only = resolved.iter().find_map(|(service, origin)| match origin {
            Some(StreamOrigin::OnlyVersion(version)) if Some(service) == drawn => {
                Some((service.clone(), version.clone()))
            }
            _ => None,
        });
        let origin = recorded.or(only);
        let is_served = origin.as_ref().is_some_and(|(service, version)| {
            let (same, _) = self.targets.split_by_software(service, version);
            self.targets.is_any_in(&same, &request.scope.data_centres)
        });
        info!("gateway: takes up a stream", kv: {
            request = request.log_id(),
            first_attempt = first_attempt.unwrap_or("-"),
            version = origin.as_ref().map_or("-", |(_, version)| version.as_str()),
            is_answered = is_answered,
            is_served = is_served,
        });
        let failed = |reason| Err(RefusalNotice::new(RefusalKind::TargetFailed, reason));
        match origin {
            Some(_) if !is_served => failed("the version that began the stream is gone"),
            Some(_) => {
                request.origin = origin;
                Ok(())
            }
            None if is_answered => failed("it is not known which version began the stream"),
            None => Err(unavailable(
                "no leader knows which version began the stream",
            )),
        }
    }

    /// Records the version that begins a stream, which its caller may take up later.
    pub(super) fn begin_stream(
        &self,
        request: &GatewayRequest,
        is_success: bool,
        target: &TargetId,
    ) -> Option<StreamRun> {
        let is_first = request.route.kind.is_stream() && is_success && !request.is_resuming();
        let attempt = request
            .metadata
            .request_id
            .as_deref()
            .filter(|_| is_first)?;
        let entry = self.targets.entry(target)?;
        let stream = stream_key(request, &entry.service, attempt);
        Some(
            self.stream_origins
                .begin(stream, &entry.service, &entry.software),
        )
    }
}
