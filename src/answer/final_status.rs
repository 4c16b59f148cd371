use hyper::StatusCode;

/// Returns whether a status ends an exchange. The registry of HTTP has final statuses from 200 to 599; an interim one, such
/// as a change of protocol that nobody asked for, leaves the connection in a state that no caller expects.
#[must_use]
pub fn is_final_status(status: StatusCode) -> bool {
    matches!(status.as_u16(), 200..=599)
}
