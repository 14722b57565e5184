//! Classification of HTTP client errors.

use awc::error::{ConnectError, SendRequestError};

/// Returns whether the error rules out that the peer received the request.
///
/// The client also reports the connect error `Disconnected` if the peer closes
/// the connection after the request was sent, so that error proves nothing.
pub(crate) fn was_never_sent(error: &SendRequestError) -> bool {
    match error {
        SendRequestError::Connect(ConnectError::Disconnected) => false,
        SendRequestError::Connect(_) => true,
        _ => false,
    }
}
