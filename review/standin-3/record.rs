//! The record of a case: what was sent, answered and run, with the time since the case began.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    began: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        let file = File::create(path).expect("the record can be written");
        Record { file: Arc::new(Mutex::new(file)), began: Instant::now() }
    }

    pub fn now_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    pub fn note(&self, text: impl AsRef<str>) {
        let now_ms = self.now_ms();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:8.3} s  {}", now_ms as f64 / 1_000.0, text.as_ref());
    }
}
