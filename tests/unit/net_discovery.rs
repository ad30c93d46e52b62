//! Tests of `src/net/discovery.rs`, whose module takes this file in.

use super::*;

fn objects(text: &[u8], size: usize) -> Result<(Vec<BytesMut>, Objects)> {
    let mut objects = Objects::default();
    let mut found = Vec::new();
    for chunk in text.chunks(size) {
        let mut rest = chunk;
        while !rest.is_empty() {
            let (object, taken) = objects.push(rest)?;
            found.extend(object);
            rest = &rest[taken..];
        }
    }
    Ok((found, objects))
}

#[test]
fn objects_are_found_however_they_are_chunked_and_indented() {
    let whole = [&b"{\"a\":1}"[..], b"{\n  \"b\": {\n \"c\": \"}\\\"{\"\n }\n}", b"{}"];
    let text = [whole[0], b"\n\n", whole[1], b" ", whole[2], b"\r\n{\"d\""].concat();
    for size in 1..text.len() {
        let (found, objects) = objects(&text, size).unwrap();
        assert_eq!(found, whole, "chunks of {size}");
        assert!(objects.inside() && objects.line_ended);
    }
    assert!(objects(b"{}\nnonsense\n", 4).is_err());
    assert!(objects(b"}{", 4).is_err());
}

#[test]
fn an_endless_object_ends_the_watch() {
    let mut objects = Objects::default();
    let chunk = [b"{\"".to_vec(), vec![b'x'; OBJECT_BYTES / 2]].concat();
    assert!(objects.push(&chunk).unwrap().0.is_none());
    assert!(objects.push(&chunk).is_err());
}

#[test]
fn a_broken_entry_leaves_the_others() {
    let list: HostList = serde_json::from_str(
        r#"{"seq":4,"hosts":[{"host":"a","dial":"127.0.0.1:1","health":"ready"},
        {"host":"b","dial":"nowhere","health":"ready"},{"host":"c","dial":"127.0.0.1:1","health":"odd"}, 7]}"#,
    )
    .unwrap();
    let names: Vec<String> = list.valid_hosts().map(|host| host.host.clone()).collect();
    assert_eq!(names, ["a"]);
}
