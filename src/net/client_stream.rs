//! A client's connection as hyper sees it, and what hyper does not see: that the client has gone while its request
//! waits. hyper reads no further once bytes stand behind a request that is open, and then hears of no end either.

use std::io::{self, Read};
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};

use bytes::{Buf, BytesMut};
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};

/// What is kept of the bytes behind an open request: the head of another. Clients send one at a time, so what is
/// longer comes from none; it is read for its end alone, and the connection is of no more use after its answer.
const AHEAD_BYTES: usize = 32 << 10;
/// How much is read at once.
const PIECE_BYTES: usize = 8 << 10;
/// So many pieces are read in one go to find an end behind them: more than a socket holds by default (6 MiB). A
/// client that writes on and on must not keep the others waiting.
const PIECES_AT_ONCE: usize = 1 << 10;

struct Reading {
    half: OwnedReadHalf,
    /// Read from the socket and not yet by hyper.
    ahead: BytesMut,
    /// Bytes behind those were dropped: nothing that follows can be told apart.
    cut: bool,
}

impl Reading {
    /// Keeps what came behind an open request.
    fn keep(&mut self, bytes: &[u8]) {
        self.cut |= self.ahead.len() + bytes.len() > AHEAD_BYTES;
        if !self.cut {
            self.ahead.extend_from_slice(bytes);
        }
    }
}

/// The stream of a client connection that hyper reads from and writes to.
pub struct ClientStream {
    reading: Arc<Mutex<Reading>>,
    writing: OwnedWriteHalf,
}

/// Detects that the client has disconnected while its request is open.
#[derive(Clone)]
pub struct DisconnectDetector(Arc<Mutex<Reading>>);

fn lock(reading: &Mutex<Reading>) -> MutexGuard<'_, Reading> {
    reading.lock().unwrap_or_else(PoisonError::into_inner)
}

impl ClientStream {
    /// Wraps a stream and returns it with its detector.
    pub fn new(stream: TcpStream) -> (ClientStream, DisconnectDetector) {
        let (half, writing) = stream.into_split();
        let reading = Arc::new(Mutex::new(Reading { half, ahead: BytesMut::new(), cut: false }));
        let detector = DisconnectDetector(reading.clone());
        (ClientStream { reading, writing }, detector)
    }
}

impl DisconnectDetector {
    /// Ready once the client has closed, half-closed or reset its connection. Reads ahead of hyper to find out,
    /// so it is only to be polled while a request is open.
    pub fn poll_disconnected(&self, cx: &mut Context<'_>) -> Poll<()> {
        let reading = &mut *lock(&self.0);
        let mut piece = [0; PIECE_BYTES];
        loop {
            let mut buf = ReadBuf::new(&mut piece);
            let read = ready!(Pin::new(&mut reading.half).poll_read(cx, &mut buf));
            if read.is_err() || buf.filled().is_empty() {
                return Poll::Ready(());
            }
            reading.keep(buf.filled());
        }
    }

    /// Whether the client has disconnected by now. Queries the socket directly: the runtime learns of an end only when
    /// it next polls the kernel, and timers that came due while the process was held up fire before that. To be called
    /// only while a request is open: hyper reads what was read here when it continues after the response, since the
    /// runtime does not wake it for that.
    pub fn is_disconnected(&self) -> bool {
        let reading = &mut *lock(&self.0);
        let mut piece = [0; PIECE_BYTES];
        for _ in 0..PIECES_AT_ONCE {
            let read = (&*SockRef::from(reading.half.as_ref())).read(&mut piece);
            match read {
                Ok(0) => return true,
                Ok(count) => reading.keep(&piece[..count]),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return error.kind() != io::ErrorKind::WouldBlock,
            }
        }
        false
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let reading = &mut *lock(&self.reading);
        if !reading.ahead.is_empty() {
            let count = reading.ahead.len().min(buf.remaining());
            buf.put_slice(&reading.ahead[..count]);
            reading.ahead.advance(count);
            return Poll::Ready(Ok(()));
        }
        if reading.cut {
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, "too much behind a request")));
        }
        Pin::new(&mut reading.half).poll_read(cx, buf)
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.writing).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.writing).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.writing.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.writing).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.writing).poll_shutdown(cx)
    }
}
