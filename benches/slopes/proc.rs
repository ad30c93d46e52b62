//! What the system says of a process.

use std::fs;

use anyhow::{Context, Result};

/// A figure of /proc/PID/status, in KiB.
pub fn status_kib(id: u32, name: &str) -> Result<f64> {
    let text = fs::read_to_string(format!("/proc/{id}/status"))?;
    let line = text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(':'));
    let figure = line.and_then(|line| line.split_whitespace().next()).context("no such figure")?;
    Ok(figure.parse()?)
}

/// Processor time that all threads of a process have had, in microseconds.
pub fn cpu_us(id: u32) -> Result<f64> {
    let mut nanos = 0.0;
    for task in fs::read_dir(format!("/proc/{id}/task"))? {
        let text = fs::read_to_string(task?.path().join("schedstat"))?;
        nanos += text.split_whitespace().next().context("an empty schedstat")?.parse::<f64>()?;
    }
    Ok(nanos / 1e3)
}

/// The load of the machine over the last minute.
pub fn load() -> Option<f64> {
    fs::read_to_string("/proc/loadavg").ok()?.split(' ').next()?.parse().ok()
}
