//! Which steps are in hand, as small files beside the council's: a process that dies in one can't say so, but the next one
//! finds out. It is evidence and no promise, so nothing is synced, and what can't be written is left out.

use frostvale_owner::registry::is_name;
use std::fs;
use std::path::{Path, PathBuf};

/// The folder of marks.
pub struct StepMarkers(PathBuf);

impl StepMarkers {
    /// Opens it, and gives what a former process left: duty and epoch of each step that it died in.
    pub fn open(beside: &Path) -> (StepMarkers, Vec<(String, u64)>) {
        let mut name = beside.as_os_str().to_os_string();
        name.push(".hand");
        let hand = StepMarkers(name.into());
        let _ = fs::create_dir(&hand.0);
        let one = |entry: fs::DirEntry| {
            let duty = entry.file_name().into_string().ok().filter(|n| is_name(n))?;
            let text = fs::read_to_string(entry.path()).ok()?;
            Some((duty, text.trim().parse().ok()?))
        };
        let mut fell: Vec<(String, u64)> =
            fs::read_dir(&hand.0).into_iter().flatten().flatten().filter_map(one).collect();
        fell.sort();
        hand.clear();
        (hand, fell)
    }

    /// A step begins.
    pub fn mark(&self, duty: &str, epoch: u64) {
        let _ = fs::write(self.0.join(duty), format!("{epoch}\n"));
    }

    /// It is over, however it ended.
    pub fn unmark(&self, duty: &str) {
        let _ = fs::remove_file(self.0.join(duty));
    }

    /// This process ends in order: whatever it leaves has not killed it.
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
    fn what_a_process_died_in_is_found_by_the_next_and_only_once() {
        let folder = tempfile::tempdir().expect("a folder");
        let file = folder.path().join("council.db");
        let (hand, fell) = StepMarkers::open(&file);
        assert_eq!(fell, []);
        hand.mark("roll-up", 7);
        hand.mark("gaps", 9);
        hand.unmark("gaps");
        fs::write(folder.path().join("council.db.hand").join("odd"), "no number").expect("written");
        assert_eq!(StepMarkers::open(&file).1, [("roll-up".to_string(), 7)]);
        assert_eq!(StepMarkers::open(&file).1, []);
    }
}
