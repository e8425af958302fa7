//! Turns an async function of the application into a gotham handler.

use std::{panic, sync};

use futures_util::FutureExt as _;
use gotham::{
    handler::{Handler, HandlerFuture, NewHandler},
    helpers::http::Body,
    prelude::{FromState as _, StateData, StaticResponseExtender},
    state::State,
};
use hyper::{HeaderMap, Method, Response, Uri};
use serde::Deserialize;

use super::call::Call;
use crate::body;

/// The parameter of a path such as `/v1/services/:name`.
#[derive(Debug, Deserialize, StateData, StaticResponseExtender)]
pub struct NamePath {
    name: String,
}

/// The room for the bodies of messages to a port.
#[derive(StateData)]
pub(super) struct MessageRoom(pub(super) sync::Arc<body::BodyBudget>);

/// A gotham handler that calls an async function with a shared application and a [`Call`].
pub struct Endpoint<A, F> {
    app: sync::Arc<A>,
    handle: F,
}

/// Creates an [`Endpoint`].
pub fn endpoint<A, F>(app: &sync::Arc<A>, handle: F) -> Endpoint<A, F> {
    let app = app.clone();
    Endpoint { app, handle }
}

// gotham responds with status 500 if a handler panics. Applications guard their shared state with
// mutexes and atomics, and locking a poisoned mutex panics again instead of exposing a partial
// change.
impl<A, F> panic::RefUnwindSafe for Endpoint<A, F> {}

impl<A, F> Clone for Endpoint<A, F>
where
    F: Copy,
{
    fn clone(&self) -> Self {
        endpoint(&self.app, self.handle)
    }
}

impl<A, F, R> NewHandler for Endpoint<A, F>
where
    A: Send + Sync + 'static,
    F: Fn(sync::Arc<A>, Call) -> R + Copy + Send + Sync + 'static,
    R: Future<Output = Response<Body>> + Send + 'static,
{
    type Instance = Self;

    fn new_handler(&self) -> gotham::anyhow::Result<Self> {
        Ok(self.clone())
    }
}

impl<A, F, R> Handler for Endpoint<A, F>
where
    A: Send + Sync + 'static,
    F: Fn(sync::Arc<A>, Call) -> R + Copy + Send + Sync + 'static,
    R: Future<Output = Response<Body>> + Send + 'static,
{
    fn handle(self, mut state: State) -> std::pin::Pin<Box<HandlerFuture>> {
        let call = Call {
            method: Method::take_from(&mut state),
            uri: Uri::take_from(&mut state),
            headers: HeaderMap::take_from(&mut state),
            name: NamePath::try_take_from(&mut state).map_or_else(String::new, |path| path.name),
            peer: gotham::state::client_addr(&state),
            body: Body::take_from(&mut state),
            messages: MessageRoom::take_from(&mut state).0,
        };
        let response = (self.handle)(self.app, call);
        response.map(move |response| Ok((state, response))).boxed()
    }
}
