//! Tests of `src/net/upstream_registry.rs`, whose module takes this file in.

use super::*;

fn settings() -> SettingsObject {
    let text = r#"{"classes":[{"name":"a","aim":250.0,"hard_limit":900.0,"importance":2.0,"effect":"repeatable"}],
        "allowed":{"max_attempts":3},"peers_total":3,"membership_mode":"automatic","telemetry":{},
        "invariants":{"cold_share":0.1,"warm_up":2e4,"fall_multiple":2.5,"fall":1500.0}}"#;
    serde_json::from_str(text).unwrap()
}

/// How many names and how many servers are known.
fn known(registry: &UpstreamRegistry) -> (usize, usize) {
    (registry.ids.len(), registry.by_id.len())
}

fn change(host: usize, health: &str) -> HostList {
    let text = format!(
        r#"{{"seq":1,"hosts":[{{"host":"h{host}","dial":"127.0.0.1:1","health":"{health}","born_ms":5}}]}}"#
    );
    serde_json::from_str(&text).unwrap()
}

#[test]
fn the_gone_are_forgotten_once_nothing_is_out_on_them() {
    let (mut registry, settings) = (UpstreamRegistry::new(0.0), settings());
    let mut ids = HashSet::new();
    for host in 0..100 {
        let [listing] = &registry.apply_list(&change(host, "ready"), false, &settings, 9.0)[..] else {
            panic!("one entry, one listing")
        };
        assert!(ids.insert(listing.upstream), "ids are not used again");
        assert_eq!(listing.started_at, Some(5.0), "one at the address of another starts cold");
        registry.apply_list(&change(host, "gone"), false, &settings, 9.0);
        registry.remove_gone(std::iter::once(listing.upstream));
        assert_eq!(known(&registry), (1, 1), "an attempt is still out on it");
        registry.remove_gone(std::iter::empty());
        assert_eq!(known(&registry), (0, 0));
    }
}

#[test]
fn one_that_drains_is_kept_and_one_that_is_missing_from_a_whole_list_is_not() {
    let (mut registry, settings) = (UpstreamRegistry::new(0.0), settings());
    registry.apply_list(&change(1, "ready"), false, &settings, 9.0);
    registry.apply_list(&change(1, "draining"), false, &settings, 9.0);
    registry.remove_gone(std::iter::empty());
    assert_eq!(known(&registry), (1, 1));
    registry.apply_list(&change(2, "ready"), true, &settings, 9.0);
    registry.remove_gone(std::iter::empty());
    assert_eq!(known(&registry), (1, 1), "of the two only the second");
    assert!(registry.by_id.values().all(|server| server.host == "h2"));
}
