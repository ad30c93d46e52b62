//! Splits the stream of a watch into JSON objects.

use std::fmt::{self, Display, Formatter};

use bytes::{BufMut, BytesMut};

/// Maximum size of a JSON object in the stream, enough for thousands of hosts. Bounds the memory that an unterminated
/// object takes.
const MAX_OBJECT_BYTES: usize = 2 << 20;

/// Why a stream cannot be split.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FramingError {
    /// There is data between two objects.
    OutsideObject,
    /// An object is longer than [`MAX_OBJECT_BYTES`].
    TooLong,
}

impl Display for FramingError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            FramingError::OutsideObject => write!(f, "unexpected data outside a JSON object"),
            FramingError::TooLong => write!(f, "a JSON object is longer than {MAX_OBJECT_BYTES} bytes"),
        }
    }
}

/// Splits a byte stream into JSON objects, regardless of chunk and line boundaries.
#[derive(Default)]
pub struct JsonFramer {
    /// Bytes received so far of an incomplete object.
    partial_object: BytesMut,
    /// Number of braces that are open.
    depth: usize,
    /// Whether the next byte belongs to a string.
    in_string: bool,
    /// Whether the next byte is escaped by a backslash.
    escaped: bool,
    /// Whether a line has ended outside any object since [`JsonFramer::take_line_end`] was last called.
    line_ended: bool,
}

impl JsonFramer {
    /// Consumes a chunk up to the end of the first object in it. Returns that object, if it is complete, and the number
    /// of bytes consumed.
    pub fn push(&mut self, chunk: &[u8]) -> Result<(Option<BytesMut>, usize), FramingError> {
        for (index, byte) in chunk.iter().enumerate() {
            if self.depth == 0 {
                match byte {
                    b'{' => {}
                    b'\n' => self.line_ended = true,
                    _ if byte.is_ascii_whitespace() => {}
                    _ => return Err(FramingError::OutsideObject),
                }
            }
            self.track_nesting(*byte);
            if self.depth > 0 || *byte == b'}' {
                self.partial_object.put_u8(*byte);
            }
            if self.partial_object.len() > MAX_OBJECT_BYTES {
                return Err(FramingError::TooLong);
            }
            if self.depth == 0 && !self.partial_object.is_empty() {
                return Ok((Some(self.partial_object.split()), index + 1));
            }
        }
        Ok((None, chunk.len()))
    }

    /// Updates `depth`, ignoring braces in strings.
    fn track_nesting(&mut self, byte: u8) {
        match (self.in_string, byte) {
            (true, _) if self.escaped => self.escaped = false,
            (true, b'\\') => self.escaped = true,
            (_, b'"') if self.depth > 0 => self.in_string = !self.in_string,
            (false, b'{') => self.depth += 1,
            (false, b'}') => self.depth -= 1,
            _ => {}
        }
    }

    /// Whether a line has ended outside any object since the last call.
    pub fn take_line_end(&mut self) -> bool {
        std::mem::take(&mut self.line_ended)
    }

    /// Whether an object is incomplete.
    pub fn in_object(&self) -> bool {
        self.depth > 0
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/net_json_framer.rs"]
mod tests;
