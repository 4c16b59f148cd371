//! Type aliases for identifiers that several modules share.

mod entry_key;

use compact_str::CompactString;
use serde_bytes::ByteArray;

pub use entry_key::EntryKey;

/// Identifies a VM, unique in the fleet.
pub type VmId = CompactString;
/// Identifies a data centre.
pub type DataCentreId = CompactString;
/// Identifies a region, which has one or more data centres.
pub type RegionId = CompactString;
/// Identifies a team.
pub type TeamId = CompactString;
/// Identifies a key without being the secret key itself.
pub type KeyId = CompactString;
/// Identifies a model or an adapter, by the name that callers use.
pub type ModelId = CompactString;
/// Identifies one version of a model or an adapter.
pub type VersionId = CompactString;
/// Identifies a target.
pub type TargetId = CompactString;
/// Identifies a plain service, which has one or more targets.
pub type ServiceId = CompactString;
/// Identifies a route.
pub type RouteId = CompactString;
/// Version of the software that a target runs, not of its models. Versions have no order.
pub type SoftwareVersion = CompactString;
/// Hash of the team and the first attempt of a stream.
pub type StreamKey = u64;
/// Identifies one request of a caller or an operator.
pub type RequestId = CompactString;

/// Number of an accepted configuration; 0 is the empty configuration of a new fleet.
pub type Revision = u64;
/// Distinguishes successive instances of a process or a data folder on one VM.
pub type Incarnation = u64;
/// Term of the replicated log.
pub type Term = u64;
/// Position in the replicated log; the first entry has index 1.
pub type LogIndex = u64;
/// Fencing token, which increases with each order that any leader issues; see docs/design.md,
/// section 12.
pub type FencingNumber = u64;

/// Idempotency key sent by a caller: a UUID version 7, whose timestamp gives its age.
pub type IdempotencyKey = uuid::Uuid;
/// BLAKE3 keyed hash of a request's method, path and body.
pub type BodyHash = ByteArray<32>;
/// First 16 bytes of the keyed hash of route, model and body of a request.
pub type Fingerprint = ByteArray<16>;
/// Sequence number of an attempt within one entry incarnation, used to detect resent commands.
pub type Attempt = u64;
/// Highest command version that every voter can apply.
pub type CommandLevel = u32;
