//! Reads bodies, which have a bounded size, each and all together.

use std::{net, sync, sync::atomic};

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::{
    Response,
    body::{Body as _, Incoming},
    header,
};

use crate::client_error;

/// The transfer encoding with which a body marks its end.
const CHUNKED: &str = "chunked";

/// Reads the complete body of a response.
///
/// # Errors
///
/// Returns [`client_error::ClientError`] if the body was interrupted or is larger than `max_bytes`.
pub async fn read_body(
    address: net::SocketAddr,
    response: Response<Incoming>,
    max_bytes: usize,
) -> Result<Bytes, client_error::ClientError> {
    let limited = http_body_util::Limited::new(response.into_body(), max_bytes);
    match limited.collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => {
            Err(client_error::ClientError::TooLarge { address, max_bytes })
        }
        Err(_) => Err(client_error::ClientError::Broken { address }),
    }
}

/// Returns whether the end of a body, none of which has been read, can be told from a connection that
/// was closed too early.
#[must_use]
pub fn has_marked_end(response: &Response<Incoming>) -> bool {
    let transfer_encodings = response.headers().get_all(header::TRANSFER_ENCODING);
    let last = transfer_encodings.iter().next_back();
    let Some(last) = last else {
        return response.body().size_hint().exact().is_some();
    };
    // A body whose last encoding is another one ends with its connection, also if it has a length.
    let last = last.to_str().unwrap_or_default().rsplit(',').next();
    last.is_some_and(|last| last.trim().eq_ignore_ascii_case(CHUNKED))
}

/// A bound on the memory of all bodies of a kind at the same time.
#[derive(Debug)]
pub struct BodyBudget {
    max_bytes: usize,
    free_bytes: atomic::AtomicUsize,
}

impl BodyBudget {
    /// Creates a budget of `max_bytes`.
    #[must_use]
    pub const fn new(max_bytes: usize) -> Self {
        Self {
            max_bytes,
            free_bytes: atomic::AtomicUsize::new(max_bytes),
        }
    }

    /// Returns the number of bytes that are not reserved.
    #[must_use]
    pub fn free_bytes(&self) -> usize {
        self.free_bytes.load(atomic::Ordering::Relaxed)
    }

    /// Reserves bytes if at least `kept_bytes` stay free besides.
    fn try_reserve(&self, bytes: usize, kept_bytes: usize) -> bool {
        let ordering = atomic::Ordering::Relaxed;
        let reserve = |free_bytes: usize| {
            let left = free_bytes.checked_sub(bytes)?;
            (left >= kept_bytes).then_some(left)
        };
        self.free_bytes
            .fetch_update(ordering, ordering, reserve)
            .is_ok()
    }
}

/// The bytes of a budget that one body has reserved; they are free again when it is dropped.
#[derive(Debug)]
struct Reservation {
    budget: sync::Arc<BodyBudget>,
    bytes: usize,
}

impl Reservation {
    fn new(budget: &sync::Arc<BodyBudget>) -> Self {
        Self {
            budget: budget.clone(),
            bytes: 0,
        }
    }

    fn try_extend(&mut self, bytes: usize, kept_bytes: usize) -> bool {
        let is_reserved = self.budget.try_reserve(bytes, kept_bytes);
        self.bytes += if is_reserved { bytes } else { 0 };
        is_reserved
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let ordering = atomic::Ordering::Relaxed;
        self.budget.free_bytes.fetch_add(self.bytes, ordering);
    }
}

/// The part of a budget that only small bodies may use, as a divisor.
const SMALL_SHARE_DIVISOR: usize = 8;
/// The size of a small body, which is common, in bytes.
const SMALL_MAX_BYTES: usize = 64 << 10;

/// A body that is being read within a budget, which it uses until its last copy is dropped.
#[derive(Debug)]
pub struct BudgetedBody {
    bytes: Vec<u8>,
    reservation: Reservation,
}

impl AsRef<[u8]> for BudgetedBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl BudgetedBody {
    /// Reserves room for a body of `expected_bytes`; returns `None` if there is none.
    ///
    /// A part of the budget is kept for small bodies, so that large ones never use up all of it.
    #[must_use]
    pub fn reserve(budget: &sync::Arc<BodyBudget>, expected_bytes: usize) -> Option<Self> {
        let mut body = Self {
            bytes: Vec::new(),
            reservation: Reservation::new(budget),
        };
        if !body.make_room(expected_bytes) {
            return None;
        }
        body.bytes.reserve_exact(expected_bytes);
        Some(body)
    }

    /// Appends a piece; returns false if it does not fit into the budget.
    pub fn push(&mut self, piece: &[u8]) -> bool {
        let fits = self.make_room(self.bytes.len() + piece.len());
        if fits {
            self.bytes.extend_from_slice(piece);
        }
        fits
    }

    /// Returns the body; its bytes stay reserved until the last copy is dropped.
    #[must_use]
    pub fn into_bytes(self) -> Bytes {
        Bytes::from_owner(self)
    }

    fn make_room(&mut self, len: usize) -> bool {
        let missing = len.saturating_sub(self.reservation.bytes);
        let max_bytes = self.reservation.budget.max_bytes;
        let kept_bytes = if len <= SMALL_MAX_BYTES {
            0
        } else {
            max_bytes / SMALL_SHARE_DIVISOR
        };
        missing == 0 || self.reservation.try_extend(missing, kept_bytes)
    }
}

/// What a piece of a body counts for at least, so that one in tiny pieces costs bounded time.
const PIECE_MIN_BYTES: usize = 128;

/// Like [`read_body`], but fails as well when all responses that are being read with the same
/// budget exceed it together.
///
/// # Errors
///
/// Returns [`client_error::ClientError`] if the body was interrupted or is larger than `max_bytes`, where each
/// piece counts for 128 bytes at least, or larger than what is left of the budget.
pub async fn read_body_within(
    address: net::SocketAddr,
    response: Response<Incoming>,
    max_bytes: usize,
    budget: &sync::Arc<BodyBudget>,
) -> Result<Bytes, client_error::ClientError> {
    let mut reservation = Reservation::new(budget);
    let mut body = response.into_body();
    let mut read = Vec::new();
    let mut counted_bytes: usize = 0;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| client_error::ClientError::Broken { address })?;
        let Ok(bytes) = frame.into_data() else {
            continue;
        };
        counted_bytes += bytes.len().max(PIECE_MIN_BYTES);
        let fits = counted_bytes <= max_bytes && reservation.try_extend(bytes.len(), 0);
        if !fits {
            return Err(client_error::ClientError::TooLarge { address, max_bytes });
        }
        read.extend_from_slice(&bytes);
    }
    Ok(Bytes::from(read))
}
