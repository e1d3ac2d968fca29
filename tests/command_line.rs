//! Errors that operators see on the command line.
#![allow(clippy::unwrap_used)]

use std::process::Command;

#[yare::parameterized(
    missing = { None, "No such file" },
    no_ini = { Some("[control\n"), "settings.ini: 2:1 expecting" },
    no_folder = { Some("[process]\nregion = 1\n"), "section [control] sets no data_folder" },
)]
fn init_says_why_it_cannot_use_the_settings(text: Option<&str>, expected: &str) {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("settings.ini");
    if let Some(text) = text {
        std::fs::write(&path, text).unwrap();
    }
    let mut command = Command::new(env!("CARGO_BIN_EXE_aspenrail"));
    let output = command.arg("init").arg(&path).arg("--join").output().unwrap();
    let errors = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(2), "{errors}");
    assert!(errors.contains(expected), "{errors}");
}
