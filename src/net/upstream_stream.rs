//! A stream to an upstream that records the progress of its exchanges: the bytes written, which tell whether a
//! request can have arrived, and whether a request is outstanding, which distinguishes its response from unsolicited
//! bytes.

use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::task::{Context, Poll, ready};

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;

use super::bounded_read::poll_read_bounded;

/// Progress of the exchanges on a connection, shared with the stream that hyper owns. The byte counts are totals of the
/// connection.
#[derive(Default)]
pub struct ExchangeProgress {
    bytes_written: AtomicU64,
    bytes_read: AtomicU64,
    /// Whether a request has been started whose response is not complete.
    request_outstanding: AtomicBool,
    /// Whether a response has started that is not complete.
    reading_response: AtomicBool,
    /// Whether the rest of the response stays unread until the memory budget has room for it.
    waiting_for_memory: AtomicBool,
    /// Notified when a response starts.
    response_start: Notify,
}

impl ExchangeProgress {
    /// The number of bytes that the kernel has accepted so far.
    pub fn bytes_written(&self) -> u64 {
        self.bytes_written.load(Ordering::Relaxed)
    }

    /// The number of bytes read so far.
    pub fn bytes_read(&self) -> u64 {
        self.bytes_read.load(Ordering::Relaxed)
    }

    /// Waits until the first byte of a response has been read.
    pub async fn response_started(&self) {
        while !self.reading_response.load(Ordering::Relaxed) {
            self.response_start.notified().await;
        }
    }

    /// Records that a response has started. Called for the first byte that is read, and for the head of the final
    /// response, since that may be read together with an informational one.
    pub fn mark_response_started(&self) {
        if !self.reading_response.swap(true, Ordering::Relaxed) {
            self.response_start.notify_one();
        }
    }

    /// Records whether the rest of the response stays unread until the memory budget has room for it.
    pub fn set_waiting_for_memory(&self, waiting: bool) {
        self.waiting_for_memory.store(waiting, Ordering::Relaxed);
    }

    /// Whether the rest of the response stays unread until the memory budget has room for it.
    pub fn is_waiting_for_memory(&self) -> bool {
        self.waiting_for_memory.load(Ordering::Relaxed)
    }

    /// Whether a response has started that is not complete.
    pub fn is_reading_response(&self) -> bool {
        self.reading_response.load(Ordering::Relaxed)
    }

    /// Records that an informational (1xx) response was read: the final response is still to come.
    pub fn mark_response_pending(&self) {
        self.reading_response.store(false, Ordering::Relaxed);
    }

    /// Records that the response is complete: bytes that arrive before the next request are unsolicited.
    pub fn mark_response_complete(&self) {
        self.request_outstanding.store(false, Ordering::Relaxed);
        self.reading_response.store(false, Ordering::Relaxed);
    }

    /// Records bytes that were read. Fails if they are unsolicited.
    fn record_read(&self, bytes: usize) -> io::Result<()> {
        if bytes == 0 {
            return Ok(());
        }
        if !self.request_outstanding.load(Ordering::Relaxed) {
            return Err(io::Error::new(
                io::ErrorKind::InvalidData,
                "received bytes while no request was outstanding",
            ));
        }
        self.bytes_read.fetch_add(bytes as u64, Ordering::Relaxed);
        self.mark_response_started();
        Ok(())
    }
}

/// A TCP stream to an upstream that records the progress of its exchanges.
pub struct UpstreamStream {
    stream: TcpStream,
    progress: Arc<ExchangeProgress>,
}

impl UpstreamStream {
    /// Wraps a stream; the counters start at 0.
    pub fn new(stream: TcpStream) -> (UpstreamStream, Arc<ExchangeProgress>) {
        let progress = Arc::new(ExchangeProgress::default());
        (UpstreamStream { stream, progress: progress.clone() }, progress)
    }

    /// Marks a request as outstanding before its first byte is written; does nothing on later writes. Fails if the
    /// socket holds unsolicited bytes, which would be read as the response, or if the upstream has closed it. Queries
    /// the socket directly, since the runtime may not have polled the kernel after the bytes arrived.
    fn start_request(&self) -> io::Result<()> {
        if self.progress.request_outstanding.load(Ordering::Relaxed) {
            return Ok(());
        }
        match SockRef::from(&self.stream).peek(&mut [MaybeUninit::uninit(); 1]) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                self.progress.request_outstanding.store(true, Ordering::Relaxed);
                Ok(())
            }
            Err(error) => Err(error),
            Ok(_) => Err(io::Error::new(
                io::ErrorKind::NotConnected,
                "the idle connection was closed by the upstream or received unsolicited bytes",
            )),
        }
    }

    /// Adds the bytes of a successful write to the total.
    fn record_written(&self, result: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(bytes)) = result {
            self.progress.bytes_written.fetch_add(bytes as u64, Ordering::Relaxed);
        }
        result
    }
}

impl AsyncRead for UpstreamStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_before = buf.filled().len();
        ready!(poll_read_bounded(Pin::new(&mut self.stream), cx, buf))?;
        let recorded = self.progress.record_read(buf.filled().len() - filled_before);
        // Under Nagle's algorithm the upstream's kernel holds back a small write until our acknowledgement, which can
        // be delayed by up to 40 ms. The error of platforms without TCP_QUICKACK is ignored.
        let _ = SockRef::from(&self.stream).set_tcp_quickack(true);
        Poll::Ready(recorded)
    }
}

impl AsyncWrite for UpstreamStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.start_request()?;
        let result = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.record_written(result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.start_request()?;
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.record_written(result)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

#[cfg(test)]
#[path = "../../tests/unit/net_upstream_stream.rs"]
mod tests;
