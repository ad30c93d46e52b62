//! Tests of `src/net/upstream_stream.rs`, whose module takes this file in.

use std::io::Write;

use tokio::io::{AsyncReadExt, AsyncWriteExt};

use super::*;

async fn pair() -> (UpstreamStream, Arc<ExchangeProgress>, std::net::TcpStream) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let stream = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    let (stream, progress) = UpstreamStream::new(stream);
    (stream, progress, listener.accept().unwrap().0)
}

#[tokio::test]
async fn nothing_is_written_behind_bytes_that_no_one_asked_for() {
    let (mut stream, progress, mut upstream) = pair().await;
    stream.write_all(b"first").await.unwrap();
    upstream.write_all(b"answer").unwrap();
    stream.read_exact(&mut [0; 6]).await.unwrap();
    progress.mark_response_complete();
    // The runtime has not turned to the kernel since: only the socket itself can tell.
    upstream.write_all(b"more").unwrap();
    let written = progress.bytes_written();
    assert!(stream.write_all(b"second").await.is_err());
    assert_eq!(progress.bytes_written(), written);
    assert!(stream.read(&mut [0; 4]).await.is_err(), "nor is it read as an answer");
}

#[tokio::test]
async fn nothing_is_written_to_a_connection_that_the_other_side_has_closed() {
    let (mut stream, progress, upstream) = pair().await;
    drop(upstream);
    assert!(stream.write_all(b"first").await.is_err());
    assert_eq!(progress.bytes_written(), 0);
}
