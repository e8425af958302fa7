//! The object API and the list of VMs.

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

/// Switches for faults.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Every call is refused.
    pub down: bool,
    /// Every call waits this long first.
    pub delay_ms: u64,
    /// So many writes take effect without a reply.
    pub lost_reply_count: u32,
}

/// How many calls there were, each waiting watch counted once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Reads and watches.
    pub read_count: u64,
    /// Writes, refused ones included.
    pub write_count: u64,
}

#[derive(Clone, Debug, Serialize)]
struct Object {
    version: u64,
    value: serde_json::Value,
}

/// The object API.
#[derive(Debug)]
pub struct ObjectApi {
    kept: sync::Mutex<IndexMap<String, Object>>,
    vms: sync::Mutex<Vec<vms::Vm>>,
    faults: sync::Mutex<Faults>,
    counts: sync::Mutex<Counts>,
    changed: watch::Sender<u64>,
}

impl ObjectApi {
    /// Creates an API without objects.
    #[must_use]
    pub fn new() -> sync::Arc<Self> {
        sync::Arc::new(Self {
            kept: sync::Mutex::new(IndexMap::new()),
            vms: sync::Mutex::new(Vec::new()),
            faults: sync::Mutex::new(Faults::default()),
            counts: sync::Mutex::new(Counts::default()),
            changed: watch::Sender::new(0),
        })
    }

    /// Sets the faults.
    pub fn set_faults(&self, faults: Faults) {
        *lock(&self.faults) = faults;
    }

    /// Returns how many calls there were.
    #[must_use]
    pub fn counts(&self) -> Counts {
        *lock(&self.counts)
    }

    /// Sets the list of VMs.
    pub fn set_vms(&self, vms: Vec<vms::Vm>) {
        *lock(&self.vms) = vms;
    }

    /// Writes an object regardless of its version.
    pub fn set(&self, name: &str, value: serde_json::Value) {
        let mut objects = lock(&self.kept);
        let version = objects.get(name).map_or(1, |object| object.version + 1);
        objects.insert(String::from(name), Object { version, value });
        drop(objects);
        self.changed.send_modify(|count| *count += 1);
    }

    /// Returns the value of an object.
    #[must_use]
    pub fn value(&self, name: &str) -> Option<serde_json::Value> {
        lock(&self.kept)
            .get(name)
            .map(|object| object.value.clone())
    }

    fn update(&self, name: &str, if_version: u64, value: serde_json::Value) -> Result<u64, u64> {
        let mut objects = lock(&self.kept);
        let present = objects.get(name).map_or(0, |object| object.version);
        if present != if_version {
            return Err(present);
        }
        let version = present + 1;
        objects.insert(String::from(name), Object { version, value });
        drop(objects);
        self.changed.send_modify(|count| *count += 1);
        Ok(version)
    }

    fn newer(&self, name: &str, after: u64) -> Option<Object> {
        let objects = lock(&self.kept);
        let object = objects.get(name)?;
        (object.version > after).then(|| object.clone())
    }

    /// Applies the faults that concern every call; true where the call is refused.
    async fn is_refused(&self) -> bool {
        let faults = *lock(&self.faults);
        tokio::time::sleep(time::Duration::from_millis(faults.delay_ms)).await;
        faults.down
    }

    fn loses_reply(&self) -> bool {
        let mut faults = lock(&self.faults);
        let loses = faults.lost_reply_count > 0;
        faults.lost_reply_count = faults.lost_reply_count.saturating_sub(1);
        loses
    }
}

/// Returns the router of the API.
#[must_use]
pub fn router(objects: &sync::Arc<ObjectApi>) -> router::Router {
    router::build_simple_router(|route| {
        route
            .get("/objects/:name")
            .with_path_extractor::<server::NamePath>()
            .to_new_handler(server::endpoint(objects, read));
        route
            .put("/objects/:name")
            .with_path_extractor::<server::NamePath>()
            .to_new_handler(server::endpoint(objects, write));
        route
            .get("/vms")
            .to_new_handler(server::endpoint(objects, list_vms));
        route
            .post("/vms")
            .to_new_handler(server::endpoint(objects, set_vms));
        route
            .post("/faults")
            .to_new_handler(server::endpoint(objects, set_faults));
        route
            .get("/counts")
            .to_new_handler(server::endpoint(objects, counts));
    })
}

async fn read(objects: sync::Arc<ObjectApi>, call: server::Call) -> Response<Body> {
    lock(&objects.counts).read_count += 1;
    if objects.is_refused().await {
        return server::respond_text(StatusCode::SERVICE_UNAVAILABLE, "down");
    }
    let after = call.query("after").and_then(|text| text.parse().ok());
    let Some(after) = after else {
        return match objects.newer(&call.name, 0) {
            Some(object) => server::respond_json(StatusCode::OK, &object),
            None => server::respond_text(StatusCode::NOT_FOUND, "no such object"),
        };
    };
    let wait_ms = call.query("wait_ms").and_then(|text| text.parse().ok());
    let wait = time::Duration::from_millis(wait_ms.unwrap_or(0));
    let waited = tokio::time::timeout(wait, wait_newer(&objects, &call.name, after)).await;
    match waited {
        Ok(object) if !lock(&objects.faults).down => server::respond_json(StatusCode::OK, &object),
        Ok(_) => server::respond_text(StatusCode::SERVICE_UNAVAILABLE, "down"),
        Err(_) => server::respond(StatusCode::NOT_MODIFIED, "text/plain", Bytes::new()),
    }
}

async fn wait_newer(objects: &ObjectApi, name: &str, after: u64) -> Object {
    let mut changed = objects.changed.subscribe();
    loop {
        if let Some(object) = objects.newer(name, after) {
            return object;
        }
        if changed.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

async fn write(objects: sync::Arc<ObjectApi>, call: server::Call) -> Response<Body> {
    lock(&objects.counts).write_count += 1;
    if objects.is_refused().await {
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
    let result = objects.update(&name, if_version, value);
    if objects.loses_reply() {
        return broken_response();
    }
    let version = |version: u64| serde_json::json!({ "version": version });
    match result {
        Ok(new) => server::respond_json(StatusCode::OK, &version(new)),
        Err(present) => server::respond_json(StatusCode::CONFLICT, &version(present)),
    }
}

/// A response whose connection breaks before its body.
fn broken_response() -> Response<Body> {
    let error = std::io::Error::from(std::io::ErrorKind::ConnectionReset);
    let frames = stream::iter([Err::<Frame<Bytes>, _>(error)]);
    Response::new(StreamBody::new(frames).boxed_unsync())
}

async fn list_vms(objects: sync::Arc<ObjectApi>, _call: server::Call) -> Response<Body> {
    lock(&objects.counts).read_count += 1;
    if objects.is_refused().await {
        return server::respond_text(StatusCode::SERVICE_UNAVAILABLE, "down");
    }
    server::respond_json(StatusCode::OK, &*lock(&objects.vms))
}

async fn set_vms(objects: sync::Arc<ObjectApi>, call: server::Call) -> Response<Body> {
    match call.read_json(VALUE_MAX_BYTES).await {
        Ok(vms) => {
            objects.set_vms(vms);
            server::respond_text(StatusCode::OK, "set")
        }
        Err(error) => server::respond_text(error.status(), &error.to_string()),
    }
}

async fn set_faults(objects: sync::Arc<ObjectApi>, call: server::Call) -> Response<Body> {
    match call.read_json(VALUE_MAX_BYTES).await {
        Ok(faults) => {
            objects.set_faults(faults);
            server::respond_text(StatusCode::OK, "set")
        }
        Err(error) => server::respond_text(error.status(), &error.to_string()),
    }
}

async fn counts(objects: sync::Arc<ObjectApi>, _call: server::Call) -> Response<Body> {
    server::respond_json(StatusCode::OK, &objects.counts())
}
