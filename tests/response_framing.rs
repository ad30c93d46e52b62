//! Which responses of upstreams count as complete, by their framing and by how their connection ends.

mod loopback;

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use loopback::*;
use socket2::SockRef;

#[test]
fn truncated_responses_are_not_forwarded() {
    let [a, b] = first_then_ok(Behaviour::TruncateResponse);
    let (sidecar, _discovery) = Sidecar::for_upstreams(&[&a, &b]);
    let response = Client::connect(sidecar.address).exchange("fetch");
    assert_eq!((response.status(), response.body), (200, b"served".to_vec()));
}

#[test]
fn oversized_responses_are_errors() {
    let upstream = Upstream::new(|_| Behaviour::Respond(200, "", vec![b'x'; MAX_BODY_BYTES + 1]));
    let (sidecar, _discovery) = Sidecar::for_upstreams(&[&upstream]);
    assert_eq!(Client::connect(sidecar.address).exchange("bill").status(), 502);
    let at_limit = Upstream::new(|_| Behaviour::Respond(200, "", vec![b'x'; MAX_BODY_BYTES]));
    let (sidecar, _discovery) = Sidecar::for_upstreams(&[&at_limit]);
    assert_eq!(Client::connect(sidecar.address).exchange("bill").body.len(), MAX_BODY_BYTES);
}

#[test]
fn malformed_responses_fail_the_attempt_without_delay() {
    for behaviour in [
        Behaviour::WriteRaw(b"HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\nxxxx"),
        Behaviour::WriteRaw(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nxxxx"),
        Behaviour::WriteRaw(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nxxxx"),
        Behaviour::WriteRaw(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nxxxx"),
        Behaviour::WriteRaw(b"HTTP/1.1 200 OK\r\nContent-Le"),
        Behaviour::WriteRaw(
            b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        ),
        Behaviour::WriteRawAndClose(b"HTTP/1.1 200 OK\r\n\r\nsome, or all?"),
        Behaviour::WriteRaw(b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n"),
        Behaviour::WriteRaw(b"\x00\x16noise\r\n\r\n"),
    ] {
        let [a, b] = first_then_ok(behaviour);
        let (sidecar, _discovery) = Sidecar::for_upstreams(&[&a, &b]);
        let mut client = Client::connect(sidecar.address);
        // The client waits longer than this test, so only the failed attempt can end the request.
        client.send("bill", 600_000);
        assert_eq!(client.read().expect("a response").status(), 502);
        assert_eq!(request_count(&[&a, &b]), 1, "must not be retried: it may have run");
        let contacted = [&a, &b].into_iter().find(|upstream| !upstream.requests().is_empty()).unwrap();
        let connection = contacted.requests()[0].connection;
        wait_until("the sidecar closes the connection", || contacted.close_sequence(connection).is_some());
        assert_eq!(client.exchange("fetch").body, b"served");
    }
}

#[test]
fn complete_responses_with_irregular_extras_are_forwarded() {
    for behaviour in [
        Behaviour::WriteRaw(b"HTTP/1.1 102 Wait\r\n\r\nHTTP/1.1 103 Hint\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood"),
        Behaviour::WriteRaw(b"HTTP/1.1 200 OK\r\nX-Server-Load: \xff\xfe=1e300\r\nContent-Length: 4\r\n\r\ngood"),
        Behaviour::WriteRaw(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngoodHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad"),
        Behaviour::WriteRaw(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood\x00\x16noise"),
    ] {
        let [a, b] = first_then_ok(behaviour);
        let (sidecar, _discovery) = Sidecar::for_upstreams(&[&a, &b]);
        let mut client = Client::connect(sidecar.address);
        assert_eq!(client.exchange("bill").body, b"good");
        for _ in 0..10 {
            assert_eq!(client.exchange("fetch").body, b"served");
        }
    }
}

/// Starts an upstream. Of all upstreams that share `request_count`, the first request is answered with `response` and a
/// reset of the connection, all others with status 200.
fn upstream_resetting_first_request(response: &'static [u8], request_count: &Arc<AtomicUsize>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let request_count = request_count.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let request_count = request_count.clone();
            std::thread::spawn(move || {
                let mut reader = BufReader::new(stream);
                while let Some(message) = read_message(&mut reader) {
                    let is_probe = message.start_line.starts_with("GET /metrics/");
                    if !is_probe && request_count.fetch_add(1, Ordering::SeqCst) == 0 {
                        let _ = reader.get_mut().write_all(response);
                        // Lets the sidecar read the bytes before the reset discards them.
                        std::thread::sleep(Duration::from_millis(5));
                        SockRef::from(reader.get_ref()).set_linger(Some(Duration::ZERO)).unwrap();
                        return;
                    }
                    let _ = reader.get_mut().write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nserved");
                }
            });
        }
    });
    address
}

#[test]
fn reset_connection_does_not_complete_a_response() {
    for response in [
        &b"HTTP/1.1 200 OK\r\n\r\nsome of it"[..],
        b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nsome of it",
        b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
        b"HTTP/1.0 200 OK\r\n\r\nsome of it",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\na\r\nsome of it\r\n",
        b"HTTP/1.1 500 Oh\r\n\r\nsome of it",
    ] {
        for (class, status, attempts) in [("fetch", 200, 2), ("log", 200, 2), ("bill", 502, 1)] {
            let request_count = Arc::new(AtomicUsize::new(0));
            let addresses = [0, 1].map(|_| upstream_resetting_first_request(response, &request_count));
            let (sidecar, _discovery) = Sidecar::for_addresses(&addresses, SETTINGS_JSON);
            let received = Client::connect(sidecar.address).exchange(class);
            let response_text = String::from_utf8_lossy(response);
            assert_eq!(received.status(), status, "{class}: {response_text}");
            assert_eq!(received.body == b"served", status == 200, "{class}: {response_text}");
            assert_eq!(request_count.load(Ordering::SeqCst), attempts, "{class}: {response_text}");
        }
    }
}
