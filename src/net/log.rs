//! The log: rate-limited lines on standard error.

use std::cell::Cell;
use std::fmt::Display;
use std::io::Write;
use std::time::{Duration, Instant};

/// Limit on the lines per second, so that a broken peer cannot fill the disk that holds the log.
const MAX_LINES_PER_SECOND: u32 = 20;
/// Longer lines are truncated, since their text may come from the network.
const MAX_LINE_CHARS: usize = 300;

thread_local! {
    /// The start of the current one-second window, and the lines offered in it.
    static WINDOW: Cell<Option<(Instant, u32)>> = const { Cell::new(None) };
}

/// Writes one line, unless the limit for this second is reached.
pub fn line(text: impl Display) {
    let now = Instant::now();
    let (start, offered) = match WINDOW.get() {
        Some((start, offered)) if now - start < Duration::from_secs(1) => (start, offered),
        Some((_, offered)) if offered > MAX_LINES_PER_SECOND => {
            write(&format!("{} log lines dropped by the rate limit", offered - MAX_LINES_PER_SECOND));
            (now, 0)
        }
        _ => (now, 0),
    };
    WINDOW.set(Some((start, offered.saturating_add(1))));
    if offered < MAX_LINES_PER_SECOND {
        write(&text.to_string());
    }
}

/// Writes a line with control characters replaced. Errors are ignored: serving does not depend on the log.
fn write(text: &str) {
    let sanitised: String =
        text.chars().map(|c| if c.is_control() { ' ' } else { c }).take(MAX_LINE_CHARS).collect();
    let _ = writeln!(std::io::stderr(), "sagemast: {sanitised}");
}
