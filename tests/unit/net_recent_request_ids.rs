//! Unit tests of `src/net/recent_request_ids.rs`, which includes this file as its `tests` module.

use super::*;

#[test]
fn ids_are_forgotten_after_the_retention_time() {
    let (mut ids, start) = (RecentRequestIds::default(), Instant::now());
    ids.remember("a", start);
    ids.remember("b", start + RETENTION / 2);
    assert!(ids.contains("a", start + RETENTION / 2));
    assert!(!ids.contains("c", start));
    assert!(!ids.contains("a", start + RETENTION));
    assert!(ids.contains("b", start + RETENTION));
}

/// Guards against memory that grows with the number of requests.
#[test]
fn the_oldest_ids_are_forgotten_above_the_limit() {
    let (mut ids, now) = (RecentRequestIds::default(), Instant::now());
    for number in 0..=MAX_IDS {
        ids.remember(&number.to_string(), now);
    }
    assert!(!ids.contains("0", now));
    assert!(ids.contains("1", now));
    assert!(ids.contains(&MAX_IDS.to_string(), now));
    assert_eq!((ids.entries.len(), ids.id_hashes.len()), (MAX_IDS, MAX_IDS));
}
