//! Unit tests of `src/net/body.rs`, which includes this file as its `tests` module.

use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use hyper::body::Frame;

use super::*;

/// A read buffer of a connection; the test counts the references to it.
struct ReadBuffer(Arc<[u8]>);

impl AsRef<[u8]> for ReadBuffer {
    fn as_ref(&self) -> &[u8] {
        &self.0
    }
}

/// A body of frames of one byte, each a slice of a read buffer of its own.
struct SlowBody {
    frames_left: usize,
    buffer: Arc<[u8]>,
    most_buffers_held: usize,
}

impl SlowBody {
    fn new(frames: usize) -> SlowBody {
        SlowBody { frames_left: frames, buffer: Arc::from([b'x'; 8 << 10]), most_buffers_held: 0 }
    }
}

impl Body for &mut SlowBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        self.most_buffers_held = self.most_buffers_held.max(Arc::strong_count(&self.buffer) - 1);
        if self.frames_left == 0 {
            return Poll::Ready(None);
        }
        self.frames_left -= 1;
        let buffer = Bytes::from_owner(ReadBuffer(self.buffer.clone()));
        Poll::Ready(Some(Ok(Frame::data(buffer.slice(..1)))))
    }
}

/// Guards against memory for a read buffer per frame.
#[tokio::test]
async fn no_read_buffer_is_kept_while_the_body_is_read() {
    let mut body = SlowBody::new(MAX_BODY_BYTES);
    assert_eq!(read_body(&mut body).await, Ok(Bytes::from(vec![b'x'; MAX_BODY_BYTES])));
    assert_eq!(body.most_buffers_held, 0);
}

#[tokio::test]
async fn longer_bodies_are_errors() {
    let mut body = SlowBody::new(MAX_BODY_BYTES + 1);
    assert_eq!(read_body(&mut body).await, Err(BodyError::TooLong));
}
