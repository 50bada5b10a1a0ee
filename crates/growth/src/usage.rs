//! Reads the CPU time, peak memory and open file descriptors of a process from `/proc`.

use std::fs;

/// Resource use of a process so far.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Usage {
    /// CPU time of all its current threads, in seconds.
    pub cpu_s: f64,
    /// Peak resident memory, in MB.
    pub memory_mb: f64,
    /// Number of open file descriptors at present.
    pub descriptors: usize,
}

/// Reads the resource use of a process; `None` if the process does not exist.
#[must_use]
pub fn read(pid: u32) -> Option<Usage> {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
    let peak_kb: f64 = peak.split_whitespace().next()?.parse().ok()?;
    let descriptors = fs::read_dir(format!("/proc/{pid}/fd")).ok()?.count();
    Some(Usage { cpu_s: cpu_s(pid)?, memory_mb: peak_kb / 1024.0, descriptors })
}

fn cpu_s(pid: u32) -> Option<f64> {
    let mut running_ns = 0;
    for thread in fs::read_dir(format!("/proc/{pid}/task")).ok()?.flatten() {
        let text = fs::read_to_string(thread.path().join("schedstat")).unwrap_or_default();
        running_ns += text.split_whitespace().next().and_then(|ns| ns.parse::<u64>().ok()).unwrap_or(0);
    }
    Some(running_ns as f64 / 1e9)
}

#[cfg(test)]
mod tests {
    #[test]
    fn read_returns_usage_of_this_process_and_none_for_a_missing_one() {
        let own = super::read(std::process::id()).expect("it runs");
        assert!(own.cpu_s > 0.0 && own.memory_mb > 0.0 && own.descriptors > 0, "{own:?}");
        assert_eq!(super::read(u32::MAX), None);
    }
}
