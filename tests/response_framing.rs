//! Which responses of upstreams count as complete, by their framing and by how their connection ends.

mod loopback;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use loopback::*;

/// The classes, with the status and the number of attempts of a request whose first attempt may have run but has no
/// complete response.
const AFTER_INCOMPLETE_RESPONSE: [(&str, u16, usize); 3] =
    [("fetch", 200, 2), ("log", 200, 2), ("bill", 502, 1)];

/// Checks for each class that the response to the first attempt is not forwarded.
fn assert_incomplete(first: &Behaviour, description: &str) {
    for (class, status, attempts) in AFTER_INCOMPLETE_RESPONSE {
        let [a, b] = first_then_ok(first.clone());
        let (sidecar, _discovery) = Sidecar::for_upstreams(&[&a, &b]);
        let received = Client::connect(sidecar.address).exchange(class);
        assert_eq!(received.status(), status, "{class}: {description}");
        assert_eq!(received.body == b"served", status == 200, "{class}: {description}");
        assert_eq!(request_count(&[&a, &b]), attempts, "{class}: {description}");
    }
}

/// Guards against a response that is lost because it has no length: its body ends with the connection.
#[test]
fn complete_responses_without_a_length_are_forwarded() {
    let long_body = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n".iter().chain(&[b'x'; MAX_BODY_BYTES]);
    let long_response: &'static [u8] = Vec::leak(long_body.copied().collect());
    for (response, body) in [
        (&b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nwhole"[..], &b"whole"[..]),
        (b"HTTP/1.1 200 OK\r\n\r\nwhole", b"whole"),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: identity\r\n\r\nwhole", b"whole"),
        (b"HTTP/1.1 200 OK\r\nConnection: keep-alive\r\n\r\nwhole", b"whole"),
        (b"HTTP/1.0 200 OK\r\n\r\nwhole", b"whole"),
        (b"HTTP/1.1 103 Hint\r\n\r\nHTTP/1.1 200 OK\r\n\r\nwhole", b"whole"),
        (b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", b""),
        (long_response, &[b'x'; MAX_BODY_BYTES]),
    ] {
        let upstream = Upstream::new(move |_| Behaviour::WriteRawAndClose(response));
        let (sidecar, _discovery) = Sidecar::for_upstreams(&[&upstream]);
        let mut client = Client::connect(sidecar.address);
        for class in ["fetch", "log", "bill"].repeat(5) {
            let received = client.exchange(class);
            assert_eq!((received.status(), &received.body[..]), (200, body), "{class}");
        }
        assert_eq!(upstream.requests().len(), 15, "one attempt each");
    }
}

/// Guards against a response without a length that is given up before the rest of it and its end arrive.
#[test]
fn responses_without_a_length_may_come_in_pieces() {
    let pieces: Vec<&[u8]> = vec![b"HTTP/1.1 200 OK\r\n\r\nfirst", b" second", b" third", b""];
    let upstream = Upstream::new(move |_| Behaviour::WriteInPieces(pieces.clone(), Duration::from_millis(5)));
    let (sidecar, _discovery) = Sidecar::for_upstreams(&[&upstream]);
    let mut client = Client::connect(sidecar.address);
    // On a busy machine a pause may be long enough for a stall.
    let served = (0..20).map(|_| client.exchange("bill")).filter(|response| response.status() == 200);
    let bodies: Vec<Vec<u8>> = served.map(|response| response.body).collect();
    assert!(bodies.len() >= 10 && bodies.iter().all(|body| body == b"first second third"), "{bodies:?}");
}

/// Guards against a reset that is taken for the end of the body, or an end that is missed, if both the response and
/// the end of its connection arrive while the sidecar is suspended.
#[test]
fn connection_end_during_a_suspension_is_recognised() {
    let until_close = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nall of it";
    let with_length = b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nall of it";
    let truncated = b"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\nnot all";
    let truncated_chunks = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nall of it\r\n";
    let reset = |response| Behaviour::WriteRawAndReset(response, Duration::ZERO);
    for (description, behaviour, status) in [
        ("until close, closed", Behaviour::WriteRawAndClose(until_close), 200),
        ("until close, reset", reset(until_close), 502),
        ("with a length, closed", Behaviour::WriteRawAndClose(with_length), 200),
        ("with a length, reset", reset(with_length), 200),
        ("truncated, closed", Behaviour::WriteRawAndClose(truncated), 502),
        ("truncated chunks, reset", reset(truncated_chunks), 502),
    ] {
        let (received, suspended) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
        let [a, b] = [0, 1].map(|_| {
            let (received, suspended, behaviour) = (received.clone(), suspended.clone(), behaviour.clone());
            Upstream::new(move |_| {
                received.fetch_add(1, Ordering::SeqCst);
                wait_until("the sidecar is suspended", || suspended.load(Ordering::SeqCst) > 0);
                behaviour.clone()
            })
        });
        let (sidecar, _discovery) = Sidecar::for_upstreams(&[&a, &b]);
        let mut client = Client::connect(sidecar.address);
        client.send("bill", 6_000);
        wait_until("the request arrives", || received.load(Ordering::SeqCst) > 0);
        sidecar.signal("-STOP");
        suspended.store(1, Ordering::SeqCst);
        wait_until("the connection ends", || {
            let has_ended = |upstream: &Upstream| {
                let requests = upstream.requests();
                requests.first().is_some_and(|request| upstream.close_sequence(request.connection).is_some())
            };
            has_ended(&a) || has_ended(&b)
        });
        std::thread::sleep(Duration::from_millis(100));
        sidecar.signal("-CONT");
        let response = client.read().expect("a response");
        assert_eq!(response.status(), status, "{description}");
        assert_eq!(response.body == b"all of it", status == 200, "{description}");
        assert_eq!(received.load(Ordering::SeqCst), 1, "{description}");
    }
}

#[test]
fn truncated_responses_are_not_forwarded() {
    for response in [
        &b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf of it"[..],
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\na\r\nhalf of it\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\na\r\nhalf of it\r\n0\r\n",
        b"HTTP/1.1 200 OK\r\nConnection: close\r\n",
    ] {
        assert_incomplete(&Behaviour::WriteRawAndClose(response), &String::from_utf8_lossy(response));
    }
}

#[test]
fn oversized_responses_are_errors() {
    let upstream = Upstream::new(|_| Behaviour::Respond(200, "", vec![b'x'; MAX_BODY_BYTES + 1]));
    let (sidecar, _discovery) = Sidecar::for_upstreams(&[&upstream]);
    assert_eq!(Client::connect(sidecar.address).exchange("bill").status(), 502);
    let mut without_length = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n".to_vec();
    without_length.resize(without_length.len() + MAX_BODY_BYTES + 1, b'x');
    let without_length: &'static [u8] = without_length.leak();
    let upstream = Upstream::new(move |_| Behaviour::WriteRawAndClose(without_length));
    let (sidecar, _discovery) = Sidecar::for_upstreams(&[&upstream]);
    assert_eq!(Client::connect(sidecar.address).exchange("bill").status(), 502);
    let at_limit = Upstream::new(|_| Behaviour::Respond(200, "", vec![b'x'; MAX_BODY_BYTES]));
    let (sidecar, _discovery) = Sidecar::for_upstreams(&[&at_limit]);
    assert_eq!(Client::connect(sidecar.address).exchange("bill").body.len(), MAX_BODY_BYTES);
}

/// Guards as well against a body whose transfer coding is removed from the head, but not from the body.
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
        Behaviour::WriteRaw(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nsome, or all?"),
        Behaviour::WriteRawAndClose(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n\x1f\x8b\x08"),
        Behaviour::WriteRaw(
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n3\r\n\x1f\x8b\x08\r\n0\r\n\r\n",
        ),
        Behaviour::WriteRaw(
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n\r\n\
              3\r\n\x1f\x8b\x08\r\n0\r\n\r\n",
        ),
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
        Behaviour::WriteRaw(
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n3;x=1\r\ngoo\r\n1\r\nd\r\n0\r\nX-Trailer: 1\r\n\r\n",
        ),
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
        // At once with the response, and so late that the sidecar has read the response before.
        for pause_ms in [0, 5, 20] {
            let behaviour = Behaviour::WriteRawAndReset(response, Duration::from_millis(pause_ms));
            let description = format!("reset after {pause_ms} ms: {}", String::from_utf8_lossy(response));
            assert_incomplete(&behaviour, &description);
        }
    }
}
