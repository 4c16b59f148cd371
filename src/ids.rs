//! Type aliases for the ids that cross module borders.

mod entry_key;

use compact_str::CompactString;
use serde_bytes::ByteArray;

pub use entry_key::EntryKey;

/// Names a VM, unique in the fleet.
pub type VmId = CompactString;
/// Names a data centre.
pub type DataCentreId = CompactString;
/// Names a team.
pub type TeamId = CompactString;
/// Names a key; it is not the key itself.
pub type KeyId = CompactString;
/// Names a model or an adapter, as callers address it.
pub type ModelId = CompactString;
/// Names one version of a model or an adapter.
pub type VersionId = CompactString;
/// Names a target.
pub type TargetId = CompactString;
/// Names a plain service, which has one or more targets.
pub type ServiceId = CompactString;
/// Names a route.
pub type RouteId = CompactString;
/// Names one request of a caller or an operator.
pub type RequestId = CompactString;

/// Number of an accepted configuration; 0 is the empty configuration of a new fleet.
pub type Revision = u64;
/// Distinguishes the lives of a process or a data folder that share a VM.
pub type Incarnation = u64;
/// Term of the replicated log.
pub type Term = u64;
/// Position in the replicated log; the first entry has index 1.
pub type LogIndex = u64;
/// Grows with each order that any leader gives; see docs/design.md, section 12.
pub type FencingNumber = u64;

/// Idempotency key that a caller sent; a UUID version 7, whose timestamp tells its age.
pub type IdempotencyKey = uuid::Uuid;
/// BLAKE3 keyed hash of a request's method, path and body.
pub type BodyHash = ByteArray<32>;
/// First 16 bytes of the keyed hash of route, model and body of a request.
pub type Fingerprint = ByteArray<16>;
/// Numbers the attempts of one entry incarnation, so that a resent command is recognised.
pub type Attempt = u64;
/// Highest kind of command that every voter can apply.
pub type CommandLevel = u32;
