//! Reads the bodies of messages from peers into memory that is proportional to their length.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Body;

/// Limit on the size of request and response bodies.
pub const MAX_BODY_BYTES: usize = 64 << 10;

/// Why a body was not read completely.
#[derive(Debug, PartialEq, Eq)]
pub enum BodyError {
    /// It is longer than [`MAX_BODY_BYTES`].
    TooLong,
    /// The connection failed or ended, or the framing is invalid.
    Incomplete,
}

/// Reads a body to its end.
///
/// Each frame is copied and dropped: a frame is a slice of the buffer that the connection was read into, and keeping a
/// frame of one byte would keep the whole buffer.
pub async fn read_body(mut body: impl Body<Data = Bytes> + Unpin) -> Result<Bytes, BodyError> {
    let mut received = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| BodyError::Incomplete)?;
        // Trailers are not forwarded.
        let Ok(data) = frame.into_data() else { continue };
        if received.len() + data.len() > MAX_BODY_BYTES {
            return Err(BodyError::TooLong);
        }
        received.extend_from_slice(&data);
    }
    Ok(received.freeze())
}

#[cfg(test)]
#[path = "../../tests/unit/net_body.rs"]
mod tests;
