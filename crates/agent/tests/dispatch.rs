//! Tests of how an agent reports that its engine did not start a request.

use std::{net, sync, time};

use pimentohook_agent::{dispatch, responses};
use pimentohook_core::admission;
use pimentohook_platform::engine;
use pimentohook_runtime::client;

async fn generate_at(address: net::SocketAddr) -> engine::EngineError {
    let client = sync::Arc::new(client::Client::new(net::Ipv4Addr::LOCALHOST.into()));
    let engine = engine::EngineClient::new(client, address, time::Duration::from_secs(1));
    let request = engine::GenerateRequest {
        request_id: "request-1".parse().expect("an id"),
        priority: 5,
        prompt: String::from("a prompt"),
    };
    let started = engine.generate(&request).await;
    started.expect_err("the engine doesn't start the request")
}

/// An entry would otherwise choose the engine again, as one that is full for a moment only.
#[tokio::test]
async fn an_engine_that_refuses_connections_is_reported_as_down() {
    let listener = net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    drop(listener);
    let error = generate_at(address).await;
    let end = dispatch::classify_start_error(&error);
    let responses::End::Refused(refusal) = end else {
        panic!("{end:?}");
    };
    assert_eq!(refusal.reason.to_string(), "engine_down");
    assert!(refusal.revoked);
    assert!(refusal.reason.is_upstream_failure());
}

#[test]
fn an_engine_without_room_is_reported_as_full() {
    let error = engine::EngineError::Refused {
        status: hyper::StatusCode::SERVICE_UNAVAILABLE,
    };
    let end = dispatch::classify_start_error(&error);
    let responses::End::Refused(refusal) = end else {
        panic!("{end:?}");
    };
    assert_eq!(refusal.reason, admission::RefusalReason::Full);
    assert!(!refusal.reason.is_upstream_failure());
}

/// The engine may have started the request.
#[tokio::test]
async fn an_engine_that_breaks_the_connection_is_not_reported_as_not_run() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let accept = async {
        let (socket, _) = listener.accept().await.expect("a connection");
        socket.readable().await.expect("a request");
    };
    let (error, ()) = tokio::join!(generate_at(address), accept);
    let end = dispatch::classify_start_error(&error);
    assert!(matches!(end, responses::End::Failed(_)), "{end:?}");
}
