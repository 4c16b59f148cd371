//! The administration API; its messages are in [`crate::operator`], its endpoints in
//! docs/operators.md.

mod auth;
mod config;
mod drains;
mod error;
mod keys;
mod revisions;
mod status;

use rocket::{Build, Request, Rocket, catch, catchers, http::Status, routes};

pub use auth::{AdminToken, Operator};
pub use error::AdminError;

use crate::code::ResultCode;

/// Maximum size of a request body, in MiB. A configuration of 4 MiB may be sent with much
/// indentation.
const MAX_BODY_MIB: u64 = 16;

/// Mounts the API on a server that manages an [`AdminToken`], a
/// [`VoterHandle`](crate::voter::VoterHandle) and a shared [`SyncService`](super::SyncService).
pub fn mount(rocket: Rocket<Build>) -> Rocket<Build> {
    rocket
        .mount(
            "/admin/v1",
            routes![
                config::get_config,
                config::apply_config,
                config::get_in_force,
                revisions::list_revisions,
                revisions::get_revision,
                revisions::get_diff,
                keys::add_key,
                keys::revoke_key,
                drains::list_drains,
                drains::set_drain,
                status::get_status,
            ],
        )
        .register("/", catchers![unauthorized, default_error])
}

#[catch(401)]
fn unauthorized() -> AdminError {
    AdminError::new(
        ResultCode::Unauthorized,
        "the credentials do not allow this",
    )
}

#[catch(default)]
fn default_error(status: Status, _request: &Request<'_>) -> (Status, AdminError) {
    let code = match status.code {
        400..500 => ResultCode::MalformedRequest,
        _ => ResultCode::Internal,
    };
    (status, AdminError::new(code, status.to_string()))
}
