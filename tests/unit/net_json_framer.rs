//! Unit tests of `src/net/discovery/json_framer.rs`, which includes this file as its `tests` module.

use super::*;

/// Feeds `text` to a framer in chunks; returns the complete objects and the framer.
fn split_objects(text: &[u8], chunk_size: usize) -> Result<(Vec<BytesMut>, JsonFramer), FramingError> {
    let mut framer = JsonFramer::default();
    let mut objects = Vec::new();
    for chunk in text.chunks(chunk_size) {
        let mut rest = chunk;
        while !rest.is_empty() {
            let (object, consumed) = framer.push(rest)?;
            objects.extend(object);
            rest = &rest[consumed..];
        }
    }
    Ok((objects, framer))
}

#[test]
fn framer_splits_objects_at_any_chunk_size() {
    let complete = [&b"{\"a\":1}"[..], b"{\n  \"b\": {\n \"c\": \"}\\\"{\"\n }\n}", b"{}"];
    let text = [complete[0], b"\n\n", complete[1], b" ", complete[2], b"\r\n{\"d\""].concat();
    for size in 1..text.len() {
        let (objects, framer) = split_objects(&text, size).unwrap();
        assert_eq!(objects, complete, "chunks of {size} bytes");
        assert!(framer.in_object() && framer.line_ended);
    }
    assert!(split_objects(b"{}\nnonsense\n", 4).is_err());
    assert!(split_objects(b"}{", 4).is_err());
}

#[test]
fn framer_rejects_oversized_objects() {
    let mut framer = JsonFramer::default();
    let chunk = [b"{\"".to_vec(), vec![b'x'; MAX_OBJECT_BYTES / 2]].concat();
    assert!(framer.push(&chunk).unwrap().0.is_none());
    assert!(framer.push(&chunk).is_err());
}
