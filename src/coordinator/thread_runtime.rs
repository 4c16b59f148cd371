use std::thread;

use tokio::{
    runtime::{Builder, Handle},
    sync::oneshot,
};

use crate::error::{Error, Result};

/// Runtime on a thread of its own, for messages of the log or syncs of delegates.
///
/// On the daemon's runtime they would wait behind each task that is ready: a leader with many syncs, polls and
/// requests for tokens lost its followers' answers, and with them its lease. The kernel divides the processor
/// among threads, and this one has little to do.
pub struct ThreadRuntime {
    handle: Handle,
    /// Ends the thread when it is dropped.
    _stop: oneshot::Sender<()>,
}

impl ThreadRuntime {
    /// Starts the thread.
    ///
    /// # Errors
    /// [`Error::File`] when no thread can be started.
    pub fn start(name: &str) -> Result<Self> {
        let failure = |error| Error::file(format!("{name} runtime"), error);
        let runtime = Builder::new_current_thread().enable_all().build();
        let runtime = runtime.map_err(failure)?;
        let handle = runtime.handle().clone();
        let (stop, stopped) = oneshot::channel::<()>();
        let run = move || {
            // The sender is never used: an error tells that it was dropped.
            let _ = runtime.block_on(stopped);
            runtime.shutdown_background();
        };
        let spawned = thread::Builder::new().name(name.to_owned()).spawn(run);
        spawned.map_err(failure)?;
        Ok(Self {
            handle,
            _stop: stop,
        })
    }

    /// Returns the handle by which tasks are started on the thread.
    #[must_use]
    pub fn handle(&self) -> &Handle {
        &self.handle
    }
}
