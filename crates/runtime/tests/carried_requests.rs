//! Tests that a client sends no id twice on one connection, and no connection carries requests without
//! bound.

use std::{
    future,
    io::{Read as _, Write as _},
    net,
    sync::{self, atomic},
    task, thread, time,
};

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full};
use hyper::Request;
use pimentohook_core::carried_ids;
use pimentohook_runtime::client;

const TIMEOUT: time::Duration = time::Duration::from_secs(2);
/// The time within which a connection is back in the pool.
const IDLE_DELAY: time::Duration = time::Duration::from_millis(20);
const SENDER_COUNT: usize = 32;
const REQUEST_COUNT: usize = 40_000;
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
                    if socket.write_all(RESPONSE).is_err() {
                        break;
                    }
                }
            });
        }
    });
    Server {
        address,
        connection_count,
    }
}

fn request(address: net::SocketAddr) -> Request<Full<Bytes>> {
    let request = Request::builder().uri(format!("http://{address}/"));
    request.body(Full::new(Bytes::new())).expect("a request")
}

/// Sends a request with an id; returns whether it was the first one with it on its connection.
async fn send(client: &client::Client, address: net::SocketAddr, id: &str) -> bool {
    let sent = client.send_identified(address, request(address), id.as_bytes(), TIMEOUT);
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

/// A caller that left as its refusal came let the connection carry its id again.
#[tokio::test]
async fn an_id_whose_response_nobody_took_goes_on_another_connection() {
    let server = start_server();
    let client = client::Client::new(net::Ipv4Addr::LOCALHOST.into());
    assert!(send(&client, server.address, "id-0").await);
    tokio::time::sleep(IDLE_DELAY).await;
    let sent = client.send_identified(server.address, request(server.address), b"id-1", TIMEOUT);
    let mut sent = Box::pin(sent);
    let is_pending =
        future::poll_fn(|context| task::Poll::Ready(sent.as_mut().poll(context).is_pending()));
    assert!(is_pending.await);
    tokio::time::sleep(IDLE_DELAY).await;
    drop(sent);
    tokio::time::sleep(IDLE_DELAY).await;
    assert!(send(&client, server.address, "id-1").await);
    assert_eq!(server.connection_count(), 2);
}

/// The request after the last that a connection may carry was answered, and not believed.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn each_request_with_an_id_of_its_own_is_a_first_send() {
    let server = start_server();
    let client = sync::Arc::new(client::Client::new(net::Ipv4Addr::LOCALHOST.into()));
    let next = sync::Arc::new(atomic::AtomicUsize::new(0));
    let mut senders = tokio::task::JoinSet::new();
    for _ in 0..SENDER_COUNT {
        let (client, next) = (client.clone(), next.clone());
        senders.spawn(async move {
            let mut unproved_count = 0;
            loop {
                let number = next.fetch_add(1, atomic::Ordering::SeqCst);
                if number >= REQUEST_COUNT {
                    return unproved_count;
                }
                let is_first = send(&client, server.address, &format!("id-{number}")).await;
                unproved_count += usize::from(!is_first);
            }
        });
    }
    let unproved_counts = senders.join_all().await;
    assert_eq!(unproved_counts.iter().sum::<usize>(), 0);
    assert!(server.connection_count() > SENDER_COUNT);
}
