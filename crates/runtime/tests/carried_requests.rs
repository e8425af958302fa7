//! Tests that a client sends no id twice on one connection, and no connection carries requests without
//! bound.

use std::{
    io::{Read as _, Write as _},
    net,
    sync::{self, atomic},
    thread, time,
};

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full};
use hyper::Request;
use pimentohook_core::carried_ids;
use pimentohook_runtime::client;

const TIMEOUT: time::Duration = time::Duration::from_secs(2);
/// The time within which a connection is back in the pool.
const IDLE_DELAY: time::Duration = time::Duration::from_millis(20);
const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

struct Server {
    address: net::SocketAddr,
    connection_count: sync::Arc<atomic::AtomicUsize>,
}

impl Server {
    fn connection_count(&self) -> usize {
        self.connection_count.load(atomic::Ordering::SeqCst)
    }
}

/// Starts a server that responds to each request.
fn start_server() -> Server {
    let listener = net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let connection_count = sync::Arc::new(atomic::AtomicUsize::new(0));
    let connections = connection_count.clone();
    thread::spawn(move || {
        for socket in listener.incoming() {
            let mut socket = socket.expect("a connection");
            connections.fetch_add(1, atomic::Ordering::SeqCst);
            thread::spawn(move || {
                while socket.read(&mut [0; 4096]).is_ok_and(|read| read > 0) {
                    socket.write_all(RESPONSE).expect("a client that reads");
                }
            });
        }
    });
    Server {
        address,
        connection_count,
    }
}

/// Sends a request with an id; returns whether its response is that of a first send.
async fn send(client: &client::Client, address: net::SocketAddr, id: &str) -> bool {
    let request = Request::builder().uri(format!("http://{address}/"));
    let request = request.body(Full::new(Bytes::new())).expect("a request");
    let sent = client.send_identified(address, request, id.as_bytes(), TIMEOUT);
    let identified = sent.await.expect("a response");
    let body = identified.response.into_body();
    body.collect().await.expect("a body");
    identified.first_send.is_some()
}

#[tokio::test]
async fn an_id_that_is_sent_again_goes_on_another_connection() {
    let server = start_server();
    let client = client::Client::new(net::Ipv4Addr::LOCALHOST.into());
    for (id, connection_count) in [("id-1", 1), ("id-2", 1), ("id-1", 2), ("id-3", 2)] {
        assert!(send(&client, server.address, id).await, "{id}");
        assert_eq!(server.connection_count(), connection_count, "{id}");
        tokio::time::sleep(IDLE_DELAY).await;
    }
}

#[tokio::test]
async fn a_connection_is_replaced_after_as_many_requests_as_it_may_carry() {
    let server = start_server();
    let client = client::Client::new(net::Ipv4Addr::LOCALHOST.into());
    for number in 0..=2 * carried_ids::CARRIED_MAX {
        assert!(send(&client, server.address, &format!("id-{number}")).await);
        tokio::task::yield_now().await;
    }
    assert!(server.connection_count() >= 3);
}
