//! Tests that an agent's only upload slot is free again after each way in which an upload can end.

use std::{net, sync, time};

use bytes::Bytes;
use gotham::{
    prelude::{DefineSingleRoute as _, DrawRoutes as _},
    router,
};
use http_body_util::BodyExt as _;
use pimentohook_agent::transfer;
use pimentohook_core::{
    burst::{activation, uploader},
    clock, id, size,
};
use pimentohook_runtime::{client, process, server};
use pimentohook_wire::{frames, messages};
use rstest::rstest;

const CHUNK: u32 = 0;
const CHUNK_COUNT: u32 = 4;
/// Larger than what the buffers of a connection hold.
const CHUNK_BYTES: usize = 16 << 20;
const TIMEOUT: time::Duration = time::Duration::from_secs(5);
/// The time within which the server notices that a reader has left.
const RELEASED_WITHIN: time::Duration = time::Duration::from_secs(1);

fn manifest() -> id::Digest {
    id::Digest::of(b"manifest")
}

fn start_transfers(client: &sync::Arc<client::Client>) -> sync::Arc<transfer::Transfers> {
    let link = transfer::Link {
        clock: sync::Arc::new(clock::SystemClock),
        client: client.clone(),
        failure_domain: "domain-1".parse().expect("a name"),
        outgoing_rate: size::ByteRate::new(1 << 40),
        incoming_rate: None,
        link_percent_max: 1_000,
        upload_slots: 1,
        sets_max: 2,
        stall_max: TIMEOUT,
        prefer_same_domain: false,
        credit_refill: uploader::CreditRefill {
            delay: TIMEOUT,
            per_copy: TIMEOUT,
        },
        on_complete: Box::new(|| {}),
        on_grant_used: Box::new(|| {}),
    };
    let transfers = transfer::Transfers::new(link);
    let content = transfer::Content {
        weights: activation::WeightsId {
            manifest: manifest(),
            content: id::Digest::of(b"content"),
        },
        version: String::from("v1"),
        chunk_count: CHUNK_COUNT,
        chunk_bytes: CHUNK_BYTES,
        downloads_max: 1,
        verify: Box::new(|_, _| true),
        download_from_origin: Box::new(|_| Box::pin(std::future::pending())),
    };
    transfers.open(content, None);
    assert!(transfers.record_staged(manifest(), CHUNK, &Bytes::from(vec![0; CHUNK_BYTES])));
    sync::Arc::new(transfers)
}

struct Peer {
    client: sync::Arc<client::Client>,
    address: net::SocketAddr,
}

impl Peer {
    async fn start() -> Self {
        let client = sync::Arc::new(client::Client::new(net::Ipv4Addr::LOCALHOST.into()));
        let transfers = start_transfers(&client);
        let listener = server::bind(net::SocketAddr::from(([127, 0, 0, 1], 0))).await;
        let listener = listener.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let router = router::build_simple_router(|route| {
            route
                .post("/v1/chunks")
                .to_new_handler(server::endpoint(&transfers, transfer::upload));
        });
        tokio::spawn(server::serve(listener, router, process::StopSignal::new()));
        Self { client, address }
    }

    async fn request(&self, chunk: u32) -> hyper::Response<hyper::body::Incoming> {
        let request = messages::ChunkRequest {
            manifest: manifest(),
            chunk,
            overdraft: false,
        };
        let request = client::message_request(self.address, "/v1/chunks", &request);
        let request = request.expect("a message");
        let response = self
            .client
            .send_on_new_connection(self.address, request, TIMEOUT);
        response.await.expect("a response")
    }

    /// Requests a chunk and reads the whole response; returns the denial and the bytes received.
    async fn download(&self, chunk: u32) -> (Option<uploader::UploadDenial>, usize) {
        let response = self.request(chunk).await;
        let body = response.into_body().collect().await.expect("a body");
        let mut decoder = frames::Decoder::new();
        decoder.push(&body.to_bytes());
        let reply: messages::ChunkReply = decoder.try_next().expect("a frame").expect("a reply");
        (reply.denial, decoder.take_rest().len())
    }
}

#[derive(Clone, Copy, Debug)]
enum Earlier {
    Complete,
    NotHeld,
    OutOfRange,
    LeftBeforeTheEnd,
}

#[rstest]
#[case::complete(Earlier::Complete)]
#[case::not_held(Earlier::NotHeld)]
#[case::out_of_range(Earlier::OutOfRange)]
#[case::left_before_the_end(Earlier::LeftBeforeTheEnd)]
#[tokio::test(flavor = "multi_thread")]
async fn the_only_slot_is_free_after_an_earlier_upload(#[case] earlier: Earlier) {
    let peer = Peer::start().await;
    let not_held = Some(uploader::UploadDenial::NotHeld);
    match earlier {
        Earlier::Complete => assert_eq!(peer.download(CHUNK).await, (None, CHUNK_BYTES)),
        Earlier::NotHeld => assert_eq!(peer.download(CHUNK + 1).await, (not_held, 0)),
        Earlier::OutOfRange => assert_eq!(peer.download(CHUNK_COUNT).await, (not_held, 0)),
        Earlier::LeftBeforeTheEnd => {
            let unread = peer.request(CHUNK).await;
            let busy = Some(uploader::UploadDenial::Busy);
            assert_eq!(peer.download(CHUNK).await, (busy, 0));
            drop(unread);
        }
    }
    let ended_at = time::Instant::now();
    loop {
        let (denial, received_bytes) = peer.download(CHUNK).await;
        if denial.is_none() {
            assert_eq!(received_bytes, CHUNK_BYTES);
            return;
        }
        let elapsed = ended_at.elapsed();
        assert!(elapsed < RELEASED_WITHIN, "{denial:?} after {elapsed:?}");
        tokio::time::sleep(time::Duration::from_millis(10)).await;
    }
}
