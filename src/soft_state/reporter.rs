use crate::{
    ids::{DataCentreId, EntryKey, TargetId},
    soft_state::EntryStatus,
};

/// Chooses the reporter of a target, the entry that polls the target's reports, by rendezvous
/// hashing.
///
/// Each target has one reporter, so that the reports of a large fleet are read once and not by
/// every entry. Entries in the target's data centre are preferred. When an entry joins or leaves,
/// only the targets that it polls are reassigned.
#[must_use]
pub fn assign_reporter<'e>(
    target: &TargetId,
    data_centre: &DataCentreId,
    entries: impl Iterator<Item = (&'e EntryKey, &'e EntryStatus)>,
) -> Option<&'e EntryKey> {
    entries
        .max_by_key(|(key, status)| {
            (
                status.data_centre == *data_centre,
                rendezvous_weight(target, key),
            )
        })
        .map(|(key, _)| key)
}

fn rendezvous_weight(target: &TargetId, entry: &EntryKey) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(target.as_bytes());
    hasher.update(&[0]);
    hasher.update(entry.vm.as_bytes());
    hasher.update(&entry.incarnation.to_le_bytes());
    let bytes: [u8; 8] = hasher.finalize().as_bytes()[..8]
        .try_into()
        .expect("a hash has at least 8 bytes");
    u64::from_le_bytes(bytes)
}
