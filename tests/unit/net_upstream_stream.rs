//! Unit tests of `src/net/upstream_stream.rs`, which includes this file as its `tests` module.

use std::io::Write;

use tokio::io::{AsyncReadExt, AsyncWriteExt};

use super::*;

/// A connected stream, its progress, and the socket of the upstream.
async fn connected_pair() -> (UpstreamStream, Arc<ExchangeProgress>, std::net::TcpStream) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let stream = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    let (stream, progress) = UpstreamStream::new(stream);
    (stream, progress, listener.accept().unwrap().0)
}

#[tokio::test]
async fn unsolicited_bytes_before_a_request_fail_its_write_and_read() {
    let (mut stream, progress, mut upstream) = connected_pair().await;
    stream.write_all(b"first").await.unwrap();
    upstream.write_all(b"answer").unwrap();
    stream.read_exact(&mut [0; 6]).await.unwrap();
    progress.mark_response_complete();
    // The runtime has not polled the kernel since, so only a query of the socket itself shows these bytes.
    upstream.write_all(b"more").unwrap();
    let written_before = progress.bytes_written();
    assert!(stream.write_all(b"second").await.is_err());
    assert_eq!(progress.bytes_written(), written_before);
    assert!(stream.read(&mut [0; 4]).await.is_err(), "unsolicited bytes must not be read as a response");
}

#[tokio::test]
async fn writing_to_a_connection_closed_by_the_upstream_sends_no_bytes() {
    let (mut stream, progress, upstream) = connected_pair().await;
    drop(upstream);
    assert!(stream.write_all(b"first").await.is_err());
    assert_eq!(progress.bytes_written(), 0);
}
