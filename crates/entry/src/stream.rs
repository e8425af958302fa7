//! Reads an agent's response and resumes it on a new connection when a connection is lost.

use std::{net, sync, time};

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::{Response, StatusCode, body::Incoming};
use pimentohook_core::{admission, clock::Clock as _, id, response};
use pimentohook_runtime::client;
use pimentohook_wire::{frames, messages};
use snafu::Snafu;

use crate::app;

const RESUMES_MAX: usize = 4;

/// A response can't be read completely.
#[derive(Debug, Snafu)]
pub enum StreamError {
    /// The connection was lost, or sent no frame for too long.
    #[snafu(display("the connection to the agent broke or fell silent"))]
    ConnectionLost,
    /// The agent no longer has the response.
    #[snafu(display("the agent no longer has the answer"))]
    NotKept,
    /// The agent reported that the response was interrupted.
    #[snafu(display("{reason}"))]
    Failed {
        /// The reason.
        reason: String,
    },
    /// The deadline has passed.
    #[snafu(display("the deadline has passed"))]
    DeadlineExceeded,
    /// The received frames are malformed or inconsistent.
    #[snafu(display("the answer does not fit together: {reason}"))]
    Invalid {
        /// The reason.
        reason: String,
    },
}

/// Reads the frames of one connection.
#[derive(Debug)]
pub struct FrameReader {
    body: Incoming,
    decoder: frames::Decoder,
    silence_max: time::Duration,
}

impl FrameReader {
    /// Creates a reader for the body of a response.
    #[must_use]
    pub fn new(response: Response<Incoming>, silence_max: time::Duration) -> Self {
        Self {
            body: response.into_body(),
            decoder: frames::Decoder::new(),
            silence_max,
        }
    }

    /// Returns the next frame, which may be a keep-alive.
    ///
    /// # Errors
    ///
    /// Returns a [`StreamError`] if no valid frame arrives in time.
    pub async fn next(&mut self) -> Result<frames::Frame, StreamError> {
        loop {
            let decoded = self.decoder.try_next();
            let decoded = decoded.map_err(|error| StreamError::Invalid {
                reason: error.to_string(),
            })?;
            if let Some(frame) = decoded {
                return Ok(frame);
            }
            let next = tokio::time::timeout(self.silence_max, self.body.frame()).await;
            let Ok(Some(Ok(body_frame))) = next else {
                return ConnectionLostSnafu.fail();
            };
            if let Some(bytes) = body_frame.data_ref() {
                self.decoder.push(bytes);
            }
        }
    }

    /// Returns the agent's admission decision.
    ///
    /// # Errors
    ///
    /// Returns a [`StreamError`] if the decision does not arrive.
    pub async fn admission(&mut self) -> Result<admission::Admission, StreamError> {
        loop {
            match self.next().await? {
                frames::Frame::KeepAlive => {}
                frames::Frame::Admission(admission) => return Ok(admission),
                _ => {
                    return InvalidSnafu {
                        reason: "a frame came before the decision",
                    }
                    .fail();
                }
            }
        }
    }
}

/// The agent that has a response.
#[derive(Clone, Debug)]
pub struct ResponseLocation {
    /// The VM of the agent.
    pub vm: id::VmId,
    /// The agent's address.
    pub address: net::SocketAddr,
    /// The incarnation of the agent.
    pub incarnation: id::Incarnation,
}

/// A response that is read from an agent.
#[derive(Debug)]
pub struct ResponseStream {
    app: sync::Arc<app::App>,
    /// The agent that the response is read from.
    pub location: ResponseLocation,
    request_id: id::RequestId,
    deadline: time::Instant,
    reader: Option<FrameReader>,
    assembler: response::ResponseAssembler,
    resume_count: usize,
}

impl ResponseStream {
    /// Creates a stream; without a reader it starts by resuming the response from offset 0.
    #[must_use]
    pub fn new(
        app: sync::Arc<app::App>,
        location: ResponseLocation,
        request_id: id::RequestId,
        deadline: time::Instant,
        reader: Option<FrameReader>,
    ) -> Self {
        Self {
            app,
            location,
            request_id,
            deadline,
            reader,
            assembler: response::ResponseAssembler::new(),
            resume_count: 0,
        }
    }

    /// Returns the state of the entry.
    #[must_use]
    pub fn app(&self) -> sync::Arc<app::App> {
        self.app.clone()
    }

    /// Returns the next data; `None` at the end, once length and digest have been checked.
    ///
    /// # Errors
    ///
    /// Returns a [`StreamError`] if the response can't be read completely.
    pub async fn next(&mut self) -> Result<Option<Bytes>, StreamError> {
        loop {
            let remaining = self
                .deadline
                .saturating_duration_since(self.app.clock.now());
            let next = tokio::time::timeout(remaining, self.next_on_connection()).await;
            match next {
                Err(_) => return DeadlineExceededSnafu.fail(),
                Ok(Ok(Some(bytes))) if bytes.is_empty() => {}
                Ok(Err(StreamError::ConnectionLost)) if self.resume_count < RESUMES_MAX => {
                    log::info!("stream: {} falls silent, resuming.", self.request_id);
                    self.reader = None;
                    self.app.client.drop_idle_connections();
                }
                Ok(result) => return result,
            }
        }
    }

    /// Notifies the agent that the response is no longer needed.
    pub fn release(&self, delivered: bool) {
        let app = self.app.clone();
        let address = self.location.address;
        let request = messages::ReleaseRequest {
            request_id: self.request_id.clone(),
            delivered,
        };
        tokio::spawn(async move {
            let timeout = app.settings.decide_max;
            let released: Result<(), _> = app
                .client
                .call(address, "/v1/release", &request, timeout)
                .await;
            if let Err(error) = released {
                log::debug!("stream: releasing a response at its agent failed: {error}.");
            }
        });
    }

    async fn next_on_connection(&mut self) -> Result<Option<Bytes>, StreamError> {
        if self.reader.is_none() {
            self.reader = Some(self.connect().await?);
        }
        let Some(reader) = &mut self.reader else {
            return ConnectionLostSnafu.fail();
        };
        match reader.next().await? {
            frames::Frame::Data {
                offset_bytes,
                bytes,
            } => self.accept(offset_bytes, &bytes).map(Some),
            frames::Frame::End {
                length_bytes,
                digest,
            } => {
                let checked = self.assembler.check_end(length_bytes, digest);
                checked.map_err(|error| StreamError::Invalid {
                    reason: error.to_string(),
                })?;
                Ok(None)
            }
            frames::Frame::Failed { reason } => FailedSnafu { reason }.fail(),
            frames::Frame::KeepAlive | frames::Frame::Admission(_) => Ok(Some(Bytes::new())),
        }
    }

    fn accept(&mut self, offset: u64, bytes: &Bytes) -> Result<Bytes, StreamError> {
        match self.assembler.accept(offset, bytes) {
            Ok(new_bytes) => Ok(bytes.slice_ref(new_bytes)),
            Err(error) => {
                log::warn!("stream: agent sent inconsistent data, resuming: {error}.");
                ConnectionLostSnafu.fail()
            }
        }
    }

    /// Resumes the response on a new connection, because idle ones may be dead too.
    async fn connect(&mut self) -> Result<FrameReader, StreamError> {
        self.resume_count += 1;
        let request = messages::ResumeRequest {
            request_id: self.request_id.clone(),
            incarnation: self.location.incarnation,
            offset_bytes: self.assembler.received_bytes(),
        };
        let address = self.location.address;
        let connection_lost = |_| StreamError::ConnectionLost;
        let request =
            client::message_request(address, "/v1/resume", &request).map_err(connection_lost)?;
        let timeout = self.app.settings.decide_max;
        let result = self
            .app
            .client
            .send_on_new_connection(address, request, timeout)
            .await;
        let response = result.map_err(connection_lost)?;
        if response.status() != StatusCode::OK {
            return NotKeptSnafu.fail();
        }
        let silence_max = self.app.settings.frame_silence_max;
        Ok(FrameReader::new(response, silence_max))
    }
}
