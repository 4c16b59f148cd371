/// Order in which waiting requests get slots that become free.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AdmissionOrder {
    /// Any request that finds a free slot takes it.
    #[default]
    FirstCheck,
    /// Requests take slots by rank, deadline and work.
    Ranked,
}
