//! Checks of the house style that neither the formatter nor the linter covers.

use std::fs;
use std::path::Path;
use std::path::PathBuf;

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

fn sources() -> Vec<(PathBuf, String)> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut files = Vec::new();
    for part in ["benches", "kernel", "platform", "src", "standin", "tests"] {
        if root.join(part).is_dir() {
            rust_files(&root.join(part), &mut files);
        }
    }
    files.sort();
    files
        .into_iter()
        .map(|path| {
            let text = fs::read_to_string(&path).expect("a source file is readable");
            (path, text)
        })
        .collect()
}

#[test]
fn imports_are_one_per_line() {
    for (path, text) in sources() {
        for line in text.lines() {
            let line = line.trim_start();
            let import = line.starts_with("use ") || line.starts_with("pub use ");
            assert!(
                !(import && line.contains('{')),
                "{}: {line}",
                path.display()
            );
        }
    }
}

#[test]
fn derives_are_in_alphabetical_order() {
    for (path, text) in sources() {
        for part in text.split("#[derive(").skip(1) {
            let list = part.split(')').next().unwrap_or_default();
            let names: Vec<&str> = list
                .split(',')
                .map(str::trim)
                .filter(|name| !name.is_empty())
                .collect();
            assert!(names.is_sorted(), "{}: derive({list})", path.display());
        }
    }
}

#[test]
fn folders_have_a_mod_file() {
    for (path, _) in sources() {
        let folder = path.parent().expect("a file has a folder");
        let stem = folder
            .file_name()
            .expect("a folder has a name")
            .to_string_lossy();
        if ["bin", "benches", "src", "tests"].contains(&stem.as_ref()) {
            continue;
        }
        let found = folder.join("mod.rs").is_file() || folder.join("main.rs").is_file();
        assert!(found, "{} has no mod.rs", folder.display());
    }
}
