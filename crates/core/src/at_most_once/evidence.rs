//! What a send without a response says about the request.

use crate::carried_ids;

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

/// Why it is certain that no part of a request was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unsent {
    /// There was no connection to the upstream.
    NotConnected,
    /// The connection closed before the request was written to it.
    ClosedBeforeWrite,
}

/// How an upstream says that it did not run a request and will not run it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// Its response bears the mark of a request that was not run.
    Marked,
    /// Another instance has the address.
    OtherInstance,
}

impl Refusal {
    /// Returns the evidence that this is, if it answers the send.
    #[must_use]
    pub const fn evidence(self) -> NotRunEvidence {
        match self {
            Self::Marked => NotRunEvidence::Marked,
            Self::OtherInstance => NotRunEvidence::OtherInstance,
        }
    }
}

/// The proof that an upstream did not run a request which was sent to it, and will not run it.
#[derive(Debug)]
#[must_use]
pub struct NotRunProof {
    evidence: NotRunEvidence,
}

impl NotRunProof {
    /// Proves it by the client's word that no part of the request was sent.
    pub const fn unsent(unsent: Unsent) -> Self {
        let evidence = match unsent {
            Unsent::NotConnected => NotRunEvidence::NotConnected,
            Unsent::ClosedBeforeWrite => NotRunEvidence::ClosedBeforeWrite,
        };
        Self { evidence }
    }

    /// Proves it by the upstream's refusal, which answers this send since its connection had not
    /// carried the request before.
    pub fn refused(refusal: Refusal, _: carried_ids::FirstSend) -> Self {
        Self {
            evidence: refusal.evidence(),
        }
    }

    pub(super) const fn local(evidence: NotRunEvidence) -> Self {
        Self { evidence }
    }

    pub(super) const fn into_evidence(self) -> NotRunEvidence {
        self.evidence
    }
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
