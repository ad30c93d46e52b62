//! Unit tests of `src/net/config.rs`, which includes this file as its `tests` module.

use super::*;

const MINIMAL: &str = r#"{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","settings":{
    "classes":[{"name":"a","aim":250.0,"hard_limit":900.0,"importance":2.0,"effect":"repeatable"}],
    "allowed":{"max_attempts":3},"peers_total":3,"membership_mode":"automatic","telemetry":{},
    "invariants":{"cold_share":0.1,"warm_up":2e4,"fall_multiple":2.5,"fall":1500.0}}}"#;

#[test]
fn minimal_configuration_is_valid() {
    let config = Config::parse(MINIMAL.as_bytes()).expect("the minimal configuration is valid");
    assert_eq!(config.limits.connections_per_side(), 500);
    let low_memory = Limits { memory_mb: 16, ..config.limits };
    assert_eq!(low_memory.connections_per_side(), 64, "memory is the tighter limit");
    assert!(config.saved_list.is_none());
}

#[test]
fn invalid_values_are_rejected() {
    for (valid, invalid) in [
        (r#""aim":250.0"#, r#""aim":-1"#),
        (r#""name":"a""#, r#""name":"""#),
        (r#""max_attempts":3"#, r#""max_attempts":0"#),
        (r#""listen":"127.0.0.1:0""#, r#""listen":"here""#),
        (r#""cold_share":0.1"#, r#""cold_share":0"#),
        (r#""classes":["#, r#""klasses":["#),
    ] {
        assert!(MINIMAL.contains(valid), "{valid}");
        assert!(Config::parse(MINIMAL.replace(valid, invalid).as_bytes()).is_err(), "{invalid}");
    }
}

#[test]
fn deeply_nested_saved_list_does_not_invalidate_the_configuration() {
    let nested = format!("{}{}", "[".repeat(1_000), "]".repeat(1_000));
    let known = format!(r#"{{"known":{{"seq":5,"hosts":[],"x":{nested}}},"#);
    let config = Config::parse(MINIMAL.replacen('{', &known, 1).as_bytes()).expect("a valid configuration");
    assert_eq!(config.saved_list.expect("a saved list").version, 5);
}
