//! The stream of a client connection, and the detection of a disconnect while a request is open. hyper stops reading
//! once it has buffered pipelined bytes, and then does not notice a disconnect.

use std::io::{self, Read};
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};

use bytes::{Buf, BytesMut};
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};

use super::bounded_read::{MAX_READ_BYTES, poll_read_bounded};
use super::memory_budget::Charge;

/// Capacity of the read-ahead buffer: room for the head of one pipelined request. Clients send one at a time, so more
/// comes from none of them: further bytes are read and dropped to find the end of the stream, and the connection is
/// unusable after the response.
const READ_AHEAD_BYTES: usize = 32 << 10;
/// The number of bytes requested in one read.
const READ_CHUNK_BYTES: usize = 8 << 10;
/// Limit on the reads of one [`DisconnectDetector::is_disconnected`], so that a client that keeps writing does not
/// block the others. All reads together exceed the default limit of a socket's receive buffer (6 MiB).
const MAX_READS_PER_CHECK: usize = 1 << 10;

/// The read half of the socket and the pipelined bytes already read from it.
struct ReadSide {
    read_half: OwnedReadHalf,
    /// Read from the socket but not yet by hyper.
    read_ahead: BytesMut,
    /// Covers the bytes in `read_ahead`.
    charge: Charge,
    /// Whether bytes after those in `read_ahead` were dropped. The rest of the stream can no longer be parsed.
    overflowed: bool,
}

impl ReadSide {
    /// Appends pipelined bytes to the read-ahead buffer, or drops them if they do not fit.
    fn buffer(&mut self, bytes: &[u8]) {
        let fits = self.read_ahead.len() + bytes.len() <= READ_AHEAD_BYTES;
        self.overflowed = self.overflowed || !fits || !self.charge.try_grow(bytes.len());
        if !self.overflowed {
            self.read_ahead.extend_from_slice(bytes);
        }
    }

    /// Removes bytes that hyper has read from the read-ahead buffer, and frees it once it is empty.
    fn consume(&mut self, count: usize) {
        self.read_ahead.advance(count);
        self.charge.shrink_to(self.read_ahead.len());
        if self.read_ahead.is_empty() {
            self.read_ahead = BytesMut::new();
        }
    }
}

/// The stream of a client connection that hyper reads from and writes to.
pub struct ClientStream {
    read_side: Arc<Mutex<ReadSide>>,
    write_half: OwnedWriteHalf,
}

/// Detects that the client has disconnected while its request is open.
#[derive(Clone)]
pub struct DisconnectDetector(Arc<Mutex<ReadSide>>);

fn lock(read_side: &Mutex<ReadSide>) -> MutexGuard<'_, ReadSide> {
    read_side.lock().unwrap_or_else(PoisonError::into_inner)
}

impl ClientStream {
    /// Wraps a stream and returns it with its detector. Bytes that are read ahead are charged with `charge`, which is
    /// empty at first.
    pub fn new(stream: TcpStream, charge: Charge) -> (ClientStream, DisconnectDetector) {
        let (read_half, write_half) = stream.into_split();
        let read_side = Arc::new(Mutex::new(ReadSide {
            read_half,
            read_ahead: BytesMut::new(),
            charge,
            overflowed: false,
        }));
        let detector = DisconnectDetector(read_side.clone());
        (ClientStream { read_side, write_half }, detector)
    }
}

impl DisconnectDetector {
    /// Ready once the client has closed, half-closed or reset its connection. It reads ahead of hyper to find out,
    /// so it may only be polled while a request is open.
    pub fn poll_disconnected(&self, cx: &mut Context<'_>) -> Poll<()> {
        let read_side = &mut *lock(&self.0);
        let mut chunk = [0; READ_CHUNK_BYTES];
        loop {
            let mut buf = ReadBuf::new(&mut chunk);
            let read = ready!(Pin::new(&mut read_side.read_half).poll_read(cx, &mut buf));
            if read.is_err() || buf.filled().is_empty() {
                return Poll::Ready(());
            }
            read_side.buffer(buf.filled());
        }
    }

    /// Whether the client has disconnected by now. It queries the socket directly, since after the process was paused
    /// the runtime fires overdue timers before it polls the kernel. It may only be called while a request is open: the
    /// runtime does not wake hyper for bytes that were read here; hyper reads them once the response is written.
    pub fn is_disconnected(&self) -> bool {
        let read_side = &mut *lock(&self.0);
        let mut chunk = [0; READ_CHUNK_BYTES];
        for _ in 0..MAX_READS_PER_CHECK {
            let read = (&*SockRef::from(read_side.read_half.as_ref())).read(&mut chunk);
            match read {
                Ok(0) => return true,
                Ok(count) => read_side.buffer(&chunk[..count]),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return error.kind() != io::ErrorKind::WouldBlock,
            }
        }
        false
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let read_side = &mut *lock(&self.read_side);
        if !read_side.read_ahead.is_empty() {
            let count = read_side.read_ahead.len().min(buf.remaining()).min(MAX_READ_BYTES);
            buf.put_slice(&read_side.read_ahead[..count]);
            read_side.consume(count);
            return Poll::Ready(Ok(()));
        }
        if read_side.overflowed {
            return Poll::Ready(Err(io::Error::new(
                io::ErrorKind::InvalidData,
                "pipelined bytes exceed the read-ahead buffer",
            )));
        }
        poll_read_bounded(Pin::new(&mut read_side.read_half), cx, buf)
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.write_half).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.write_half).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.write_half.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.write_half).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.write_half).poll_shutdown(cx)
    }
}
