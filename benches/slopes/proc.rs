//! Process and machine statistics from `/proc`.

use std::fs;

use anyhow::{Context, Result};

/// A memory field of `/proc/PID/status`, such as `VmRSS`, in KiB.
pub fn status_kib(pid: u32, field: &str) -> Result<f64> {
    let status = fs::read_to_string(format!("/proc/{pid}/status"))?;
    let value = status.lines().find_map(|line| line.strip_prefix(field)?.strip_prefix(':'));
    let kib = value
        .and_then(|value| value.split_whitespace().next())
        .context("field is missing from /proc/PID/status")?;
    Ok(kib.parse()?)
}

/// The CPU time of all threads of a process, in microseconds.
pub fn cpu_us(pid: u32) -> Result<f64> {
    let mut cpu_ns = 0.0;
    for task in fs::read_dir(format!("/proc/{pid}/task"))? {
        let schedstat = fs::read_to_string(task?.path().join("schedstat"))?;
        // The first field is the CPU time in nanoseconds.
        cpu_ns +=
            schedstat.split_whitespace().next().context("schedstat of a thread is empty")?.parse::<f64>()?;
    }
    Ok(cpu_ns / 1e3)
}

/// The load average of the machine over the last minute.
pub fn load_average() -> Option<f64> {
    fs::read_to_string("/proc/loadavg").ok()?.split(' ').next()?.parse().ok()
}
