//! Marker files of the steps in progress, in a folder beside the file of the consensus group.
//!
//! A process that dies during a step cannot report it, but the next process finds the marker. The markers are
//! evidence, not a guarantee: nothing is synced, and write errors are ignored.

use frostvale_owner::registry::is_name;
use std::fs;
use std::path::{Path, PathBuf};

/// The folder of marker files.
pub struct StepMarkers(PathBuf);

impl StepMarkers {
    /// Opens the folder and removes the markers of an earlier process. Returns the duty and epoch of each
    /// step during which that process died.
    pub fn open(beside: &Path) -> (StepMarkers, Vec<(String, u64)>) {
        let mut name = beside.as_os_str().to_os_string();
        name.push(".hand");
        let markers = StepMarkers(name.into());
        let _ = fs::create_dir(&markers.0);
        let one = |entry: fs::DirEntry| {
            let duty = entry.file_name().into_string().ok().filter(|n| is_name(n))?;
            let text = fs::read_to_string(entry.path()).ok()?;
            Some((duty, text.trim().parse().ok()?))
        };
        let mut interrupted: Vec<(String, u64)> =
            fs::read_dir(&markers.0).into_iter().flatten().flatten().filter_map(one).collect();
        interrupted.sort();
        markers.clear();
        (markers, interrupted)
    }

    /// Marks a step as in progress.
    pub fn mark(&self, duty: &str, epoch: u64) {
        let _ = fs::write(self.0.join(duty), format!("{epoch}\n"));
    }

    /// Removes the marker of a step that ended, with or without success.
    pub fn unmark(&self, duty: &str) {
        let _ = fs::remove_file(self.0.join(duty));
    }

    /// Removes all markers, at an orderly shutdown: the steps in progress did not kill the process.
    pub fn clear(&self) {
        for entry in fs::read_dir(&self.0).into_iter().flatten().flatten() {
            let _ = fs::remove_file(entry.path());
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn step_markers_return_interrupted_steps_once_when_reopened() {
        let folder = tempfile::tempdir().expect("create temporary folder");
        let file = folder.path().join("council.db");
        let (markers, interrupted) = StepMarkers::open(&file);
        assert_eq!(interrupted, []);
        markers.mark("roll-up", 7);
        markers.mark("gaps", 9);
        markers.unmark("gaps");
        fs::write(folder.path().join("council.db.hand").join("odd"), "no number").expect("write marker file");
        assert_eq!(StepMarkers::open(&file).1, [("roll-up".to_string(), 7)]);
        assert_eq!(StepMarkers::open(&file).1, []);
    }
}
