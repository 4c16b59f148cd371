//! Guards against an entry that runs out of memory, or answers nobody else, since a target in trouble sends bytes
//! without end.

mod harness;

use std::time::{Duration, Instant};

use harness::{CALLER_KEY, entry_fleet::EntryFleet};
use rstest::rstest;
use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

/// Memory of the smallest machine that an entry has.
const MAX_MEMORY_KB: u64 = 160_000;
/// Number of callers at a time.
const CALLERS: usize = 48;
/// Time for which callers read.
const CALL_TIME: Duration = Duration::from_secs(5);
/// Time within which the entry must answer others.
const HEALTH_LIMIT: Duration = Duration::from_secs(2);

async fn serve_endless(start: &'static str, repeated: &'static str) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            // The entry closes the connection at some point, which is an error here.
            tokio::spawn(async move { send_endless(stream, start, repeated).await });
        }
    });
    address.to_string()
}

async fn send_endless(
    mut stream: TcpStream,
    start: &'static str,
    repeated: &'static str,
) -> std::io::Result<()> {
    let mut head = vec![0; 4096];
    let _ = stream.read(&mut head).await?;
    stream.write_all(start.as_bytes()).await?;
    let block = repeated.repeat((16 << 10) / repeated.len());
    loop {
        stream.write_all(block.as_bytes()).await?;
    }
}

#[rstest]
#[case::head("HTTP/1.1 200 OK\r\nx-filler: ", "x", true)]
#[case::interim_heads("", "HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n", true)]
#[case::chunk_extension("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5;", "x", true)]
#[case::chunk_size("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", "0", true)]
#[case::trailers(
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n",
    "x: y\r\n",
    true
)]
#[case::event_line(
    "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\ndata: ",
    "x",
    true
)]
#[case::body("HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n", "x", true)]
#[case::unread_body("HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n", "x", false)]
#[case::failure_body("HTTP/1.1 500 Internal Server Error\r\n\r\n", "x", true)]
#[tokio::test(flavor = "multi_thread")]
async fn answers_without_end_do_not_fill_an_entry(
    #[case] start: &'static str,
    #[case] repeated: &'static str,
    #[case] is_read: bool,
) {
    let address = serve_endless(start, repeated).await;
    let change = |config: &mut serde_json::Value| config["targets"][0]["address"] = json!(address);
    let fleet = EntryFleet::with_settings(&[], |_| {}, change).await;
    let end = Instant::now() + CALL_TIME;
    let callers = (0..CALLERS).map(|_| {
        let (client, url) = (fleet.client.clone(), fleet.url("/stock/a"));
        tokio::spawn(async move {
            while Instant::now() < end {
                let called = async {
                    let Ok(mut response) = client.get(&url).bearer_auth(CALLER_KEY).send().await
                    else {
                        return;
                    };
                    while is_read && matches!(response.chunk().await, Ok(Some(_))) {}
                    if !is_read {
                        tokio::time::sleep_until(end.into()).await;
                    }
                };
                // A caller may leave at any time.
                let _ = tokio::time::timeout_at(end.into(), called).await;
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        })
    });
    let callers: Vec<_> = callers.collect();
    tokio::time::sleep(CALL_TIME / 2).await;
    let health = format!("http://127.0.0.1:{}/healthz", fleet.manage_port);
    let health = fleet.client.get(health).timeout(HEALTH_LIMIT).send().await;
    assert!(health.is_ok_and(|answer| answer.status().is_success()));
    for caller in callers {
        caller.await.unwrap();
    }
    let peak = fleet.entry.peak_memory_kb();
    assert!(peak < MAX_MEMORY_KB, "the entry had {peak} kB");
}
