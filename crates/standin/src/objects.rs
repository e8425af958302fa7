//! A test double of the platform's object API and list of VMs.

use std::{sync, time};

use bytes::Bytes;
use futures_util::stream;
use gotham::{
    helpers::http::Body,
    prelude::{DefineSingleRoute as _, DrawRoutes as _},
    router,
};
use http_body_util::{BodyExt as _, StreamBody};
use hyper::{Response, StatusCode, body::Frame};
use indexmap::IndexMap;
use pimentohook_platform::vms;
use pimentohook_runtime::server;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use crate::lock;

const VALUE_MAX_BYTES: usize = 1 << 20;

/// Faults that can be injected.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Whether every call fails with status 503.
    pub down: bool,
    /// The delay before each call is processed, in milliseconds.
    pub delay_ms: u64,
    /// How many of the next writes take effect while their replies are lost.
    pub lost_reply_count: u32,
    /// Whether the API is down from the next lost reply on.
    pub down_after_lost_reply: bool,
}

/// The number of calls received; a long-polling read counts once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Reads, long-polling reads and listings of VMs.
    pub read_count: u64,
    /// Writes, including failed ones.
    pub write_count: u64,
}

#[derive(Clone, Debug, Serialize)]
struct Object {
    version: u64,
    value: serde_json::Value,
}

/// An in-memory object store with optimistic concurrency control, and a list of VMs.
#[derive(Debug)]
pub struct ObjectApi {
    objects: sync::Mutex<IndexMap<String, Object>>,
    vms: sync::Mutex<Vec<vms::Vm>>,
    faults: sync::Mutex<Faults>,
    counts: sync::Mutex<Counts>,
    changed: watch::Sender<u64>,
}

impl ObjectApi {
    /// Creates an object API that holds no objects.
    #[must_use]
    pub fn new() -> sync::Arc<Self> {
        sync::Arc::new(Self {
            objects: sync::Mutex::new(IndexMap::new()),
            vms: sync::Mutex::new(Vec::new()),
            faults: sync::Mutex::new(Faults::default()),
            counts: sync::Mutex::new(Counts::default()),
            changed: watch::Sender::new(0),
        })
    }

    /// Sets the injected faults.
    pub fn set_faults(&self, faults: Faults) {
        *lock(&self.faults) = faults;
    }

    /// Returns the number of calls so far.
    #[must_use]
    pub fn counts(&self) -> Counts {
        *lock(&self.counts)
    }

    /// Replaces the list of VMs.
    pub fn set_vms(&self, vms: Vec<vms::Vm>) {
        *lock(&self.vms) = vms;
    }

    /// Writes an object unconditionally and increments its version.
    pub fn set(&self, name: &str, value: serde_json::Value) {
        let mut objects = lock(&self.objects);
        let version = objects.get(name).map_or(1, |object| object.version + 1);
        objects.insert(String::from(name), Object { version, value });
        drop(objects);
        self.changed.send_modify(|count| *count += 1);
    }

    /// Returns the current value of an object.
    #[must_use]
    pub fn value(&self, name: &str) -> Option<serde_json::Value> {
        lock(&self.objects)
            .get(name)
            .map(|object| object.value.clone())
    }

    /// Writes an object if its version is still `if_version`, where 0 stands for a missing object.
    ///
    /// Returns the new version, or the current one as the error on a conflict.
    fn update(&self, name: &str, if_version: u64, value: serde_json::Value) -> Result<u64, u64> {
        let mut objects = lock(&self.objects);
        let current = objects.get(name).map_or(0, |object| object.version);
        if current != if_version {
            return Err(current);
        }
        let version = current + 1;
        objects.insert(String::from(name), Object { version, value });
        drop(objects);
        self.changed.send_modify(|count| *count += 1);
        Ok(version)
    }

    fn newer_than(&self, name: &str, after: u64) -> Option<Object> {
        let objects = lock(&self.objects);
        let object = objects.get(name)?;
        (object.version > after).then(|| object.clone())
    }

    /// Waits for the injected delay and returns whether the API is down.
    async fn delay_and_check_down(&self) -> bool {
        let faults = *lock(&self.faults);
        tokio::time::sleep(time::Duration::from_millis(faults.delay_ms)).await;
        faults.down
    }

    /// Returns whether the reply to this write is lost, and decrements the injected count.
    fn take_lost_reply(&self) -> bool {
        let mut faults = lock(&self.faults);
        let is_lost = faults.lost_reply_count > 0;
        faults.down |= is_lost && faults.down_after_lost_reply;
        faults.lost_reply_count = faults.lost_reply_count.saturating_sub(1);
        is_lost
    }
}

/// Returns the HTTP routes of the API.
#[must_use]
pub fn router(api: &sync::Arc<ObjectApi>) -> router::Router {
    router::build_simple_router(|route| {
        route
            .get("/objects/:name")
            .with_path_extractor::<server::NamePath>()
            .to_new_handler(server::endpoint(api, read));
        route
            .put("/objects/:name")
            .with_path_extractor::<server::NamePath>()
            .to_new_handler(server::endpoint(api, write));
        route
            .get("/vms")
            .to_new_handler(server::endpoint(api, list_vms));
        route
            .post("/vms")
            .to_new_handler(server::endpoint(api, set_vms));
        route
            .post("/faults")
            .to_new_handler(server::endpoint(api, set_faults));
        route
            .get("/counts")
            .to_new_handler(server::endpoint(api, counts));
    })
}

async fn read(api: sync::Arc<ObjectApi>, call: server::Call) -> Response<Body> {
    lock(&api.counts).read_count += 1;
    if api.delay_and_check_down().await {
        return server::respond_text(StatusCode::SERVICE_UNAVAILABLE, "down");
    }
    let after = call.query("after").and_then(|text| text.parse().ok());
    let Some(after) = after else {
        return match api.newer_than(&call.name, 0) {
            Some(object) => server::respond_json(StatusCode::OK, &object),
            None => server::respond_text(StatusCode::NOT_FOUND, "no such object"),
        };
    };
    let wait_ms = call.query("wait_ms").and_then(|text| text.parse().ok());
    let wait = time::Duration::from_millis(wait_ms.unwrap_or(0));
    let result = tokio::time::timeout(wait, wait_for_newer(&api, &call.name, after)).await;
    match result {
        Ok(object) if !lock(&api.faults).down => server::respond_json(StatusCode::OK, &object),
        Ok(_) => server::respond_text(StatusCode::SERVICE_UNAVAILABLE, "down"),
        Err(_) => server::respond(StatusCode::NOT_MODIFIED, "text/plain", Bytes::new()),
    }
}

async fn wait_for_newer(api: &ObjectApi, name: &str, after: u64) -> Object {
    let mut changed = api.changed.subscribe();
    loop {
        if let Some(object) = api.newer_than(name, after) {
            return object;
        }
        if changed.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

async fn write(api: sync::Arc<ObjectApi>, call: server::Call) -> Response<Body> {
    lock(&api.counts).write_count += 1;
    if api.delay_and_check_down().await {
        return server::respond_text(StatusCode::SERVICE_UNAVAILABLE, "down");
    }
    let if_version = call.query("if_version").and_then(|text| text.parse().ok());
    let Some(if_version) = if_version else {
        return server::respond_text(StatusCode::BAD_REQUEST, "if_version is needed");
    };
    let name = call.name.clone();
    let value = match call.read_json(VALUE_MAX_BYTES).await {
        Ok(value) => value,
        Err(error) => return server::respond_text(error.status(), &error.to_string()),
    };
    let result = api.update(&name, if_version, value);
    if api.take_lost_reply() {
        return broken_response();
    }
    let version = |version: u64| serde_json::json!({ "version": version });
    match result {
        Ok(new) => server::respond_json(StatusCode::OK, &version(new)),
        Err(current) => server::respond_json(StatusCode::CONFLICT, &version(current)),
    }
}

/// Returns a response whose connection is reset before the body is sent.
fn broken_response() -> Response<Body> {
    let error = std::io::Error::from(std::io::ErrorKind::ConnectionReset);
    let frames = stream::iter([Err::<Frame<Bytes>, _>(error)]);
    Response::new(StreamBody::new(frames).boxed_unsync())
}

async fn list_vms(api: sync::Arc<ObjectApi>, _call: server::Call) -> Response<Body> {
    lock(&api.counts).read_count += 1;
    if api.delay_and_check_down().await {
        return server::respond_text(StatusCode::SERVICE_UNAVAILABLE, "down");
    }
    server::respond_json(StatusCode::OK, &*lock(&api.vms))
}

async fn set_vms(api: sync::Arc<ObjectApi>, call: server::Call) -> Response<Body> {
    match call.read_json(VALUE_MAX_BYTES).await {
        Ok(vms) => {
            api.set_vms(vms);
            server::respond_text(StatusCode::OK, "set")
        }
        Err(error) => server::respond_text(error.status(), &error.to_string()),
    }
}

async fn set_faults(api: sync::Arc<ObjectApi>, call: server::Call) -> Response<Body> {
    match call.read_json(VALUE_MAX_BYTES).await {
        Ok(faults) => {
            api.set_faults(faults);
            server::respond_text(StatusCode::OK, "set")
        }
        Err(error) => server::respond_text(error.status(), &error.to_string()),
    }
}

async fn counts(api: sync::Arc<ObjectApi>, _call: server::Call) -> Response<Body> {
    server::respond_json(StatusCode::OK, &api.counts())
}
