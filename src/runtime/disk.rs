//! The thread that makes the writes of a control member durable.

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

/// Time without writes after which the log is marked as durable up to its end.
const MARK_DELAY: Duration = Duration::from_millis(200);

/// Interval at which free space is checked.
const SPACE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two attempts of a write that the disk refuses.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Time for which a disk may refuse writes before the process exits to alert the operator.
const REFUSED_MAX: Duration = Duration::from_secs(600);

type Job = (u64, Vec<DiskWrite>);

/// Receives the results of the disk; called on the disk thread.
pub(super) trait DiskSink: Send + 'static {
    /// All writes up to `number` are durable.
    fn persisted(&self, number: u64);

    /// Free space fell below the minimum for new work, or rose above it.
    fn space_changed(&self, is_full: bool);

    /// The disk began to refuse writes, or accepts them again.
    fn refusal_changed(&self, is_refusing: bool);

    /// The disk has refused writes for longer than [`REFUSED_MAX`].
    fn failed(&self, report: error_stack::Report<Error>);
}

/// The sending side of the disk thread.
pub(super) struct DiskWriter {
    jobs: Option<Sender<Job>>,
    thread: Option<JoinHandle<()>>,
}

impl DiskWriter {
    /// Starts the disk thread.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread cannot be started.
    pub(super) fn start<S: DiskSink>(
        disk: Disk,
        metrics: Arc<Metrics>,
        sink: S,
    ) -> Result<DiskWriter> {
        let (jobs, receiver) = crossbeam_channel::unbounded();
        let thread = thread::Builder::new()
            .name("disk".to_owned())
            .spawn(move || run_disk_thread(disk, &receiver, &metrics, &sink))
            .change_context_lazy(|| {
                Error::new(ErrorKind::Internal, "cannot start the disk thread")
            })?;
        Ok(DiskWriter { jobs: Some(jobs), thread: Some(thread) })
    }

    pub(super) fn submit(&self, number: u64, writes: Vec<DiskWrite>) {
        if let Some(it) = &self.jobs {
            // Fails only after the disk thread has reported its error and ended.
            let _ = it.send((number, writes));
        }
    }
}

impl Drop for DiskWriter {
    fn drop(&mut self) {
        self.jobs = None;
        if let Some(it) = self.thread.take() {
            // A panic of the thread has already been printed.
            let _ = it.join();
        }
    }
}

fn run_disk_thread<S: DiskSink>(mut disk: Disk, jobs: &Receiver<Job>, metrics: &Metrics, sink: &S) {
    let mut is_marked = true;
    let mut was_full = false;
    let mut last_space_check: Option<Instant> = None;
    loop {
        if last_space_check.is_none_or(|it| SPACE_CHECK_INTERVAL < it.elapsed()) {
            last_space_check = Some(Instant::now());
            let is_full = disk.is_full();
            if is_full != was_full {
                tracing::warn!(event = "disk_space", is_full);
                sink.space_changed(is_full);
            }
            was_full = is_full;
        }
        let (mut number, mut writes) =
            match jobs.recv_timeout(if is_marked { SPACE_CHECK_INTERVAL } else { MARK_DELAY }) {
                Ok(it) => it,
                Err(RecvTimeoutError::Timeout) if is_marked => continue,
                Err(RecvTimeoutError::Timeout) => {
                    is_marked = true;
                    let Err(report) = disk.write_durability_mark() else { continue };
                    let mut refused = RefusedWrites::new(Vec::new(), 0, report);
                    match refused.retry_until_durable(&mut disk, jobs, sink) {
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
        // Group commit: writes queued during the last sync share the next one.
        while let Ok((next, more)) = jobs.try_recv() {
            number = next;
            writes.extend(more);
            metrics.disk_writes.inc();
        }
        metrics.disk_writes.inc();
        metrics.disk_syncs.inc();
        is_marked = false;
        if let Err(report) = disk.write(&writes) {
            let mut refused = RefusedWrites::new(writes, number, report);
            if let Err(report) = refused.retry_until_durable(&mut disk, jobs, sink) {
                return sink.failed(report);
            }
            number = refused.number;
        }
        sink.persisted(number);
    }
}

/// Writes that the disk has refused.
///
/// They are retried until they succeed: a full disk usually lasts minutes, and a process that
/// exited would find the disk still full after its restart. Until then no write is acknowledged.
struct RefusedWrites {
    writes: Vec<DiskWrite>,
    /// Number of the newest write.
    number: u64,
    report: error_stack::Report<Error>,
}

impl RefusedWrites {
    fn new(
        writes: Vec<DiskWrite>,
        number: u64,
        report: error_stack::Report<Error>,
    ) -> RefusedWrites {
        RefusedWrites { writes, number, report }
    }

    /// Retries until all writes are durable, including those submitted meanwhile.
    ///
    /// # Errors
    ///
    /// Returns the last error after [`REFUSED_MAX`], or when the process ends.
    fn retry_until_durable<S: DiskSink>(
        &mut self,
        disk: &mut Disk,
        jobs: &Receiver<Job>,
        sink: &S,
    ) -> std::result::Result<(), error_stack::Report<Error>> {
        let refused_since = Instant::now();
        self.writes.drain(..disk.durable_write_count());
        tracing::error!(event = "disk_writes_refused", error = %format_args!("{:#}", self.report), writes = self.writes.len());
        sink.refusal_changed(true);
        let mut tries = 0_u32;
        loop {
            thread::sleep(RETRY_INTERVAL);
            let is_process_ending = loop {
                match jobs.try_recv() {
                    Ok((number, more)) => {
                        self.number = number;
                        self.writes.extend(more);
                    }
                    Err(error) => break error == TryRecvError::Disconnected,
                }
            };
            tries += 1;
            let result = disk.retry_write(&self.writes);
            self.writes.drain(..disk.durable_write_count());
            let Err(report) = result else { break };
            if is_process_ending || REFUSED_MAX < refused_since.elapsed() {
                return Err(report);
            }
        }
        tracing::warn!(
            event = "disk_writes_resumed",
            after_ms = refused_since.elapsed().as_millis() as u64,
            tries
        );
        sink.refusal_changed(false);
        Ok(())
    }
}
