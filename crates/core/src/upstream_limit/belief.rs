//! What an entry believes of an upstream's limit.
//!
//! Responses can overtake each other, so the order in which they arrive is not always the order in
//! which the upstream made them. A response was certainly made later than another one only if its
//! request was sent after the other had arrived. If that is not certain, the stricter statement is
//! believed.

use std::time;

use super::rate;

/// What a response states about the limit of its upstream.
#[derive(Clone, Debug, PartialEq)]
pub enum Statement {
    /// No limit.
    Unlimited,
    /// A limit.
    Limited(rate::RequestRate),
    /// A limit whose value is not a rate.
    Unreadable(String),
}

/// What an entry believes of an upstream's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Belief {
    /// The limit; `None` if the upstream has none.
    pub limit: Option<rate::RequestRate>,
    /// When an entry received the response that stated it.
    pub stated_at: time::Instant,
}

/// A response, as far as its statement about the limit is concerned.
#[derive(Clone, Debug)]
pub struct Response {
    /// What it states.
    pub statement: Statement,
    /// When its request was sent.
    pub sent_at: time::Instant,
    /// When its head arrived.
    pub received_at: time::Instant,
}

/// Returns the belief after a response; `None` if nothing was ever heard of a limit.
///
/// An unreadable statement changes nothing: it names a limit, so the last readable one is kept.
#[must_use]
pub fn after_response(before: Option<Belief>, response: &Response) -> Option<Belief> {
    let limit = match &response.statement {
        Statement::Limited(limit) => Some(*limit),
        Statement::Unlimited => None,
        Statement::Unreadable(_) => return before,
    };
    let stated = Belief {
        limit,
        stated_at: response.received_at,
    };
    let Some(before) = before else {
        return limit.map(|_| stated);
    };
    let is_certainly_newer = response.sent_at > before.stated_at;
    if is_certainly_newer || !is_stricter(before, stated) {
        Some(stated)
    } else {
        Some(before)
    }
}

/// Returns the newer of two beliefs; of two that are equally old, the stricter one.
#[must_use]
pub fn newer(left: Belief, right: Belief) -> Belief {
    let is_right_newer = right.stated_at > left.stated_at;
    let is_tie = right.stated_at == left.stated_at;
    if is_right_newer || (is_tie && is_stricter(right, left)) {
        right
    } else {
        left
    }
}

fn is_stricter(left: Belief, right: Belief) -> bool {
    match (left.limit, right.limit) {
        (Some(left), Some(right)) => left < right,
        (left, right) => left.is_some() && right.is_none(),
    }
}
