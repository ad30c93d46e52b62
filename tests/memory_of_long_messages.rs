//! The sidecar stays within its memory limit while many requests are open whose heads and bodies are as long as they may
//! be.

mod loopback;

use std::time::Duration;

use loopback::*;

/// Number of clients with an open request at the same time; fewer than the 128 requests that may be open with 384
/// descriptors.
const OPEN_REQUESTS: usize = 120;
/// Number of requests of each of these clients.
const ROUNDS: usize = 5;
/// How long an upstream takes for a response, so that all requests of a round are open together.
const SERVICE_TIME: Duration = Duration::from_millis(300);
/// Number of fields that a request head may have besides the usual ones.
const MAX_ADDITIONAL_FIELDS: usize = 90;
/// Length of the values of as many fields that together nearly fill a head of the greatest length, 32 KiB.
const LONG_VALUE_BYTES: usize = 330;

/// Sends requests with these additional header lines and bodies of the greatest length from many clients at once, which
/// get responses of the greatest length, and checks the memory and that nearly all are served.
fn assert_long_messages_fit(additional_headers: &str) {
    let upstreams: Vec<Upstream> = (0..OPEN_REQUESTS / 10)
        .map(|_| {
            Upstream::new(|_| {
                std::thread::sleep(SERVICE_TIME);
                Behaviour::Respond(200, "", vec![b'a'; MAX_BODY_BYTES])
            })
        })
        .collect();
    let addresses: Vec<_> = upstreams.iter().map(|upstream| upstream.address).collect();
    let (sidecar, _discovery) = Sidecar::with_lowest_memory_limit(&ready_addresses(&addresses));
    let mut clients: Vec<Client> = (0..OPEN_REQUESTS).map(|_| Client::connect(sidecar.address)).collect();
    let (mut peak_kib, mut served) = (0, 0);
    for _ in 0..ROUNDS {
        for client in &mut clients {
            let length = format!("{additional_headers}Content-Length: {MAX_BODY_BYTES}");
            let request = http_request("bill", 60_000).replace("Content-Length: 4", &length);
            let head = request.strip_suffix("bill").expect("the body of the class");
            client.write(&[head.as_bytes(), &[b'b'; MAX_BODY_BYTES]].concat());
        }
        for client in &mut clients {
            let response = client.read().expect("a response");
            peak_kib = peak_kib.max(sidecar.anonymous_memory_kib());
            served += usize::from(response.status() == 200 && response.body.len() == MAX_BODY_BYTES);
        }
    }
    assert!(peak_kib < LOWEST_MEMORY_LIMIT_KIB, "{peak_kib} KiB");
    assert!(served > ROUNDS * OPEN_REQUESTS / 2, "only {served} requests were served");
}

/// Guards against open requests whose bodies, in both directions, take more than the memory limit.
#[test]
fn many_long_bodies_in_both_directions_stay_within_the_memory_limit() {
    assert_long_messages_fit("");
}

/// Guards against heads of many short fields, whose header maps are larger than the heads.
#[test]
fn heads_of_many_fields_stay_within_the_memory_limit() {
    let lines = (0..MAX_ADDITIONAL_FIELDS).map(|number| format!("a{number:02}: b\r\n"));
    assert_long_messages_fit(&lines.collect::<String>());
}

/// Guards against heads of nearly the greatest length, whose read buffers are kept while their requests are open.
#[test]
fn heads_of_the_greatest_length_stay_within_the_memory_limit() {
    let value = "v".repeat(LONG_VALUE_BYTES);
    let lines = (0..MAX_ADDITIONAL_FIELDS).map(|number| format!("a{number:02}: {value}\r\n"));
    assert_long_messages_fit(&lines.collect::<String>());
}
