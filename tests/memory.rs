//! The sidecar stays within its memory limit while peers send their messages slowly, in small pieces.

mod loopback;

use std::time::Duration;

use loopback::*;

/// Number of peers that send slowly at the same time; fewer than the 85 requests that may be open with the fewest
/// descriptors of a deployment, 256.
const SLOW_PEERS: usize = 60;
/// Number of pieces of a body.
const PIECES: usize = 200;
/// Pause before each piece. A body is complete in a quarter of the time in which it must be.
const PIECE_INTERVAL: Duration = Duration::from_millis(3);

/// Starts a sidecar with the lowest memory limit.
fn start_sidecar(upstreams: &[Upstream]) -> (Sidecar, Discovery) {
    let addresses: Vec<_> = upstreams.iter().map(|upstream| upstream.address).collect();
    Sidecar::with_lowest_memory_limit(&ready_addresses(&addresses))
}

/// Guards against a request body that keeps a whole read buffer for each piece: a sidecar with some tens of slow
/// clients was killed for its memory.
#[test]
fn request_bodies_in_small_pieces_stay_within_the_memory_limit() {
    let upstream = Upstream::new(|_| Behaviour::ok("served"));
    let (sidecar, _discovery) = start_sidecar(std::slice::from_ref(&upstream));
    let content_length = format!("Content-Length: {PIECES}");
    let mut clients: Vec<Client> = (0..SLOW_PEERS).map(|_| Client::connect(sidecar.address)).collect();
    for client in &mut clients {
        client.reader.get_ref().set_nodelay(true).unwrap();
        let request = http_request("bill", 60_000).replace("Content-Length: 4", &content_length);
        client.write(request.strip_suffix("bill").unwrap().as_bytes());
    }
    let mut peak_kib = 0;
    for _ in 0..PIECES {
        peak_kib = peak_kib.max(sidecar.anonymous_memory_kib());
        std::thread::sleep(PIECE_INTERVAL);
        clients.iter_mut().for_each(|client| client.write(b"x"));
    }
    let statuses: Vec<u16> =
        clients.iter_mut().map(|client| client.read().expect("a response").status()).collect();
    assert!(peak_kib < LOWEST_MEMORY_LIMIT_KIB, "{peak_kib} KiB");
    assert!(statuses.contains(&200), "no body was complete in time: {statuses:?}");
    assert!(upstream.requests().iter().all(|request| request.body == [b'x'; PIECES]), "a body was changed");
}

/// Guards against a response body that keeps a whole read buffer for each piece, whatever its framing.
#[test]
fn response_bodies_in_small_pieces_stay_within_the_memory_limit() {
    for (head, piece, end) in [
        (&b"HTTP/1.1 200 OK\r\nContent-Length: 200\r\n\r\n"[..], &b"x"[..], &b""[..]),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", b"1\r\nx\r\n", b"0\r\n\r\n"),
        (b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", b"x", b""),
    ] {
        let response = [vec![head], vec![piece; PIECES], vec![end]].concat();
        // An idle upstream always has room, so that every request is sent.
        let upstreams: Vec<Upstream> = (0..SLOW_PEERS)
            .map(|_| {
                let response = response.clone();
                Upstream::new(move |_| Behaviour::WriteInPieces(response.clone(), PIECE_INTERVAL))
            })
            .collect();
        let (sidecar, _discovery) = start_sidecar(&upstreams);
        let mut clients: Vec<Client> = (0..SLOW_PEERS).map(|_| Client::connect(sidecar.address)).collect();
        clients.iter_mut().for_each(|client| client.send("bill", 60_000));
        let mut peak_kib = 0;
        for _ in 0..PIECES {
            peak_kib = peak_kib.max(sidecar.anonymous_memory_kib());
            std::thread::sleep(PIECE_INTERVAL);
        }
        let received: Vec<Message> =
            clients.iter_mut().map(|client| client.read().expect("a response")).collect();
        let description = String::from_utf8_lossy(head);
        assert!(peak_kib < LOWEST_MEMORY_LIMIT_KIB, "{peak_kib} KiB: {description}");
        let sent = upstreams.iter().filter(|upstream| !upstream.requests().is_empty()).count();
        assert!(sent > SLOW_PEERS / 2, "only {sent} requests were sent: {description}");
        let served: Vec<&Message> = received.iter().filter(|response| response.status() == 200).collect();
        assert!(!served.is_empty(), "{description}");
        assert!(served.iter().all(|response| response.body == [b'x'; PIECES]), "{description}");
    }
}

/// Guards against host lists that take many times their length while they are decoded: a list that is not too long
/// could exceed every memory limit.
#[test]
fn host_lists_with_unused_content_stay_within_the_memory_limit() {
    let upstream = Upstream::new(|_| Behaviour::ok("served"));
    let valid_entry = host_entry("a", upstream.address, "ready");
    let objects = vec![r#"{"":0}"#; 250_000].join(",");
    let long_entry = valid_entry.replace(r#""host""#, &format!(r#""unknown":[{objects}],"host""#));
    for entries in [
        vec![long_entry],
        [vec![valid_entry.clone()], vec!["{}".to_owned(); 600_000]].concat(),
        [vec![valid_entry], (0..100_000).map(|number| format!(r#"{{"host":"{number:04x}"}}"#)).collect()]
            .concat(),
    ] {
        let (sidecar, discovery) = Sidecar::with_lowest_memory_limit(&host_list(5, true, &entries));
        let mut client = Client::connect(sidecar.address);
        assert_eq!(client.exchange("bill").body, b"served");
        // Discovery sends this delta behind the list: once it is applied, the list has been.
        let added = Upstream::new(|_| Behaviour::ok("served"));
        let delta = host_list(6, false, &[host_entry("z", added.address, "ready")]);
        discovery.send_chunk(&format!("{delta}\n"));
        wait_until("the sidecar sends to the added upstream", || {
            client.exchange("bill");
            !added.requests().is_empty()
        });
        let peak_kib = sidecar.peak_memory_kib();
        assert!(peak_kib < LOWEST_MEMORY_LIMIT_KIB, "{peak_kib} KiB with {} entries", entries.len());
    }
}
