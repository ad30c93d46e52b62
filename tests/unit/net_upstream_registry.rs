//! Unit tests of `src/net/upstream_registry.rs`, which includes this file as its `tests` module.

use super::*;

fn settings() -> SettingsObject {
    let text = r#"{"classes":[{"name":"a","aim":250.0,"hard_limit":900.0,"importance":2.0,"effect":"repeatable"}],
        "allowed":{"max_attempts":3},"peers_total":3,"membership_mode":"automatic","telemetry":{},
        "invariants":{"cold_share":0.1,"warm_up":2e4,"fall_multiple":2.5,"fall":1500.0}}"#;
    serde_json::from_str(text).unwrap()
}

/// The number of names and of upstreams in the registry.
fn entry_counts(registry: &UpstreamRegistry) -> (usize, usize) {
    (registry.ids.len(), registry.by_id.len())
}

/// A list with a single entry.
fn host_list(host: usize, health: &str) -> HostList {
    let text = format!(
        r#"{{"seq":1,"hosts":[{{"host":"h{host}","dial":"127.0.0.1:1","health":"{health}","born_ms":5}}]}}"#
    );
    serde_json::from_str(&text).unwrap()
}

#[test]
fn gone_upstreams_are_removed_once_no_attempt_is_in_flight() {
    let (mut registry, settings) = (UpstreamRegistry::new(0.0), settings());
    let mut ids = HashSet::new();
    for host in 0..100 {
        let [record] = &registry.apply_list(&host_list(host, "ready"), false, &settings, 9.0)[..] else {
            panic!("expected one record")
        };
        assert!(ids.insert(record.upstream), "upstream id was reused");
        assert_eq!(record.started_at, Some(5.0), "a new host at a known address has a start time");
        registry.apply_list(&host_list(host, "gone"), false, &settings, 9.0);
        registry.remove_gone(std::iter::once(record.upstream));
        assert_eq!(entry_counts(&registry), (1, 1), "removed with an attempt in flight");
        registry.remove_gone(std::iter::empty());
        assert_eq!(entry_counts(&registry), (0, 0));
    }
}

#[test]
fn draining_upstreams_are_kept_and_upstreams_missing_from_a_complete_list_are_removed() {
    let (mut registry, settings) = (UpstreamRegistry::new(0.0), settings());
    registry.apply_list(&host_list(1, "ready"), false, &settings, 9.0);
    registry.apply_list(&host_list(1, "draining"), false, &settings, 9.0);
    registry.remove_gone(std::iter::empty());
    assert_eq!(entry_counts(&registry), (1, 1));
    registry.apply_list(&host_list(2, "ready"), true, &settings, 9.0);
    registry.remove_gone(std::iter::empty());
    assert_eq!(entry_counts(&registry), (1, 1), "only the listed upstream is kept");
    assert!(registry.by_id.values().all(|server| server.name == "h2"));
}
