//! Errors of calls over a link.

use {displaydoc::Display, std::time::Duration};

/// Result of a call over a link.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a call over a link failed.
#[derive(Debug, Display)]
pub enum Error {
    /// cannot connect: {0}
    Connect(std::io::Error),
    /// no connection within {0:?}
    ConnectTimeout(Duration),
    /// no answer within {0:?}
    CallTimeout(Duration),
    /// the call failed: {0}
    Call(capnp::Error),
    /// no session within the time
    NoSession,
    /// the answer cannot be read: {0}
    Frame(crate::frame::Error),
}

impl std::error::Error for Error {}

impl Error {
    /// Whether the call certainly did not reach the peer.
    pub fn is_unsent(&self) -> bool {
        matches!(self, Self::Connect(_) | Self::ConnectTimeout(_) | Self::NoSession)
            || self.is_refused()
    }

    /// Whether the peer has refused the connection because it holds as many as it may.
    pub fn is_refused(&self) -> bool {
        // A connection that times out has the same kind, but another text.
        matches!(self, Self::Call(error) if error.kind == capnp::ErrorKind::Overloaded
            && error.extra.contains(crate::serve::CONNECTION_REFUSED))
    }

    /// Whether the peer could not read the call, as a process of a former version cannot read a call
    /// that it does not know. Then the call was not carried out.
    pub fn is_unread(&self) -> bool {
        matches!(self, Self::Call(error) if error.kind == capnp::ErrorKind::Failed)
    }

    /// Whether the connection itself has failed.
    pub fn is_disconnected(&self) -> bool {
        matches!(self, Self::Call(error) if error.kind == capnp::ErrorKind::Disconnected)
    }
}

impl From<capnp::Error> for Error {
    fn from(error: capnp::Error) -> Self {
        Self::Call(error)
    }
}

impl From<crate::frame::Error> for Error {
    fn from(error: crate::frame::Error) -> Self {
        Self::Frame(error)
    }
}
