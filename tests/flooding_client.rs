//! One client that sends as fast as it can on a connection neither delays the others nor makes the memory grow.

mod loopback;

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use loopback::*;

/// How long the client sends, connecting again whenever its connection is closed.
const FLOOD_TIME: Duration = Duration::from_millis(1_500);
/// The latency target of the classes in [`SETTINGS_JSON`].
const LATENCY_TARGET: Duration = Duration::from_secs(3);
/// Requests that are written at once.
const REQUESTS_PER_WRITE: usize = 50;

/// Sends what `next_bytes` returns, and reads what comes back, until [`FLOOD_TIME`] has passed.
fn flood(address: SocketAddr, next_bytes: impl Fn() -> Vec<u8>) {
    let start = Instant::now();
    while start.elapsed() < FLOOD_TIME {
        let mut stream = TcpStream::connect(address).unwrap();
        stream.set_write_timeout(Some(FLOOD_TIME)).unwrap();
        let mut reader = stream.try_clone().unwrap();
        let discarding = std::thread::spawn(move || {
            let mut buffer = [0; 64 << 10];
            while reader.read(&mut buffer).is_ok_and(|read| read > 0) {}
        });
        while start.elapsed() < FLOOD_TIME && stream.write_all(&next_bytes()).is_ok() {}
        let _ = stream.shutdown(Shutdown::Both);
        discarding.join().unwrap();
    }
}

/// Checks the answers of another client and the memory while a client floods a sidecar.
fn assert_flood_is_harmless(next_bytes: impl Fn() -> Vec<u8> + Send + 'static) {
    let upstream = Upstream::new(|_| Behaviour::ok("served"));
    let (sidecar, _discovery) = Sidecar::for_upstreams(&[&upstream]);
    let address = sidecar.address;
    let flooding = std::thread::spawn(move || flood(address, next_bytes));
    let mut client = Client::connect(sidecar.address);
    while !flooding.is_finished() {
        let start = Instant::now();
        assert_eq!(client.exchange("fetch").body, b"served");
        assert!(start.elapsed() < LATENCY_TARGET, "answered after {:?}", start.elapsed());
    }
    flooding.join().unwrap();
    let peak_kib = sidecar.peak_memory_kib();
    assert!(peak_kib < LOWEST_MEMORY_LIMIT_KIB, "{peak_kib} KiB");
}

/// The text of several requests that each differ in their id.
fn several_requests(request: impl Fn() -> String) -> Vec<u8> {
    (0..REQUESTS_PER_WRITE).map(|_| request()).collect::<String>().into_bytes()
}

#[test]
fn readiness_checks_at_full_speed_are_harmless() {
    let check = || "GET /up HTTP/1.1\r\nHost: api.internal\r\n\r\n".to_owned();
    assert_flood_is_harmless(move || several_requests(check));
}

#[test]
fn requests_with_new_ids_at_full_speed_are_harmless() {
    assert_flood_is_harmless(|| several_requests(|| http_request("fetch", 6_000)));
}

#[test]
fn requests_for_unknown_paths_at_full_speed_are_harmless() {
    let unknown = || http_request("fetch", 6_000).replacen("/fetch", "/unknown", 1);
    assert_flood_is_harmless(move || several_requests(unknown));
}

#[test]
fn invalid_bytes_at_full_speed_are_harmless() {
    assert_flood_is_harmless(|| vec![0xff; 4 << 10]);
}

#[test]
fn long_bodies_at_full_speed_are_harmless() {
    let length = format!("Content-Length: {MAX_BODY_BYTES}");
    assert_flood_is_harmless(move || {
        let request = http_request("bill", 6_000).replace("Content-Length: 4", &length);
        let head = request.strip_suffix("bill").expect("the body of the class");
        [head.as_bytes(), &[b'b'; MAX_BODY_BYTES]].concat()
    });
}
