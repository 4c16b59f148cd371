use std::{
    path::PathBuf,
    sync::atomic::{AtomicU64, Ordering},
};

use rocket::{
    State, get, post, routes,
    serde::json::{Json, Value, json},
};

use crate::{config::ListenAddress, error::Result, server};

/// A plain service with a stock lookup and a reservation that may not be repeated.
pub struct FakeService {
    listen: ListenAddress,
}

#[derive(Default)]
struct ServiceShared {
    reservations: AtomicU64,
}

impl FakeService {
    /// Prepares a service.
    #[must_use]
    pub fn new(listen: ListenAddress) -> Self {
        Self { listen }
    }

    /// Serves until the process is told to stop.
    ///
    /// # Errors
    /// [`crate::error::Error::Server`] when the port is taken.
    pub async fn run(self) -> Result<()> {
        let rocket = rocket::custom(server::figment(&self.listen))
            .manage(ServiceShared::default())
            .mount("/", routes![look_up, reserve]);
        server::launch(rocket).await
    }
}

#[get("/<path..>")]
fn look_up(path: PathBuf) -> Json<Value> {
    Json(json!({ "path": path, "stock": 12 }))
}

#[post("/<path..>", data = "<body>")]
fn reserve(path: PathBuf, body: Vec<u8>, shared: &State<ServiceShared>) -> Json<Value> {
    let number = shared.reservations.fetch_add(1, Ordering::Relaxed) + 1;
    Json(json!({ "path": path, "bytes": body.len(), "reservation": number }))
}
