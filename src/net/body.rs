//! Reads the bodies of messages from peers into memory that is charged to a budget.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;

use super::memory_budget::Charge;

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

/// The content of a body and its charge, which ends when the last reference to the content is dropped.
struct ChargedBytes {
    content: Vec<u8>,
    _charge: Charge,
}

impl AsRef<[u8]> for ChargedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.content
    }
}

/// The number of bytes to allocate for a body: its length or, if that is unknown, the limit.
pub fn body_capacity(body: &impl Body) -> usize {
    body.size_hint().exact().map_or(MAX_BODY_BYTES, |length| length.min(MAX_BODY_BYTES as u64) as usize)
}

/// Reads a body to its end into one buffer of [`body_capacity`] bytes. `charge` covers the buffer; what exceeds
/// `head_bytes` and the body is given back.
///
/// Each frame is copied and dropped: a frame is a slice of the buffer that the connection was read into, and keeping a
/// frame of one byte would keep the whole buffer.
pub async fn read_body(
    mut body: impl Body<Data = Bytes> + Unpin,
    mut charge: Charge,
    head_bytes: usize,
) -> Result<Bytes, BodyError> {
    let mut content = Vec::with_capacity(body_capacity(&body));
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| BodyError::Incomplete)?;
        // Trailers are not forwarded.
        let Ok(data) = frame.into_data() else { continue };
        if content.len() + data.len() > MAX_BODY_BYTES {
            return Err(BodyError::TooLong);
        }
        content.extend_from_slice(&data);
    }
    content.shrink_to_fit();
    charge.shrink_to(head_bytes + content.len());
    Ok(Bytes::from_owner(ChargedBytes { content, _charge: charge }))
}

/// Reads a body to its end without keeping it.
pub async fn discard_body(mut body: impl Body<Data = Bytes> + Unpin) -> Result<(), BodyError> {
    while let Some(frame) = body.frame().await {
        frame.map_err(|_| BodyError::Incomplete)?;
    }
    Ok(())
}

#[cfg(test)]
#[path = "../../tests/unit/net_body.rs"]
mod tests;
