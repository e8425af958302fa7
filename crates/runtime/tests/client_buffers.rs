//! Tests what connections of a client buffer; alone, as the whole process is measured.

use std::{fs, net, time};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, body::Incoming};
use pimentohook_runtime::client::Client;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpListener,
};

const TIMEOUT: time::Duration = time::Duration::from_secs(5);
const CONNECTION_COUNT: usize = 200;
/// What a connection may cost beside bodies that have been read.
const CONNECTION_BYTES: usize = 40 << 10;
const SETTLING_TIME: time::Duration = time::Duration::from_millis(500);
static BODY: [u8; 1 << 20] = [b'x'; 1 << 20];

async fn start_server() -> net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut socket, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut request = [0; 512];
                let _ = socket.read(&mut request).await;
                let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", BODY.len());
                let _ = socket.write_all(head.as_bytes()).await;
                let _ = socket.write_all(&BODY).await;
            });
        }
    });
    address
}

async fn begin(client: &Client, address: net::SocketAddr) -> Response<Incoming> {
    let request = Request::get(format!("http://{address}/")).body(Full::<Bytes>::default());
    let response = client.send(address, request.expect("a request"), TIMEOUT);
    let mut response = response.await.expect("a response");
    // Buffers grow while pieces are read, and the rest waits.
    for _ in 0..8 {
        let frame = http_body_util::BodyExt::frame(response.body_mut()).await;
        frame.expect("a piece").expect("a piece");
    }
    response
}

/// Returns the resident memory of this process.
fn resident_bytes() -> usize {
    let status = fs::read_to_string("/proc/self/status").expect("the status of this process");
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kb = line.and_then(|line| line.trim().trim_end_matches(" kB").parse::<usize>().ok());
    kb.expect("a size") << 10
}

/// Each connection kept a buffer of up to 112 KiB, which no bound counted.
#[tokio::test]
async fn connections_with_responses_that_wait_cost_no_more_than_one_of_a_caller() {
    let address = start_server().await;
    let client = Client::with_small_buffers(address.ip());
    let before = resident_bytes();
    let mut responses = Vec::new();
    for _ in 0..CONNECTION_COUNT {
        responses.push(begin(&client, address).await);
    }
    tokio::time::sleep(SETTLING_TIME).await;
    let grown = resident_bytes().saturating_sub(before);
    assert!(
        grown <= CONNECTION_COUNT * CONNECTION_BYTES,
        "{grown} bytes more"
    );
    drop(responses);
}
