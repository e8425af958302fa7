//! Talking to an entry.

use std::{env, fs, net, time};

use clap::ArgMatches;
use hyper::{Method, StatusCode, header};
use pimentohook_runtime::client;
use pimentohook_wire::public;
use serde::{Serialize, de};

use crate::{CliError, ConflictSnafu, RefusedSnafu, UnreachableSnafu, UsageSnafu};

const TIMEOUT: time::Duration = time::Duration::from_secs(20);
const TOKEN_VARIABLE: &str = "PIMENTOHOOK_TOKEN";

/// An entry and the token to use there.
#[derive(Debug)]
pub struct Remote {
    address: net::SocketAddr,
    token: String,
}

impl Remote {
    /// Reads the arguments that name the entry and the token.
    pub fn from_matches(matches: &ArgMatches) -> Result<Self, CliError> {
        let text = matches
            .get_one::<String>("entry")
            .map_or("", String::as_str);
        let Ok(address) = text.parse() else {
            let message = format!("--entry {text:?}: write an IP address and port");
            return UsageSnafu { message }.fail();
        };
        let token = token(matches)?;
        Ok(Self { address, token })
    }

    /// Reads something.
    pub fn get<A>(&self, path: &str) -> Result<A, CliError>
    where
        A: de::DeserializeOwned,
    {
        self.exchange::<(), A>(Method::GET, path, None)
    }

    /// Sends something and reads the answer.
    pub fn post<Q, A>(&self, path: &str, body: &Q) -> Result<A, CliError>
    where
        Q: Serialize,
        A: de::DeserializeOwned,
    {
        self.exchange(Method::POST, path, Some(body))
    }

    fn exchange<Q, A>(&self, method: Method, path: &str, body: Option<&Q>) -> Result<A, CliError>
    where
        Q: Serialize,
        A: de::DeserializeOwned,
    {
        let (status, answer) = self.send(method, path, body)?;
        if status == StatusCode::CONFLICT {
            return conflict(&answer);
        }
        if status != StatusCode::OK {
            let parsed = serde_json::from_slice::<public::ErrorBody>(&answer);
            let message = match parsed {
                Ok(body) => body.error,
                Err(_) => format!("{} answered {status}", self.address),
            };
            return RefusedSnafu { message }.fail();
        }
        serde_json::from_slice(&answer).or_else(|error| {
            let message = format!("answer of {} can't be read: {error}", self.address);
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
        let usage = |message: String| CliError::Usage { message };
        let mut request = client::json_request(method, self.address, path, body)
            .map_err(|error| usage(error.to_string()))?;
        let bearer = header::HeaderValue::try_from(format!("Bearer {}", self.token));
        let bearer = bearer.map_err(|_| usage(String::from("the token is no header text")))?;
        request.headers_mut().insert(header::AUTHORIZATION, bearer);
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(|error| usage(error.to_string()))?;
        let local = net::IpAddr::V4(net::Ipv4Addr::UNSPECIFIED);
        let exchange = async {
            let client = client::Client::new(local);
            client
                .send_and_read_body(self.address, request, TIMEOUT)
                .await
        };
        runtime.block_on(exchange).or_else(|error| {
            let message = format!("{error}; try another entry");
            UnreachableSnafu { message }.fail()
        })
    }
}

fn conflict<A>(answer: &[u8]) -> Result<A, CliError> {
    let message = match serde_json::from_slice::<public::Conflict>(answer) {
        Ok(conflict) => {
            let plan = conflict.fresh_plan.as_ref();
            let fresh = plan.and_then(|plan| serde_json::to_string(plan).ok());
            match fresh {
                Some(fresh) => format!("{}\nfresh plan: {fresh}", conflict.error),
                None => conflict.error,
            }
        }
        Err(_) => String::from("another operator was faster"),
    };
    ConflictSnafu { message }.fail()
}

fn token(matches: &ArgMatches) -> Result<String, CliError> {
    let Some(path) = matches.get_one::<String>("token-file") else {
        return env::var(TOKEN_VARIABLE).or_else(|_| {
            let message = format!("give --token-file, or set the variable {TOKEN_VARIABLE}");
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
