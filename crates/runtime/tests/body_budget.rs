//! Tests that the bodies of responses that are read at the same time share a bound.

use std::{net, sync, time};

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use pimentohook_runtime::{
    body::{BodyBudget, BudgetedBody, read_body_within},
    client::{Client, ClientError},
};
use rstest::rstest;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpListener,
};

const TIMEOUT: time::Duration = time::Duration::from_secs(5);
const BODY_BYTES: usize = 100_000;

/// Starts a server that sends a body, all of it or half of it before it waits without end.
async fn start_server(is_complete: bool) -> net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut socket, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut request = [0; 1_024];
                let _ = socket.read(&mut request).await;
                let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {BODY_BYTES}\r\n\r\n");
                let sent_bytes = if is_complete {
                    BODY_BYTES
                } else {
                    BODY_BYTES / 2
                };
                let _ = socket.write_all(head.as_bytes()).await;
                let _ = socket.write_all(&vec![0; sent_bytes]).await;
                let _ = socket.read(&mut request).await;
            });
        }
    });
    address
}

async fn read(
    address: net::SocketAddr,
    budget: &sync::Arc<BodyBudget>,
) -> Result<Bytes, ClientError> {
    let client = Client::new(address.ip());
    let request = Request::get(format!("http://{address}/")).body(Full::default());
    let response = client.send(address, request.expect("a request"), TIMEOUT);
    let response = response.await.expect("a response");
    read_body_within(address, response, 2 * BODY_BYTES, budget).await
}

#[rstest]
#[case::fits(BODY_BYTES, true)]
#[case::exceeds(BODY_BYTES - 1, false)]
#[tokio::test]
async fn a_body_is_read_if_the_budget_has_room(#[case] max_bytes: usize, #[case] expected: bool) {
    let budget = sync::Arc::new(BodyBudget::new(max_bytes));
    let address = start_server(true).await;
    assert_eq!(read(address, &budget).await.is_ok(), expected);
    assert_eq!(budget.free_bytes(), max_bytes, "the bytes are free again");
}

#[tokio::test]
async fn bodies_that_are_read_at_the_same_time_share_the_budget() {
    let max_bytes = BODY_BYTES + BODY_BYTES / 4;
    let budget = sync::Arc::new(BodyBudget::new(max_bytes));
    let stuck = start_server(false).await;
    let complete = start_server(true).await;
    let mut pending = Box::pin(read(stuck, &budget));
    while budget.free_bytes() > max_bytes - BODY_BYTES / 2 {
        let poll = tokio::time::timeout(time::Duration::from_millis(5), pending.as_mut());
        assert!(poll.await.is_err(), "the body is not complete");
    }
    assert!(read(complete, &budget).await.is_err());
    drop(pending);
    assert!(read(complete, &budget).await.is_ok());
    assert_eq!(budget.free_bytes(), max_bytes);
}

/// A body uses its room until nobody holds a copy of it, also one that is sent on.
#[test]
fn a_body_uses_the_budget_until_its_last_copy_is_dropped() {
    let budget = sync::Arc::new(BodyBudget::new(BODY_BYTES));
    let mut body = BudgetedBody::reserve(&budget, 0).expect("room");
    assert!(body.push(&[0; 1_000]));
    let bytes = body.into_bytes().expect("its room");
    let copy = bytes.slice(10..20);
    drop(bytes);
    assert_eq!(budget.free_bytes(), BODY_BYTES - 1_000);
    drop(copy);
    assert_eq!(budget.free_bytes(), BODY_BYTES);
}

/// Large bodies never use all of the budget, and one that is refused leaves nothing reserved.
#[test]
fn small_bodies_find_room_beside_as_many_large_ones_as_fit() {
    const LARGE_BYTES: usize = 4 << 20;
    const SMALL_BYTES: usize = 600;
    let budget = sync::Arc::new(BodyBudget::new(48 << 20));
    let large = || BudgetedBody::reserve(&budget, LARGE_BYTES);
    let held: Vec<_> = std::iter::from_fn(large).collect();
    assert_eq!(held.len(), 10);
    let free_bytes = budget.free_bytes();
    assert!(large().is_none());
    assert_eq!(budget.free_bytes(), free_bytes);
    let small: Vec<_> = (0..10_000)
        .map_while(|_| BudgetedBody::reserve(&budget, SMALL_BYTES))
        .collect();
    assert_eq!(small.len(), 10_000);
    drop((held, small));
    assert_eq!(budget.free_bytes(), 48 << 20);
}

/// A body whose length is not announced gets its room as it comes.
#[test]
fn a_body_that_grows_beyond_the_budget_does_not_fit() {
    let budget = sync::Arc::new(BodyBudget::new(1 << 20));
    let mut body = BudgetedBody::reserve(&budget, 0).expect("room");
    let pieces = (0..1_000).take_while(|_| body.push(&[0; 4_096])).count();
    assert_eq!(pieces, (1 << 20) * 7 / 8 / 4_096);
    drop(body);
    assert_eq!(budget.free_bytes(), 1 << 20);
}

/// Bodies that stop take no room from others for longer than a second.
#[tokio::test]
async fn a_body_without_progress_loses_its_room_to_another() {
    let budget = sync::Arc::new(BodyBudget::new(1 << 20));
    let stalled = BudgetedBody::reserve(&budget, 800 << 10).expect("room");
    let reserve = || BudgetedBody::reserve(&budget, 400 << 10);
    assert!(reserve().is_none(), "it may still go on");
    tokio::time::sleep(time::Duration::from_millis(1_050)).await;
    let mut other = reserve().expect("its room");
    stalled.until_evicted().await;
    assert!(stalled.into_bytes().is_none());
    assert!(other.push(&vec![1; 400 << 10]));
    assert_eq!(other.into_bytes().expect("its room").len(), 400 << 10);
    assert_eq!(budget.evicted_count(), 1);
    assert_eq!(budget.free_bytes(), 1 << 20);
}

/// A body of unknown length is kept in segments, and is whole in the end.
#[test]
fn a_body_in_many_pieces_is_whole() {
    let budget = sync::Arc::new(BodyBudget::new(1 << 20));
    let mut body = BudgetedBody::reserve(&budget, 0).expect("room");
    let sent: Vec<u8> = (0..300_000_u32)
        .map(|number| number.to_le_bytes()[0])
        .collect();
    let (tiny, large) = sent.split_at(3_000);
    let pieces = tiny.chunks(1).chain(large.chunks(7_001));
    for piece in pieces {
        assert!(body.push(piece));
    }
    assert!(budget.free_bytes() >= (1 << 20) - sent.len() - (64 << 10));
    assert_eq!(body.into_bytes().expect("its room"), sent);
}
