//! Client of the other entries.

use std::{net, time};

use hyper::{Method, StatusCode};
use pimentohook_runtime::client;
use serde::de;

use crate::app;

const CALL_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// Fetches JSON from another entry; returns `None` if that fails.
pub async fn get<T>(app: &app::App, address: net::SocketAddr, path: &str) -> Option<T>
where
    T: de::DeserializeOwned,
{
    let request = client::json_request::<()>(Method::GET, address, path, None).ok()?;
    let response = app
        .client
        .send_and_read_body(address, request, CALL_TIMEOUT)
        .await;
    let (status, body) = response.ok()?;
    if status != StatusCode::OK {
        return None;
    }
    serde_json::from_slice(&body).ok()
}
