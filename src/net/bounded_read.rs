//! Reads from sockets in pieces that do not make hyper enlarge its read buffers.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, ReadBuf};

/// The most bytes that one read returns. hyper starts with a read buffer of 8 KiB and doubles it each time a read fills
/// it, and an idle connection keeps its buffer. Heads that are longer than the buffer still enlarge it.
pub const MAX_READ_BYTES: usize = 4 << 10;

/// Reads at most [`MAX_READ_BYTES`] into `buf`.
pub fn poll_read_bounded(
    stream: Pin<&mut impl AsyncRead>,
    cx: &mut Context<'_>,
    buf: &mut ReadBuf<'_>,
) -> Poll<io::Result<()>> {
    let length = buf.remaining().min(MAX_READ_BYTES);
    let mut piece = ReadBuf::new(buf.initialize_unfilled_to(length));
    ready!(stream.poll_read(cx, &mut piece))?;
    let read = piece.filled().len();
    buf.advance(read);
    Poll::Ready(Ok(()))
}
