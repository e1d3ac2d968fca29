//! What was sent, answered and run, with the time since the case began.

use std::{
    fs::File,
    io::Write,
    sync::{Mutex, OnceLock},
    time::Instant,
};

static RECORD: OnceLock<(Instant, Mutex<File>)> = OnceLock::new();

/// Opens `record.txt` in a folder.
pub fn open(folder: &str) {
    let file = File::create(format!("{folder}/record.txt")).expect("record.txt can be written");
    let _ = RECORD.set((Instant::now(), Mutex::new(file)));
}

/// Returns the time since the case began, in seconds.
pub fn now_s() -> f64 {
    RECORD.get().map_or(0.0, |(began, _)| began.elapsed().as_secs_f64())
}

/// Writes one line.
pub fn note(line: &str) {
    if let Some((_, file)) = RECORD.get() {
        let _ = writeln!(file.lock().unwrap(), "{:8.3} s  {line}", now_s());
    }
}
