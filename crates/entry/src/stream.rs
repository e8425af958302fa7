//! One answer on its way from an agent, over as many connections as it takes.

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

/// An answer that can't be had whole.
#[derive(Debug, Snafu)]
pub enum StreamError {
    /// The connection broke or fell silent.
    #[snafu(display("the connection to the agent broke or fell silent"))]
    Silent,
    /// The agent no longer has the answer.
    #[snafu(display("the agent no longer has the answer"))]
    Gone,
    /// The agent says that the answer broke off.
    #[snafu(display("{reason}"))]
    Failed {
        /// Why.
        reason: String,
    },
    /// The deadline has passed.
    #[snafu(display("the deadline has passed"))]
    TooLate,
    /// What came does not fit together.
    #[snafu(display("the answer does not fit together: {reason}"))]
    Broken {
        /// Why.
        reason: String,
    },
}

/// Frames of one connection.
#[derive(Debug)]
pub struct FrameReader {
    body: Incoming,
    decoder: frames::Decoder,
    silence_max: time::Duration,
}

impl FrameReader {
    /// Reads frames from a response.
    #[must_use]
    pub fn new(response: Response<Incoming>, silence_max: time::Duration) -> Self {
        Self {
            body: response.into_body(),
            decoder: frames::Decoder::new(),
            silence_max,
        }
    }

    /// Returns the next frame; keep-alives included.
    ///
    /// # Errors
    ///
    /// [`StreamError`] where none comes within the allowed silence.
    pub async fn next(&mut self) -> Result<frames::Frame, StreamError> {
        loop {
            let decoded = self.decoder.try_next();
            let decoded = decoded.map_err(|error| StreamError::Broken {
                reason: error.to_string(),
            })?;
            if let Some(frame) = decoded {
                return Ok(frame);
            }
            let next = tokio::time::timeout(self.silence_max, self.body.frame()).await;
            let Ok(Some(Ok(piece))) = next else {
                return SilentSnafu.fail();
            };
            if let Some(bytes) = piece.data_ref() {
                self.decoder.push(bytes);
            }
        }
    }

    /// Returns the agent's decision.
    ///
    /// # Errors
    ///
    /// [`StreamError`] where it does not come.
    pub async fn admission(&mut self) -> Result<admission::Admission, StreamError> {
        loop {
            match self.next().await? {
                frames::Frame::KeepAlive => {}
                frames::Frame::Admission(admission) => return Ok(admission),
                _ => {
                    return BrokenSnafu {
                        reason: "a frame came before the decision",
                    }
                    .fail();
                }
            }
        }
    }
}

/// Where an answer is.
#[derive(Clone, Debug)]
pub struct Place {
    /// The VM.
    pub vm: id::VmId,
    /// The agent's address.
    pub address: net::SocketAddr,
    /// The life of the agent.
    pub incarnation: id::Incarnation,
}

/// One answer.
#[derive(Debug)]
pub struct AnswerStream {
    app: sync::Arc<app::App>,
    /// Where it comes from.
    pub place: Place,
    request_id: id::RequestId,
    deadline: time::Instant,
    reader: Option<FrameReader>,
    assembler: response::ResponseAssembler,
    resume_count: usize,
}

impl AnswerStream {
    /// Creates a stream; without a reader it begins by resuming from the start.
    #[must_use]
    pub fn new(
        app: sync::Arc<app::App>,
        place: Place,
        request_id: id::RequestId,
        deadline: time::Instant,
        reader: Option<FrameReader>,
    ) -> Self {
        Self {
            app,
            place,
            request_id,
            deadline,
            reader,
            assembler: response::ResponseAssembler::new(),
            resume_count: 0,
        }
    }

    /// Returns the application that the stream belongs to.
    #[must_use]
    pub fn app(&self) -> sync::Arc<app::App> {
        self.app.clone()
    }

    /// Returns the next piece; `None` at the checked end of the answer.
    ///
    /// # Errors
    ///
    /// [`StreamError`] where the answer can't be had whole.
    pub async fn next(&mut self) -> Result<Option<Bytes>, StreamError> {
        loop {
            let remaining = self
                .deadline
                .saturating_duration_since(self.app.clock.now());
            let step = tokio::time::timeout(remaining, self.next_on_connection()).await;
            match step {
                Err(_) => return TooLateSnafu.fail(),
                Ok(Ok(Some(bytes))) if bytes.is_empty() => {}
                Ok(Err(StreamError::Silent)) if self.resume_count < RESUMES_MAX => {
                    log::info!("stream: {} falls silent, resuming.", self.request_id);
                    self.reader = None;
                    self.app.client.drop_idle_connections();
                }
                Ok(result) => return result,
            }
        }
    }

    /// Tells the agent that nobody waits any more.
    pub fn release(&self, delivered: bool) {
        let app = self.app.clone();
        let address = self.place.address;
        let request = messages::ReleaseRequest {
            request_id: self.request_id.clone(),
            delivered,
        };
        tokio::spawn(async move {
            let timeout = app.settings.decide_max;
            let told: Result<(), _> = app
                .client
                .call(address, "/v1/release", &request, timeout)
                .await;
            if let Err(error) = told {
                log::debug!("stream: {error}.");
            }
        });
    }

    async fn next_on_connection(&mut self) -> Result<Option<Bytes>, StreamError> {
        if self.reader.is_none() {
            self.reader = Some(self.connect().await?);
        }
        let Some(reader) = &mut self.reader else {
            return SilentSnafu.fail();
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
                checked.map_err(|error| StreamError::Broken {
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
            Ok(fresh) => Ok(bytes.slice_ref(fresh)),
            Err(error) => {
                log::warn!("stream: {error}.");
                SilentSnafu.fail()
            }
        }
    }

    /// Resumes on a connection of its own, since idle ones may be silent too.
    async fn connect(&mut self) -> Result<FrameReader, StreamError> {
        self.resume_count += 1;
        let request = messages::ResumeRequest {
            request_id: self.request_id.clone(),
            incarnation: self.place.incarnation,
            offset_bytes: self.assembler.received_bytes(),
        };
        let address = self.place.address;
        let silent = |_| StreamError::Silent;
        let request = client::message_request(address, "/v1/resume", &request).map_err(silent)?;
        let timeout = self.app.settings.decide_max;
        let sent = self
            .app
            .client
            .send_on_new_connection(address, request, timeout)
            .await;
        let response = sent.map_err(silent)?;
        if response.status() != StatusCode::OK {
            return GoneSnafu.fail();
        }
        let silence_max = self.app.settings.frame_silence_max;
        Ok(FrameReader::new(response, silence_max))
    }
}
