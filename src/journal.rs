//! The durable log of one voter: segments of checksummed records, snapshots and the identity.
//!
//! Changes are durable only after [`Journal::sync`] has returned. See docs/design.md, section 5.

mod data_folder;
mod folder_storage;
mod identity;
mod log;
mod record;
mod recovery;
mod segment;
mod snapshot;
mod storage;

pub use data_folder::{DataFolder, OpenedJournal};
pub use folder_storage::FolderStorage;
pub use log::{Journal, JournalLimits};
pub use record::{JournalEntry, VoteRecord};
pub use recovery::RecoveredLog;
pub use snapshot::Snapshot;
pub use storage::{Storage, StorageFile};
