//! Unit tests of `src/net/body.rs`, which includes this file as its `tests` module.

use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use hyper::body::Frame;

use super::*;
use crate::net::memory_budget::MemoryBudget;

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

/// Reads a body with a budget of twice the limit; returns the result and the bytes that are charged for it.
async fn read(body: &mut SlowBody) -> (Result<Bytes, BodyError>, usize) {
    let budget = MemoryBudget::new(2 * MAX_BODY_BYTES);
    let charge = budget.try_charge(MAX_BODY_BYTES).expect("an empty budget");
    let result = read_body(body, charge, 0).await;
    (result, budget.charged())
}

/// Guards against memory for a read buffer per frame.
#[tokio::test]
async fn no_read_buffer_is_kept_while_the_body_is_read() {
    let mut body = SlowBody::new(MAX_BODY_BYTES);
    assert_eq!(read(&mut body).await, (Ok(Bytes::from(vec![b'x'; MAX_BODY_BYTES])), MAX_BODY_BYTES));
    assert_eq!(body.most_buffers_held, 0);
}

#[tokio::test]
async fn longer_bodies_are_errors() {
    let mut body = SlowBody::new(MAX_BODY_BYTES + 1);
    assert_eq!(read(&mut body).await, (Err(BodyError::TooLong), 0));
}

/// Guards against a charge that ends before its body, or never.
#[tokio::test]
async fn a_body_is_charged_until_its_last_reference_is_dropped() {
    let budget = MemoryBudget::new(2 * MAX_BODY_BYTES);
    let charge = budget.try_charge(MAX_BODY_BYTES).expect("an empty budget");
    let body = read_body(&mut SlowBody::new(100), charge, 20).await.expect("a short body");
    assert_eq!(budget.charged(), 120, "the head and the body");
    let copy = body.clone();
    drop(body);
    assert_eq!(budget.charged(), 120);
    drop(copy);
    assert_eq!(budget.charged(), 0);
}
