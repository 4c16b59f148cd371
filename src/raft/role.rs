/// Role of a member in the current term.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RaftRole {
    /// Follows a leader or waits for one; learners stay in this role.
    Follower,
    /// Asks whether a campaign could succeed.
    PreCandidate,
    /// Campaigns.
    Candidate,
    /// Leads.
    Leader,
}
