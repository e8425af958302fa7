//! Requests on connections that were opened before it was decided to send them.

use std::{net, time};

use hyper::{Method, StatusCode};
use pimentohook_runtime::client;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpListener,
};

const TIMEOUT: time::Duration = time::Duration::from_secs(5);
const RESPONSE: &[u8] = b"HTTP/1.1 202 Accepted\r\nContent-Length: 2\r\n\r\nok";

/// Accepts a connection, answers what arrives if anything does, and returns it.
async fn serve(listener: &TcpListener) -> String {
    let (mut stream, _) = listener.accept().await.expect("a connection");
    let mut received = vec![0; 4_096];
    let length = stream.read(&mut received).await.expect("bytes");
    if length > 0 {
        stream.write_all(RESPONSE).await.expect("a connection");
    }
    String::from_utf8_lossy(&received[..length]).into_owned()
}

fn order(address: net::SocketAddr) -> hyper::Request<http_body_util::Full<bytes::Bytes>> {
    client::json_request(Method::POST, address, "/orders?Num=1", Some(&"order")).expect("a request")
}

fn sorted_lines(message: &str) -> Vec<String> {
    let mut lines: Vec<String> = message.lines().map(str::to_ascii_lowercase).collect();
    lines.sort_unstable();
    lines
}

/// A request named its target by its whole URI, which servers other than proxies need not understand.
#[tokio::test]
async fn a_request_is_the_same_on_an_opened_connection_as_on_a_new_one() {
    let listener = TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0))
        .await
        .expect("a port");
    let address = listener.local_addr().expect("an address");
    let client = client::Client::new(address.ip());
    let sending = client.send_on_new_connection(address, order(address), TIMEOUT);
    let (response, on_new) = tokio::join!(sending, serve(&listener));
    response.expect("a response");
    let sending = async {
        let opened = client.open(address, TIMEOUT).await.expect("a connection");
        opened.send_if(order(address), TIMEOUT, || true).await
    };
    let (response, on_opened) = tokio::join!(sending, serve(&listener));
    let (head, body) = response.expect("a response").expect("a response");
    assert_eq!(head.status, StatusCode::ACCEPTED);
    assert_eq!(body, "ok");
    assert!(
        on_opened.starts_with("POST /orders?Num=1 HTTP/1.1"),
        "{on_opened}"
    );
    assert_eq!(sorted_lines(&on_opened), sorted_lines(&on_new));
}

#[tokio::test]
async fn nothing_is_sent_that_is_not_allowed_any_more_once_the_connection_is_open() {
    let listener = TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0))
        .await
        .expect("a port");
    let address = listener.local_addr().expect("an address");
    let client = client::Client::new(address.ip());
    let sending = async {
        let opened = client.open(address, TIMEOUT).await.expect("a connection");
        opened.send_if(order(address), TIMEOUT, || false).await
    };
    let (response, received) = tokio::join!(sending, serve(&listener));
    assert!(response.expect("no failure").is_none());
    assert_eq!(received, "");
}
