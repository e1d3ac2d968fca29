//! Checks that names of the platform's interfaces occur in `platform/` only.
#![allow(clippy::unwrap_used)]

use std::{fs, path::Path};

/// Names from the platform's interfaces that `src/` must not contain.
const PLATFORM_NAMES: [&str; 24] = [
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
    let mut occurrences = Vec::new();
    collect_occurrences(&Path::new(env!("CARGO_MANIFEST_DIR")).join("src"), &mut occurrences);
    assert!(occurrences.is_empty(), "{occurrences:#?}");
}

#[test]
fn the_translation_stays_small() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let (platform, product) = (count_lines(&root.join("platform")), count_lines(&root.join("src")));
    assert!(platform * 20 <= product, "platform/ has {platform} lines, src/ {product}");
}

fn collect_occurrences(folder: &Path, occurrences: &mut Vec<String>) {
    for path in entries(folder) {
        if path.is_dir() {
            collect_occurrences(&path, occurrences);
            continue;
        }
        let text = fs::read_to_string(&path).unwrap();
        for (line_index, line) in text.lines().enumerate() {
            let names = PLATFORM_NAMES.iter().filter(|it| line.contains(**it));
            occurrences
                .extend(names.map(|it| format!("{}:{}: {it}", path.display(), line_index + 1)));
        }
    }
}

fn count_lines(folder: &Path) -> usize {
    let count = |path: &std::path::PathBuf| match path.is_dir() {
        true => count_lines(path),
        false => fs::read_to_string(path).unwrap().lines().count(),
    };
    entries(folder).iter().map(count).sum()
}

fn entries(folder: &Path) -> Vec<std::path::PathBuf> {
    fs::read_dir(folder).unwrap().map(|it| it.unwrap().path()).collect()
}
