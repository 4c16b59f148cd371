use crate::raft::VoterId;

/// Name of a member for operators: the VM and the incarnation in hexadecimal digits. Incarnations
/// are 64 bits long, which JSON numbers do not carry safely.
#[must_use]
pub fn member_name(id: &VoterId) -> String {
    format!("{}@{:016x}", id.vm, id.incarnation)
}

/// Reads a name that [`member_name`] wrote.
#[must_use]
pub fn parse_member_name(name: &str) -> Option<VoterId> {
    let (vm, incarnation) = name.rsplit_once('@')?;
    let incarnation = u64::from_str_radix(incarnation, 16).ok()?;
    (!vm.is_empty()).then(|| VoterId::new(vm, incarnation))
}
