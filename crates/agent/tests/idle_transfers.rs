//! Tests that transfers without anything to download wait for news instead of polling, and keep no
//! more versions than are of use.

use std::{sync, time};

use bytes::Bytes;
use pimentohook_agent::transfer;
use pimentohook_core::{
    burst::{activation, uploader},
    clock, id, size,
};
use pimentohook_runtime::{client, process};

const TIMEOUT: time::Duration = time::Duration::from_secs(5);
/// For this long nothing happens.
const CALM: time::Duration = time::Duration::from_millis(500);

fn manifest(version: u8) -> id::Digest {
    id::Digest::of(&[version])
}

fn content(version: u8) -> transfer::Content {
    transfer::Content {
        weights: activation::WeightsId {
            manifest: manifest(version),
            content: manifest(version),
        },
        version: format!("v{version}"),
        chunk_count: 1,
        chunk_bytes: 4,
        downloads_max: 1,
        verify: Box::new(|_, _| true),
        download_from_origin: Box::new(|_| Box::pin(std::future::pending())),
    }
}

fn start_transfers() -> sync::Arc<transfer::Transfers> {
    let link = transfer::Link {
        clock: sync::Arc::new(clock::SystemClock),
        client: sync::Arc::new(client::Client::new(std::net::Ipv4Addr::LOCALHOST.into())),
        failure_domain: "domain-1".parse().expect("a name"),
        outgoing_rate: size::ByteRate::new(1 << 40),
        incoming_rate: None,
        link_percent_max: 300,
        upload_slots: 1,
        sets_max: 3,
        stall_max: TIMEOUT,
        prefer_same_domain: false,
        credit_refill: uploader::CreditRefill {
            delay: TIMEOUT,
            per_copy: TIMEOUT,
        },
        on_complete: Box::new(|| {}),
        on_grant_used: Box::new(|| {}),
    };
    sync::Arc::new(transfer::Transfers::new(link))
}

async fn returns_within_calm(transfers: &sync::Arc<transfer::Transfers>) -> bool {
    let stop = process::StopSignal::new();
    let poll = transfers.poll_downloads(&stop);
    tokio::time::timeout(CALM, poll).await.is_ok()
}

/// It woke fifty times a second, all day.
#[tokio::test]
async fn complete_transfers_are_not_polled() {
    let transfers = start_transfers();
    assert!(!returns_within_calm(&transfers).await, "there is no set");
    transfers.open(content(1), None);
    assert!(transfers.record_staged(manifest(1), 0, &Bytes::from_static(b"good")));
    assert!(returns_within_calm(&transfers).await, "a set was opened");
    assert!(!returns_within_calm(&transfers).await, "it is complete");
}

#[tokio::test]
async fn an_opened_set_ends_the_wait() {
    let transfers = start_transfers();
    let stop = process::StopSignal::new();
    let waiting = transfers.clone();
    let poll = tokio::spawn(async move { waiting.poll_downloads(&stop).await });
    tokio::time::sleep(CALM).await;
    transfers.open(content(2), None);
    tokio::time::timeout(CALM, poll)
        .await
        .expect("the end of the wait")
        .expect("no panic");
}

fn open_complete(transfers: &transfer::Transfers, version: u8) {
    transfers.open(content(version), None);
    assert!(transfers.record_staged(manifest(version), 0, &Bytes::from_static(b"good")));
}

/// Three versions were kept, two of them in vain.
#[test]
fn only_the_newest_complete_version_and_the_one_under_way_are_kept() {
    let transfers = start_transfers();
    open_complete(&transfers, 1);
    transfers.drop_superseded();
    assert!(transfers.is_complete(manifest(1)), "the only one");
    transfers.open(content(2), None);
    transfers.drop_superseded();
    assert!(
        transfers.is_complete(manifest(1)),
        "the next one is not there"
    );
    assert!(transfers.record_staged(manifest(2), 0, &Bytes::from_static(b"good")));
    transfers.open(content(3), None);
    transfers.drop_superseded();
    assert!(!transfers.is_complete(manifest(1)));
    assert!(transfers.is_complete(manifest(2)));
    assert!(transfers.progress_of(manifest(3)).is_some(), "under way");
}

/// The agents of the gateway mode set their target with each heartbeat, which woke their downloads
/// each time and kept a core busy.
#[tokio::test]
async fn a_target_that_stays_the_same_wakes_nobody() {
    let transfers = start_transfers();
    open_complete(&transfers, 1);
    assert!(returns_within_calm(&transfers).await, "a set was opened");
    assert!(transfers.set_target(manifest(1)));
    assert!(!returns_within_calm(&transfers).await, "it was the target");
}
