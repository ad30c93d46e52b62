//! Unit tests of `src/net/upstream_connection.rs`, which includes this file as its `tests` module.

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

use super::*;
use crate::net::memory_budget::Charge;

/// Starts an upstream that answers the first request with a short body.
async fn start_upstream() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        stream.read_u8().await.expect("a request");
        stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello").await.expect("a response");
        // Kept open until the peer closes it.
        let _ = stream.read_to_end(&mut Vec::new()).await;
    });
    address
}

/// Guards against failing an attempt whose response has come but stays unread for lack of memory.
#[tokio::test]
async fn a_response_that_waits_for_memory_does_not_count_as_stalled() {
    let memory = MemoryBudget::new(2 * MAX_BODY_BYTES);
    let others: Vec<Charge> = std::iter::from_fn(|| memory.try_charge(1)).collect();
    let descriptors = Arc::new(Descriptors::new(1));
    let connect = Connect {
        address: start_upstream().await,
        deadline: Instant::now() + Duration::from_secs(30),
        permit: descriptors.try_acquire().expect("a permit"),
        descriptors,
        memory,
    };
    let Ok(mut connection) = connect.open().await else { panic!("no connection") };
    let progress = connection.progress.clone();
    let request = Request::new(Full::new(Bytes::new()));
    let mut exchange = std::pin::pin!(exchange(&mut connection, request, REQUEST_END_UNUSED, || true));
    tokio::select! {
        _ = exchange.as_mut() => panic!("the response was read without memory"),
        () = wait_for_stall(&progress) => panic!("the response counts as stalled"),
        () = sleep(10 * STALL_CHECK_INTERVAL) => {}
    }
    drop(others);
    let Ok(response) = exchange.await else { panic!("no response") };
    assert_eq!(response.body, b"hello"[..]);
}
