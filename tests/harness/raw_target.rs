//! A target that keeps the bytes it receives and sends fixed ones.

use std::sync::{Arc, Mutex, PoisonError};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};

/// The target's handle.
pub struct RawTarget {
    port: u16,
    received: Arc<Mutex<Vec<u8>>>,
}

impl RawTarget {
    /// Sends `answer` after the first bytes of each connection and closes it.
    pub async fn start(answer: &'static str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await;
        let listener = listener.expect("a port is free");
        let port = listener.local_addr().expect("an address").port();
        let received = Arc::<Mutex<Vec<u8>>>::default();
        let shared = Arc::clone(&received);
        tokio::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let mut buffer = vec![0; 64 * 1024];
                let length = stream.read(&mut buffer).await.unwrap_or_default();
                shared
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .extend(&buffer[..length]);
                let _ = stream.write_all(answer.as_bytes()).await;
            }
        });
        Self { port, received }
    }

    /// Address for the configuration.
    pub fn address(&self) -> String {
        format!("127.0.0.1:{}", self.port)
    }

    /// Everything received so far.
    pub fn received(&self) -> String {
        let bytes = self.received.lock().unwrap_or_else(PoisonError::into_inner);
        String::from_utf8_lossy(&bytes).into_owned()
    }
}
