//! Checks that the files in `src/gen` match the output of the generator for the .proto files.

#[path = "../examples/generate.rs"]
#[allow(dead_code)]
mod generator;

use std::fs;
use std::path::Path;

#[test]
fn the_generated_files_are_those_of_the_proto_files() {
    let fresh = std::env::temp_dir().join(format!("frostvale-gen-{}", std::process::id()));
    fs::create_dir_all(&fresh).expect("a folder");
    generator::generate(&fresh);
    let kept = Path::new(env!("CARGO_MANIFEST_DIR")).join("src/gen");
    let names = |at: &Path| {
        let mut names: Vec<_> =
            fs::read_dir(at).expect("a folder").map(|e| e.expect("an entry").file_name()).collect();
        names.sort();
        names
    };
    assert_eq!(names(&kept), names(&fresh), "run the example `generate`");
    for name in names(&fresh) {
        let same = fs::read(kept.join(&name)).ok() == fs::read(fresh.join(&name)).ok();
        assert!(same, "{name:?} is not what proto/ gives: run the example `generate`");
    }
    fs::remove_dir_all(&fresh).expect("removed");
}
