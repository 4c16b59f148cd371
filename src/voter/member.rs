use crate::raft::VoterId;

/// Returns the name of a member for operators: the VM and the incarnation in hexadecimal digits.
/// The incarnation is not a JSON number, because those do not represent 64 bits exactly.
#[must_use]
pub fn member_name(id: &VoterId) -> String {
    format!("{}@{:016x}", id.vm, id.incarnation)
}

/// Parses a name in the format of [`member_name`].
#[must_use]
pub fn parse_member_name(name: &str) -> Option<VoterId> {
    let (vm, incarnation) = name.rsplit_once('@')?;
    let incarnation = u64::from_str_radix(incarnation, 16).ok()?;
    (!vm.is_empty()).then(|| VoterId::new(vm, incarnation))
}
