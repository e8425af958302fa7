//! What operators do and see at a fleet of processes: status, plans and rollouts.

use std::time;

use pimentohook_core::{id, intent};
use pimentohook_runtime::client;
use pimentohook_standin::fleet;
use pimentohook_wire::public;

use super::{POLL_INTERVAL, ProcessFleet, READY_TIMEOUT, REQUEST_TIMEOUT};

impl ProcessFleet {
    async fn status(&self, entry: usize) -> Option<public::Status> {
        fleet::fetch_status(&self.client, self.entry(entry)).await
    }

    pub async fn config_version(&self, entry: usize) -> id::ConfigVersion {
        let status = self.status(entry).await;
        status.expect("the entry responds").config_version
    }

    pub async fn wait_until_serving_config(&self, entry: usize, version: id::ConfigVersion) {
        let deadline = time::Instant::now() + READY_TIMEOUT;
        while time::Instant::now() < deadline {
            let status = self.status(entry).await;
            let is_serving = status.is_some_and(|status| {
                let mut services = status.services.values();
                status.config_version == version && services.all(|service| service.open_count > 0)
            });
            if is_serving {
                return;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        panic!("the configuration did not come into force in time");
    }

    pub async fn duty_holder(&self) -> usize {
        let deadline = time::Instant::now() + READY_TIMEOUT;
        while time::Instant::now() < deadline {
            let status = self.status(0).await;
            if let Some(holder) = status.and_then(|status| status.duty_holder) {
                let number = holder.as_str().trim_start_matches("entry-");
                return number
                    .parse()
                    .expect("the name of an entry ends in its index");
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        panic!("no entry acquired the lease on the duties");
    }

    pub async fn status_without_token(&self) -> u16 {
        let address = self.entry(0);
        let request = client::json_request::<()>(hyper::Method::GET, address, "/v1/status", None);
        let request = request.expect("a valid request");
        let response = self
            .client
            .send_and_read_body(address, request, REQUEST_TIMEOUT)
            .await;
        response.expect("the entry responds").0.as_u16()
    }

    pub async fn plan(&self, version: &str, entry: usize) -> intent::Plan {
        let intent = intent::Intent::RollOut {
            services: vec![fleet::MODEL_SERVICE.parse().expect("a valid name")],
            version: version.parse().expect("a valid name"),
        };
        let path = "/v1/intents";
        let response =
            fleet::send_operator_request(&self.client, self.entry(entry), path, Some(&intent))
                .await;
        let (status, body) = response.expect("the entry responds");
        assert_eq!(status, 200, "{body:?}");
        serde_json::from_slice(&body).expect("the plan can be decoded")
    }

    pub async fn confirm(&self, plan: &intent::Plan, entry: usize) -> u16 {
        let path = "/v1/confirm";
        let response =
            fleet::send_operator_request(&self.client, self.entry(entry), path, Some(plan)).await;
        response.expect("the entry responds").0.as_u16()
    }

    pub async fn roll_out(&self, version: &str) {
        let plan = self.plan(version, 0).await;
        assert_eq!(self.confirm(&plan, 0).await, 200);
    }

    pub async fn wait_until_live(&self, replica_count: u32, timeout: time::Duration) {
        let deadline = time::Instant::now() + timeout;
        while time::Instant::now() < deadline {
            let mut is_live = true;
            for entry in 0..self.entries.len() {
                let status = self.status(entry).await;
                let count =
                    status.and_then(|status| Some(status.services.values().next()?.live_count));
                is_live &= count == Some(replica_count);
            }
            if is_live {
                return;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        panic!("the new weights were not rolled out in time");
    }
}
