//! What a send without a response says about the request.

/// Why it is certain that an upstream did not run a request and will not run it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum NotRunEvidence {
    /// The request could not be built.
    NotBuilt,
    /// The request was due to be withdrawn before it was sent.
    Withdrawn,
    /// There was no connection to the upstream.
    NotConnected,
    /// The connection closed before the request was written to it.
    ClosedBeforeWrite,
    /// The upstream's response bears the mark of a request that was not run.
    Marked,
    /// The response says that another instance has the address; it may lack the mark.
    OtherInstance,
}

/// What a send without a response says about the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Fault {
    /// The request certainly did not run there.
    NotRun(NotRunEvidence),
    /// The request may be running or may have run there.
    MayHaveRun,
}
