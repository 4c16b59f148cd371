//! TCP relays in front of daemons that cut one of them off without closing a connection.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

/// The daemon that is cut off, shared by all relays of a fleet.
#[derive(Clone, Default)]
pub struct SilentCut(Arc<Mutex<Option<String>>>);

impl SilentCut {
    /// Cuts a VM off; its connections stay open and carry nothing.
    pub fn isolate(&self, vm: &str) {
        *self.0.lock().expect("no holder panics") = Some(vm.to_owned());
    }

    /// Lets everything through again, what was held back included.
    pub fn heal(&self) {
        *self.0.lock().expect("no holder panics") = None;
    }

    fn holds(&self, source: Option<&str>, target: &str) -> bool {
        let isolated = self.0.lock().expect("no holder panics");
        match (isolated.as_deref(), source) {
            (None, _) => false,
            // A connection of an unknown source could be one of the isolated VM.
            (Some(_), None) => true,
            (Some(isolated), Some(source)) => isolated == source || isolated == target,
        }
    }
}

/// Starts a relay in front of the daemon on `target` and returns its port.
pub async fn start_relay(target: String, port: u16, cut: SilentCut) -> u16 {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port is free");
    let relay_port = listener.local_addr().expect("it has an address").port();
    tokio::spawn(async move {
        while let Ok((client, _)) = listener.accept().await {
            tokio::spawn(relay(client, target.clone(), port, cut.clone()));
        }
    });
    relay_port
}

async fn relay(client: TcpStream, target: String, port: u16, cut: SilentCut) {
    let Ok(server) = TcpStream::connect(("127.0.0.1", port)).await else {
        return;
    };
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let source = Arc::new(Mutex::new(None));
    let sides = (Arc::clone(&source), target, cut);
    let up = pump(client_read, server_write, sides.clone(), true);
    let down = pump(server_read, client_write, sides, false);
    // One side's end closes the other, so that a dead daemon is seen as dead.
    tokio::select! {
        () = up => {}
        () = down => {}
    }
}

type Sides = (Arc<Mutex<Option<String>>>, String, SilentCut);

async fn pump(
    mut from: impl AsyncReadExt + Unpin,
    mut to: impl AsyncWriteExt + Unpin,
    (source, target, cut): Sides,
    learns: bool,
) {
    let mut buffer = vec![0; 64 << 10];
    while let Ok(length @ 1..) = from.read(&mut buffer).await {
        let source = || source.lock().expect("no holder panics");
        if learns && source().is_none() {
            *source() = sender(&buffer[..length]);
        }
        let is_held = || cut.holds(source().as_deref(), &target);
        while is_held() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}

/// Finds the VM that sent a batch of messages: its address comes first in the body.
fn sender(bytes: &[u8]) -> Option<String> {
    let at = bytes.windows(3).position(|window| window == b"vm-")?;
    let digit = bytes.get(at + 3).filter(|byte| byte.is_ascii_digit())?;
    Some(format!("vm-{}", char::from(*digit)))
}
