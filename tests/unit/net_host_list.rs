//! Unit tests of `src/net/host_list.rs`, which includes this file as its `tests` module.

use super::*;

#[test]
fn invalid_entries_do_not_affect_valid_ones() {
    let list: HostList = serde_json::from_str(
        r#"{"seq":4,"hosts":[{"host":"a","dial":"127.0.0.1:1","health":"ready"},
        {"host":"b","dial":"nowhere","health":"ready"},{"host":"c","dial":"127.0.0.1:1","health":"odd"}, 7]}"#,
    )
    .unwrap();
    let names: Vec<String> = list.hosts.valid().iter().map(|host| host.name.clone()).collect();
    assert_eq!(names, ["a"]);
    assert_eq!(list.hosts.invalid_names().collect::<Vec<_>>(), ["b", "c"]);
    let description = list.hosts.describe_invalid().expect("there are invalid entries");
    assert!(description.starts_with("3 of 4 entries of the host list cannot be read"), "{description}");
}

/// Guards against content that no field names and that makes a whole list unreadable.
#[test]
fn unused_content_of_an_entry_is_skipped() {
    let nested = format!("{}{}", "[".repeat(1_000), "]".repeat(1_000));
    let text = format!(
        r#"{{"seq":4,"hosts":[{{"host":"a","dial":"127.0.0.1:1","health":"ready","x":{nested},"y":1e999}},
        {{"host":"b","dial":"127.0.0.1:1","health":"ready","share":1e999}},
        {{"host":"c","host":"c","dial":"127.0.0.1:1","health":"ready"}}]}}"#
    );
    let saved = HostList::from_saved(&text).unwrap();
    let list: HostList = serde_json::from_str(&text).unwrap();
    assert_eq!((list.version, saved.version), (4, 0), "a saved list with invalid entries needs a snapshot");
    for list in [list, saved] {
        assert_eq!(list.hosts.valid().iter().map(|host| &host.name[..]).collect::<Vec<_>>(), ["a"]);
        assert_eq!(list.hosts.invalid_names().collect::<Vec<_>>(), ["b"], "only one of a repeated name");
    }
}
