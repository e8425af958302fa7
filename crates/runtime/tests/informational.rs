//! Tests that informational responses without end cost a client a bounded amount of memory, however
//! late the task that sent the request runs again.

use std::{
    io::{Read as _, Write as _},
    net,
    sync::{self, atomic, mpsc},
    thread, time,
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use pimentohook_runtime::client;
use rstest::rstest;

/// What a client may read of the head of a response, and what the buffers of the sockets may hold
/// besides.
const READ_MAX_BYTES: usize = (1 + 10) << 20;
/// The time for which the task of the request doesn't run, as on a busy machine.
const TASK_DELAY: time::Duration = time::Duration::from_millis(500);
const TIMEOUT: time::Duration = time::Duration::from_secs(5);
const REPEATED: &str = "HTTP/1.1 100 Continue\r\n\r\n";

/// A server that receives one request and then sends informational responses without end.
struct Server {
    address: net::SocketAddr,
    /// Receives a message once the server has received the request.
    received: mpsc::Receiver<()>,
    /// Permits the server to respond.
    respond: mpsc::Sender<()>,
    sent_bytes: sync::Arc<atomic::AtomicUsize>,
}

fn start_server() -> Server {
    let listener = net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let (received_sender, received) = mpsc::channel();
    let (respond, respond_receiver) = mpsc::channel();
    let sent_bytes = sync::Arc::new(atomic::AtomicUsize::new(0));
    let sent = sent_bytes.clone();
    thread::spawn(move || {
        let (mut socket, _) = listener.accept().expect("a connection");
        let _ = socket.read(&mut [0; 4096]).expect("a request");
        received_sender.send(()).expect("the test waits");
        respond_receiver.recv().expect("the test responds");
        let block = REPEATED.repeat(1_000);
        while socket.write_all(block.as_bytes()).is_ok() {
            sent.fetch_add(block.len(), atomic::Ordering::Relaxed);
        }
    });
    Server {
        address,
        received,
        respond,
        sent_bytes,
    }
}

/// Keeps the task that polls this from running, as soon as the server starts to respond.
async fn delay_task(server: &Server) {
    while server.received.try_recv().is_err() {
        tokio::time::sleep(time::Duration::from_millis(1)).await;
    }
    server.respond.send(()).expect("the server waits");
    thread::sleep(TASK_DELAY);
}

#[rstest]
#[case::pooled(false)]
#[case::new_connection(true)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn informational_responses_without_end_are_cut_off_while_the_request_waits_for_a_processor(
    #[case] on_new_connection: bool,
) {
    let server = start_server();
    let client = client::Client::new(net::Ipv4Addr::LOCALHOST.into());
    let request = Request::get(format!("http://{}/", server.address))
        .body(Full::new(Bytes::new()))
        .expect("a request");
    let send = async {
        if on_new_connection {
            let send = client.send_on_new_connection(server.address, request, TIMEOUT);
            send.await
        } else {
            client.send(server.address, request, TIMEOUT).await
        }
    };
    let (result, ()) = tokio::join!(send, delay_task(&server));
    assert!(
        matches!(result, Err(client::ClientError::Broken { .. })),
        "{result:?}"
    );
    let sent_bytes = server.sent_bytes.load(atomic::Ordering::Relaxed);
    assert!(sent_bytes <= READ_MAX_BYTES, "{sent_bytes} bytes were read");
}
