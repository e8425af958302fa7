//! Tests that a request which its client says was not sent has not arrived, while servers reset and
//! close connections at any moment.

use std::{net, sync, time};

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use indexmap::IndexSet;
use pimentohook_runtime::client;
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
};

const TIMEOUT: time::Duration = time::Duration::from_secs(2);
const LENGTH: time::Duration = time::Duration::from_secs(2);
const SENDER_COUNT: u64 = 32;
/// The longest time after a response, in microseconds, at which a server ends a connection.
const PAUSE_MAX_US: u64 = 300;
const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

/// What a server does on a connection after one of its responses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Trouble {
    Close,
    Reset,
    SecondResponse,
}

type Paths = sync::Arc<sync::Mutex<IndexSet<String>>>;

/// Reads a request; returns its path.
async fn read_path(socket: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let count = socket.read_buf(&mut head).await.ok()?;
        if count == 0 {
            return None;
        }
    }
    let head = String::from_utf8_lossy(&head).into_owned();
    head.split(' ').nth(1).map(String::from)
}

async fn serve(mut socket: TcpStream, trouble: Trouble, mut dice: ChaCha8Rng, received: Paths) {
    while let Some(path) = read_path(&mut socket).await {
        received.lock().expect("the paths").insert(path);
        if socket.write_all(RESPONSE).await.is_err() {
            return;
        }
        if dice.random_bool(0.5) {
            continue;
        }
        let pause = time::Duration::from_micros(dice.random_range(0..PAUSE_MAX_US));
        let until = time::Instant::now() + pause;
        while time::Instant::now() < until {
            tokio::task::yield_now().await;
        }
        match trouble {
            Trouble::Close => return,
            Trouble::Reset => {
                let _ = socket.set_zero_linger();
                return;
            }
            Trouble::SecondResponse => {
                let _ = socket.write_all(RESPONSE).await;
            }
        }
    }
}

/// Starts a server; returns its address and the paths of the requests that arrive.
async fn start_server(trouble: Trouble) -> (net::SocketAddr, Paths) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let received = Paths::default();
    let paths = received.clone();
    tokio::spawn(async move {
        for number in 0.. {
            let (socket, _) = listener.accept().await.expect("a connection");
            let dice = ChaCha8Rng::seed_from_u64(number);
            tokio::spawn(serve(socket, trouble, dice, paths.clone()));
        }
    });
    (address, received)
}

/// Sends requests for a while; returns the paths of those that the client says were not sent.
async fn send_for_a_while(
    client: sync::Arc<client::Client>,
    address: net::SocketAddr,
    sender: u64,
) -> Vec<String> {
    let until = time::Instant::now() + LENGTH;
    let mut unsent = Vec::new();
    let mut number = 0;
    while time::Instant::now() < until {
        number += 1;
        let path = format!("/{sender}/{number}");
        let request = Request::get(format!("http://{address}{path}"));
        let request = request.body(Full::new(Bytes::new())).expect("a request");
        let result = client.send_and_read_body(address, request, TIMEOUT).await;
        if result.is_err_and(|error| error.is_unsent()) {
            unsent.push(path);
        }
    }
    unsent
}

#[rstest]
#[case::close(Trouble::Close)]
#[case::reset(Trouble::Reset)]
#[case::second_response(Trouble::SecondResponse)]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_request_that_counts_as_not_sent_has_not_arrived(#[case] trouble: Trouble) {
    let (address, received) = start_server(trouble).await;
    let client = sync::Arc::new(client::Client::new(net::Ipv4Addr::LOCALHOST.into()));
    let senders = (0..SENDER_COUNT)
        .map(|sender| tokio::spawn(send_for_a_while(client.clone(), address, sender)));
    let senders: Vec<_> = senders.collect();
    let mut unsent = Vec::new();
    for sender in senders {
        unsent.extend(sender.await.expect("a sender"));
    }
    tokio::time::sleep(time::Duration::from_millis(200)).await;
    let received = received.lock().expect("the paths");
    println!("{} arrived, {} not sent", received.len(), unsent.len());
    let arrived: Vec<&String> = unsent
        .iter()
        .filter(|path| received.contains(*path))
        .collect();
    assert!(arrived.is_empty(), "{arrived:?}");
}
