//! Tests of a port whose connections are at their bound.

use std::{net, sync, time};

use gotham::helpers::http::Body;
use hyper::{Response, StatusCode};
use pimentohook_runtime::{process, server};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
};

const CONNECTIONS_MAX: usize = 4;
const WORK: time::Duration = time::Duration::from_millis(1_500);
const TIMEOUT: time::Duration = time::Duration::from_secs(10);

async fn respond(_: sync::Arc<()>, call: server::Call) -> Response<Body> {
    if call.uri.path() == "/slow" {
        tokio::time::sleep(WORK).await;
    }
    server::respond_text(StatusCode::OK, "served")
}

async fn start() -> net::SocketAddr {
    let any_port = net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0));
    let listener = server::bind(any_port).await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let handler = server::endpoint(&sync::Arc::new(()), respond);
    let stop = process::StopSignal::new();
    tokio::spawn(server::serve_within(
        listener,
        handler,
        stop,
        CONNECTIONS_MAX,
        8 << 20,
    ));
    address
}

async fn connect(address: net::SocketAddr, bytes: &str) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    stream.write_all(bytes.as_bytes()).await.expect("sent");
    // The server has accepted it and read what there is.
    tokio::time::sleep(time::Duration::from_millis(50)).await;
    stream
}

/// Returns what comes until the connection is closed or a response is whole.
async fn receive(stream: &mut TcpStream) -> String {
    let mut received = Vec::new();
    let read = async {
        while stream
            .read_buf(&mut received)
            .await
            .is_ok_and(|count| count > 0)
        {
            if received.ends_with(b"served") {
                break;
            }
        }
    };
    tokio::time::timeout(TIMEOUT, read).await.expect("an end");
    String::from_utf8_lossy(&received).into_owned()
}

const QUICK: &str = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
const SLOW: &str = "GET /slow HTTP/1.1\r\nHost: a\r\n\r\n";
const HALF_A_HEAD: &str = "GET / HTTP/1.1\r\nHost: a\r\nX-Long: ";

#[tokio::test]
async fn a_new_connection_takes_the_place_of_the_one_that_has_sent_no_request_for_longest() {
    let address = start().await;
    let mut served = connect(address, QUICK).await;
    assert!(receive(&mut served).await.ends_with("served"));
    let mut silent = connect(address, "").await;
    let mut half = connect(address, HALF_A_HEAD).await;
    let mut slow = connect(address, SLOW).await;
    let mut new = connect(address, QUICK).await;
    assert!(receive(&mut new).await.ends_with("served"));
    assert_eq!(receive(&mut silent).await, "", "it is closed");
    let mut newer = connect(address, QUICK).await;
    assert!(receive(&mut newer).await.ends_with("served"));
    assert_eq!(receive(&mut half).await, "", "it is closed");
    assert!(receive(&mut slow).await.ends_with("served"));
    served.write_all(QUICK.as_bytes()).await.expect("sent");
    assert!(receive(&mut served).await.ends_with("served"), "it is kept");
}

#[tokio::test]
async fn a_new_connection_waits_while_all_have_requests_under_way() {
    let address = start().await;
    let mut busy = Vec::new();
    for _ in 0..CONNECTIONS_MAX {
        busy.push(connect(address, SLOW).await);
    }
    let mut new = connect(address, QUICK).await;
    assert!(receive(&mut new).await.ends_with("served"));
    for mut stream in busy {
        assert!(receive(&mut stream).await.ends_with("served"));
    }
}

/// A body that nobody reads is discarded for a while, so that no reset overtakes the response.
#[tokio::test]
async fn a_client_that_still_sends_receives_the_response() {
    let address = start().await;
    let head = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100000000\r\n\r\n";
    let mut stream = connect(address, head).await;
    for _ in 0..50 {
        let sent = stream.write_all(&vec![0; 64 << 10]).await;
        sent.expect("what it sends is taken");
    }
    assert!(receive(&mut stream).await.ends_with("served"));
}
