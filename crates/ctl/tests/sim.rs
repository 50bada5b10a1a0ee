//! Tests of `frostctl sim` as a process: exit codes, reports, and errors of invalid files.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

/// Runs `frostctl sim` with these arguments until it ends.
fn run_sim(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_frostctl")).arg("sim").args(args).output().expect("started")
}

/// Writes a file into the folder; returns its path, also as text.
fn write_file(folder: &Path, name: &str, text: &str) -> (PathBuf, String) {
    let path = folder.join(name);
    std::fs::write(&path, text).expect("written");
    (path.clone(), path.display().to_string())
}

#[test]
fn run_writes_the_same_report_when_the_number_of_jobs_differs() {
    let folder = tempfile::tempdir().expect("a folder");
    let (_, day) = write_file(folder.path(), "day.toml", "name = \"day\"\nseconds = 3\n");
    let reports: Vec<String> = ["1", "4"]
        .iter()
        .map(|jobs| {
            let (json, path) = write_file(folder.path(), "runs.json", "");
            let out = run_sim(&["run", &day, "--seeds", "1..5", "--jobs", jobs, "--json", &path]);
            assert!(out.status.success(), "{out:?}");
            assert!(String::from_utf8_lossy(&out.stdout).contains("4 runs, 4 held, 0 failed"));
            std::fs::read_to_string(json).expect("reports")
        })
        .collect();
    assert_eq!(reports[0], reports[1], "the number of jobs does not change the reports");
    assert_eq!(reports[0].lines().count(), 4);
    let (json, path) = write_file(folder.path(), "all.json", &reports[0]);
    let (page, html) = write_file(folder.path(), "page.html", "");
    assert!(run_sim(&["report", &path, "--html", &html]).status.success());
    let page = std::fs::read_to_string(page).expect("a page");
    assert!(page.matches("<svg").count() == 9 && !page.contains("src="));
    std::fs::write(json, "{}\n").expect("written");
    let out = run_sim(&["report", &path, "--html", &html]);
    assert!(!out.status.success() && String::from_utf8_lossy(&out.stderr).contains("line 1"), "{out:?}");
}

#[test]
fn run_names_the_shrink_command_when_a_scenario_fails_and_shrink_keeps_the_failure() {
    let folder = tempfile::tempdir().expect("a folder");
    let text = "name = \"hard\"\nseconds = 8\n[expect]\nserved_least = 0.9999\n[load]\nrate = 900\n";
    let (_, hard) = write_file(folder.path(), "hard.toml", text);
    let out = run_sim(&["run", &hard]);
    assert_eq!(out.status.code(), Some(6), "{out:?}");
    assert!(String::from_utf8_lossy(&out.stdout).contains("sim shrink FILE --seed 1"));
    let (small, to) = write_file(folder.path(), "small.toml", "");
    assert_eq!(run_sim(&["shrink", &hard, "--seed", "1", "--to", &to]).status.code(), Some(6));
    let text = std::fs::read_to_string(small).expect("written");
    let seed = text.split("seed ").nth(1).and_then(|t| t.split(':').next()).expect("a seed");
    assert_eq!(run_sim(&["run", &to, "--seeds", seed]).status.code(), Some(6), "{text}");
}

#[test]
fn check_and_run_print_one_line_naming_the_field_when_a_file_is_invalid() {
    let folder = tempfile::tempdir().expect("a folder");
    for (text, expected) in [
        ("name = \"x\"\nseconds = 1\nspeed = 3\n", "unknown field `speed`"),
        ("name = \"x\"\nseconds = 99999\n", "seconds is 99999, it may be 0.1 to 3600"),
    ] {
        let (_, path) = write_file(folder.path(), "bad.toml", text);
        for call in [vec!["check", &path], vec!["run", &path]] {
            let out = run_sim(&call);
            let stderr = String::from_utf8_lossy(&out.stderr);
            assert!(
                !out.status.success() && stderr.contains(expected) && stderr.lines().count() == 1,
                "{stderr}"
            );
        }
    }
    assert_eq!(run_sim(&["run", "x.toml", "--seeds", "5..5"]).status.code(), Some(2));
}
