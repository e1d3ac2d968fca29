//! The thread that makes a control member's writes durable.

use std::{
    sync::Arc,
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, TryRecvError};
use error_stack::ResultExt;

use crate::{
    control::log::{Disk, DiskWrite},
    metrics::Metrics,
    prelude::*,
};

/// Pause in the writes after which the log is marked as durable up to here.
const MARK_PAUSE: Duration = Duration::from_millis(200);

/// Interval at which free space is looked at.
const SPACE_INTERVAL: Duration = Duration::from_secs(1);

/// Pause between two tries of a write that the disk refuses.
const REFUSED_PAUSE: Duration = Duration::from_millis(200);

/// Time for which a disk may refuse writes before the process ends, so that somebody looks at it.
const REFUSED_MAX: Duration = Duration::from_secs(600);

type Job = (u64, Vec<DiskWrite>);

/// Takes in the word of the disk; called on its thread.
pub(super) trait DiskSink: Send + 'static {
    /// All writes up to `number` are durable.
    fn persisted(&self, number: u64);

    /// The free space is below or again above what new work needs.
    fn space_changed(&self, is_full: bool);

    /// The disk refuses what is written, or takes it again.
    fn refusal_changed(&self, refuses: bool);

    /// The disk has refused what is written for too long.
    fn failed(&self, report: error_stack::Report<Error>);
}

/// The sending side of the disk's thread.
pub(super) struct DiskWriter {
    jobs: Option<Sender<Job>>,
    thread: Option<JoinHandle<()>>,
}

impl DiskWriter {
    /// Starts the thread.
    ///
    /// # Errors
    ///
    /// Returns an error when it cannot be started.
    pub(super) fn start<S: DiskSink>(
        disk: Disk,
        metrics: Arc<Metrics>,
        sink: S,
    ) -> Result<DiskWriter> {
        let (jobs, receiver) = crossbeam_channel::unbounded();
        let thread = thread::Builder::new()
            .name("disk".to_owned())
            .spawn(move || write_all(disk, &receiver, &metrics, &sink))
            .change_context_lazy(|| {
                Error::new(ErrorKind::Internal, "cannot start the disk's thread")
            })?;
        Ok(DiskWriter { jobs: Some(jobs), thread: Some(thread) })
    }

    pub(super) fn submit(&self, number: u64, writes: Vec<DiskWrite>) {
        if let Some(it) = &self.jobs {
            // Fails only after the thread has reported why it ended.
            let _ = it.send((number, writes));
        }
    }
}

impl Drop for DiskWriter {
    fn drop(&mut self) {
        self.jobs = None;
        if let Some(it) = self.thread.take() {
            // Its panic would have been printed; there is nothing else to do about it here.
            let _ = it.join();
        }
    }
}

fn write_all<S: DiskSink>(mut disk: Disk, jobs: &Receiver<Job>, metrics: &Metrics, sink: &S) {
    let mut marked = true;
    let mut was_full = false;
    let mut looked: Option<Instant> = None;
    loop {
        if looked.is_none_or(|it| SPACE_INTERVAL < it.elapsed()) {
            looked = Some(Instant::now());
            let is_full = disk.is_full();
            if is_full != was_full {
                tracing::warn!(event = "disk_space", is_full);
                sink.space_changed(is_full);
            }
            was_full = is_full;
        }
        let (mut number, mut writes) =
            match jobs.recv_timeout(if marked { SPACE_INTERVAL } else { MARK_PAUSE }) {
                Ok(it) => it,
                Err(RecvTimeoutError::Timeout) if marked => continue,
                Err(RecvTimeoutError::Timeout) => {
                    marked = true;
                    let Err(report) = disk.write_durability_mark() else { continue };
                    let mut refused = Refused::new(Vec::new(), 0, report);
                    match refused.write(&mut disk, jobs, sink) {
                        Ok(()) if refused.number == 0 => continue,
                        Ok(()) => {
                            sink.persisted(refused.number);
                            continue;
                        }
                        Err(report) => return sink.failed(report),
                    }
                }
                Err(RecvTimeoutError::Disconnected) => {
                    if let Err(report) = disk.write_durability_mark() {
                        tracing::error!(event = "disk_failed", error = %format_args!("{report:#}"));
                    }
                    return;
                }
            };
        // Whatever gathered during the last sync shares the next one.
        while let Ok((next, more)) = jobs.try_recv() {
            number = next;
            writes.extend(more);
            metrics.disk_writes.inc();
        }
        metrics.disk_writes.inc();
        metrics.disk_syncs.inc();
        marked = false;
        if let Err(report) = disk.write(&writes) {
            let mut refused = Refused::new(writes, number, report);
            if let Err(report) = refused.write(&mut disk, jobs, sink) {
                return sink.failed(report);
            }
            number = refused.number;
        }
        sink.persisted(number);
    }
}

/// Writes that the disk has refused.
///
/// They are tried again until it takes them: a full disk is a matter of minutes, and a process that
/// ends for it starts into the same wall. Nothing of them was promised to anybody meanwhile.
struct Refused {
    writes: Vec<DiskWrite>,
    /// Number of the newest of them.
    number: u64,
    report: error_stack::Report<Error>,
}

impl Refused {
    fn new(writes: Vec<DiskWrite>, number: u64, report: error_stack::Report<Error>) -> Refused {
        Refused { writes, number, report }
    }

    /// Tries until all is durable, with what comes meanwhile.
    ///
    /// # Errors
    ///
    /// Returns the last error when the disk refuses for too long, or the process ends.
    fn write<S: DiskSink>(
        &mut self,
        disk: &mut Disk,
        jobs: &Receiver<Job>,
        sink: &S,
    ) -> std::result::Result<(), error_stack::Report<Error>> {
        let began = Instant::now();
        self.writes.drain(..disk.durable_write_count());
        tracing::error!(event = "disk_writes_refused", error = %format_args!("{:#}", self.report), writes = self.writes.len());
        sink.refusal_changed(true);
        let mut tries = 0_u32;
        loop {
            thread::sleep(REFUSED_PAUSE);
            let is_over = loop {
                match jobs.try_recv() {
                    Ok((number, more)) => {
                        self.number = number;
                        self.writes.extend(more);
                    }
                    Err(error) => break error == TryRecvError::Disconnected,
                }
            };
            tries += 1;
            let written = disk.retry_write(&self.writes);
            self.writes.drain(..disk.durable_write_count());
            let Err(report) = written else { break };
            if is_over || REFUSED_MAX < began.elapsed() {
                return Err(report);
            }
        }
        tracing::warn!(
            event = "disk_writes_resumed",
            after_ms = began.elapsed().as_millis() as u64,
            tries
        );
        sink.refusal_changed(false);
        Ok(())
    }
}
