//! What the kernel says of a process: processor time, peak memory, open descriptors.

use std::fs;

/// What a process has used so far.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Usage {
    /// Processor time of all its threads, in seconds.
    pub cpu_s: f64,
    /// The largest resident memory, in MB.
    pub memory_mb: f64,
    /// Open descriptors now.
    pub descriptors: usize,
}

/// Reads a process's usage; none once it has gone.
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
    fn the_own_process_is_read_and_one_that_is_not_there_is_not() {
        let own = super::read(std::process::id()).expect("it runs");
        assert!(own.cpu_s > 0.0 && own.memory_mb > 0.0 && own.descriptors > 0, "{own:?}");
        assert_eq!(super::read(u32::MAX), None);
    }
}
