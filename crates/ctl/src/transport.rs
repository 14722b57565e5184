//! What the HTTP client's errors say about the request.

use awc::error::{ConnectError, SendRequestError};

/// Returns whether surely no byte of the request reached the peer.
///
/// The client reports a peer that hangs up after the request as the connect
/// error `Disconnected`, so that one says nothing.
pub(crate) fn was_never_sent(error: &SendRequestError) -> bool {
    match error {
        SendRequestError::Connect(ConnectError::Disconnected) => false,
        SendRequestError::Connect(_) => true,
        _ => false,
    }
}
