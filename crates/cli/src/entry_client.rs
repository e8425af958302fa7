//! A blocking HTTP client for the operator API of an entry.

use std::{env, fs, net, time};

use clap::ArgMatches;
use hyper::{Method, StatusCode, header};
use pimentohook_runtime::client;
use pimentohook_wire::public;
use serde::{Serialize, de};

use crate::{CliError, ConflictSnafu, RefusedSnafu, UnreachableSnafu, UsageSnafu};

const TIMEOUT: time::Duration = time::Duration::from_secs(20);
const TOKEN_ENV: &str = "PIMENTOHOOK_TOKEN";

/// The address of an entry and the token for it.
#[derive(Debug)]
pub struct EntryClient {
    address: net::SocketAddr,
    token: String,
}

impl EntryClient {
    /// Creates a client from the arguments for the entry and the token.
    pub fn from_matches(matches: &ArgMatches) -> Result<Self, CliError> {
        let text = matches
            .get_one::<String>("entry")
            .map_or("", String::as_str);
        let Ok(address) = text.parse() else {
            let message = format!("--entry {text:?}: expected an IP address and port");
            return UsageSnafu { message }.fail();
        };
        let token = read_token(matches)?;
        Ok(Self { address, token })
    }

    /// Sends a GET request and decodes the response.
    pub fn get<A>(&self, path: &str) -> Result<A, CliError>
    where
        A: de::DeserializeOwned,
    {
        self.request::<(), A>(Method::GET, path, None)
    }

    /// Sends a POST request and decodes the response.
    pub fn post<Q, A>(&self, path: &str, body: &Q) -> Result<A, CliError>
    where
        Q: Serialize,
        A: de::DeserializeOwned,
    {
        self.request(Method::POST, path, Some(body))
    }

    fn request<Q, A>(&self, method: Method, path: &str, body: Option<&Q>) -> Result<A, CliError>
    where
        Q: Serialize,
        A: de::DeserializeOwned,
    {
        let (status, body) = self.send(method, path, body)?;
        if status == StatusCode::CONFLICT {
            return conflict(&body);
        }
        if status != StatusCode::OK {
            let parsed = serde_json::from_slice::<public::ErrorBody>(&body);
            let message = match parsed {
                Ok(error_body) => error_body.error,
                Err(_) => format!("{} responded with status {status}", self.address),
            };
            return RefusedSnafu { message }.fail();
        }
        serde_json::from_slice(&body).or_else(|error| {
            let message = format!("invalid response from {}: {error}", self.address);
            RefusedSnafu { message }.fail()
        })
    }

    fn send<Q>(
        &self,
        method: Method,
        path: &str,
        body: Option<&Q>,
    ) -> Result<(StatusCode, bytes::Bytes), CliError>
    where
        Q: Serialize,
    {
        let usage_error = |message: String| CliError::Usage { message };
        let mut request = client::json_request(method, self.address, path, body)
            .map_err(|error| usage_error(error.to_string()))?;
        let authorization = header::HeaderValue::try_from(format!("Bearer {}", self.token));
        let authorization = authorization
            .map_err(|_| usage_error(String::from("the token is not a valid header value")))?;
        request
            .headers_mut()
            .insert(header::AUTHORIZATION, authorization);
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(|error| usage_error(error.to_string()))?;
        let local_ip = net::IpAddr::V4(net::Ipv4Addr::UNSPECIFIED);
        let response = async {
            let client = client::Client::new(local_ip);
            client
                .send_and_read_body(self.address, request, TIMEOUT)
                .await
        };
        runtime.block_on(response).or_else(|error| {
            let message = format!("{error}; try another entry");
            UnreachableSnafu { message }.fail()
        })
    }
}

fn conflict<A>(body: &[u8]) -> Result<A, CliError> {
    let message = match serde_json::from_slice::<public::Conflict>(body) {
        Ok(conflict) => {
            let fresh_plan = conflict.fresh_plan.as_ref();
            let json = fresh_plan.and_then(|plan| serde_json::to_string(plan).ok());
            match json {
                Some(json) => format!("{}\nfresh plan: {json}", conflict.error),
                None => conflict.error,
            }
        }
        Err(_) => String::from("another operator has changed the configuration"),
    };
    ConflictSnafu { message }.fail()
}

fn read_token(matches: &ArgMatches) -> Result<String, CliError> {
    let Some(path) = matches.get_one::<String>("token-file") else {
        return env::var(TOKEN_ENV).or_else(|_| {
            let message =
                format!("no token: pass --token-file or set the environment variable {TOKEN_ENV}");
            UsageSnafu { message }.fail()
        });
    };
    match fs::read_to_string(path) {
        Ok(text) => Ok(String::from(text.trim())),
        Err(error) => {
            let message = format!("--token-file {path}: {error}");
            UsageSnafu { message }.fail()
        }
    }
}
