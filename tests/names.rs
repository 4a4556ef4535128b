//! Names of the platform's interfaces occur only in the adapter crate `platform/`.

use std::fs;
use std::path::Path;
use std::path::PathBuf;

/// Names of the platform's headers, calls and documents for which the product uses other names.
const PLATFORM_WORDS: [&str; 22] = [
    "rows-tx",
    "rows-get",
    "rows-feed",
    "borageladder/readyz",
    "x-attempt-id",
    "x-deadline-ms",
    "x-expect-instance",
    "x-not-executed",
    "x-prompt-prefix",
    "x-server-signature",
    "x-tenant",
    "x-token-usage",
    "x-length-hint",
    "x-weight-versions",
    "batch_slots",
    "max_attempts",
    "cold_remaining_ms",
    "target_latency_ms",
    "max_gap_ms",
    "since_revision",
    "cross_partition",
    "server_time_ms",
];

fn rust_files(folder: &Path, files: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).expect("a source folder is readable") {
        let path = entry.expect("a folder entry is readable").path();
        if path.is_dir() {
            rust_files(&path, files);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            files.push(path);
        }
    }
}

#[test]
fn names_of_the_platform_occur_only_in_the_adapter() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut files = Vec::new();
    for part in ["src", "kernel/src", "standin/src", "benches"] {
        rust_files(&root.join(part), &mut files);
    }
    assert!(files.len() > 100, "the sources were found");
    for file in files {
        let text = fs::read_to_string(&file).expect("a source file is readable");
        let text = text.to_lowercase();
        for word in PLATFORM_WORDS {
            assert!(!text.contains(word), "{}: {word}", file.display());
        }
    }
}
