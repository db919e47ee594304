//! Computes a digest of the sources, by which logs and metrics name the build
//! (see docs/OPERATIONS.md, "Which build runs").
//!
//! A commit would not tell a changed work tree from a clean one, and sources may be built
//! without their repository.

use std::{
    fs, io,
    path::{Path, PathBuf},
};

/// What the programs are made of, besides the compiler.
const SOURCES: [&str; 4] = ["Cargo.lock", "Cargo.toml", "build.rs", "src"];

/// The number of hexadecimal digits of the digest that are shown.
const SHOWN_DIGITS: usize = 16;

fn main() -> io::Result<()> {
    let mut files = Vec::new();
    for source in SOURCES {
        println!("cargo::rerun-if-changed={source}");
        collect_files(Path::new(source), &mut files)?;
    }
    files.sort();
    let mut hasher = blake3::Hasher::new();
    for file in &files {
        let content = fs::read(file)?;
        hasher.update(file.to_string_lossy().as_bytes());
        hasher.update(&[0]);
        // The length keeps the bytes of one file apart from the next one's name.
        hasher.update(&(content.len() as u64).to_le_bytes());
        hasher.update(&content);
    }
    let digest = hasher.finalize().to_hex();
    println!(
        "cargo::rustc-env=MIMOSAVANE_SOURCES={}",
        &digest[..SHOWN_DIGITS]
    );
    Ok(())
}

fn collect_files(path: &Path, files: &mut Vec<PathBuf>) -> io::Result<()> {
    if !path.is_dir() {
        files.push(path.to_owned());
        return Ok(());
    }
    for entry in fs::read_dir(path)? {
        collect_files(&entry?.path(), files)?;
    }
    Ok(())
}
