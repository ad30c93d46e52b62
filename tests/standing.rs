//! Terms of the standing test that no other file forces, on the real program.

mod loopback;

use std::sync::{Mutex, mpsc};
use std::time::Instant;

use loopback::*;

/// How much more a server was told than its client would wait, in milliseconds: from a request's header, when it
/// came, when its client sent it and what that one said. What the way to the server took counts as told too much.
fn excess_ms(request: &Message, came: Instant, sent: Instant, said_ms: u64) -> f64 {
    let told: f64 = request.header("x-timeout-ms").unwrap().parse().unwrap();
    told - (said_ms as f64 - (came - sent).as_secs_f64() * 1e3)
}

/// A server may work for as long as it is told, and its client is gone by then.
#[test]
fn a_server_is_told_no_more_than_is_left_behind_the_wait_for_a_quiet_connection() {
    let (came, arrivals) = mpsc::channel();
    let came = Mutex::new(came);
    let upstream = Upstream::new(move |m| {
        came.lock().unwrap().send((m.clone(), Instant::now())).unwrap();
        Deed::ok("served")
    });
    // Probes would open a second connection, and then there would be one that is quiet.
    let settings = SETTINGS.replace(r#""probes":true"#, r#""probes":false"#);
    let (sidecar, _discovery) = Sidecar::with_settings(&[&upstream], &settings);
    let mut client = Client::to(sidecar.address);
    let mut excess = Vec::new();
    for _ in 0..40 {
        let sent = Instant::now();
        client.send("bill", 6_000);
        assert_eq!(client.read().expect("an answer").status(), 200);
        let (request, at) = arrivals.recv_timeout(FOREVER).unwrap();
        excess.push(excess_ms(&request, at, sent, 6_000));
    }
    assert_eq!(upstream.connections(), 1, "each waits until the one before has been quiet for long enough");
    // 3 ms are kept in hand, and the wait is 15 ms. A busy machine adds to many of these, hardly to all.
    excess.sort_by(f64::total_cmp);
    assert!(excess[4] < 6.0, "{excess:?}");
}
