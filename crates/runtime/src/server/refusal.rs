//! Answers heads that are refused.

use std::time;

use pimentohook_core::head_limits;
use tokio::{io::AsyncWriteExt as _, time as tokio_time};

use super::socket::Socket;

/// How long a refusal may take, with what the client still sends.
const REFUSAL_TIME: time::Duration = time::Duration::from_secs(2);
const TIMED_OUT: &str =
    "HTTP/1.1 408 Request Timeout\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";
const TOO_LARGE: &str = "HTTP/1.1 431 Request Header Fields Too Large\r\nconnection: close\r\n\
                         content-length: 0\r\n\r\n";

/// Answers a head that is refused, and closes the connection so that the answer can be read.
pub(super) async fn refuse(mut socket: Socket, refusal: head_limits::Refusal) {
    let response = match refusal {
        head_limits::Refusal::TimedOut => TIMED_OUT,
        head_limits::Refusal::TooLarge => TOO_LARGE,
    };
    let written = tokio_time::timeout(REFUSAL_TIME, async {
        socket.write_all(response.as_bytes()).await?;
        socket.shutdown().await
    });
    if !matches!(written.await, Ok(Ok(()))) {
        log::debug!("server: event=refusal_unread refusal={refusal:?}");
    }
}
