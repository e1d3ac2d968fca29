//! The platform's names stand in platform/ only.
#![allow(clippy::unwrap_used)]

use std::{fs, path::Path};

/// Words of the platform's interfaces that the product has no use for.
const WORDS: [&str; 24] = [
    "ack_cursor",
    "allow_duplicate",
    "anti_affinity",
    "bind_addrs",
    "cloud_api",
    "cold_remaining",
    "data_dir",
    "est_ms",
    "fencing_token",
    "heartbeat_addr",
    "hold_max_ms",
    "last_checkpoint",
    "machine_class",
    "machine_id",
    "max_unavailable",
    "path_prefixes",
    "rejects_overload",
    "repeat_interval",
    "run-start",
    "run-stop",
    "runs_forever",
    "saves_progress",
    "target_completion",
    "wave-start",
];

#[test]
fn no_word_of_the_platform_stands_in_the_product() {
    let mut found = Vec::new();
    search(&Path::new(env!("CARGO_MANIFEST_DIR")).join("src"), &mut found);
    assert!(found.is_empty(), "{found:#?}");
}

#[test]
fn the_translation_stays_small() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let (platform, product) = (lines(&root.join("platform")), lines(&root.join("src")));
    assert!(platform * 20 <= product, "platform/ has {platform} lines, src/ {product}");
}

fn search(folder: &Path, found: &mut Vec<String>) {
    for path in entries(folder) {
        if path.is_dir() {
            search(&path, found);
            continue;
        }
        let text = fs::read_to_string(&path).unwrap();
        for (at, line) in text.lines().enumerate() {
            let words = WORDS.iter().filter(|it| line.contains(**it));
            found.extend(words.map(|it| format!("{}:{}: {it}", path.display(), at + 1)));
        }
    }
}

fn lines(folder: &Path) -> usize {
    let count = |path: &std::path::PathBuf| match path.is_dir() {
        true => lines(path),
        false => fs::read_to_string(path).unwrap().lines().count(),
    };
    entries(folder).iter().map(count).sum()
}

fn entries(folder: &Path) -> Vec<std::path::PathBuf> {
    fs::read_dir(folder).unwrap().map(|it| it.unwrap().path()).collect()
}
