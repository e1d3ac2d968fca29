//! Threads for calls that block, started as they are needed.

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
};

use crossbeam_channel::{Receiver, Sender};

/// A bounded number of threads that each run one job at a time.
pub(super) struct ThreadPool<J, R> {
    jobs: Sender<J>,
    receiver: Receiver<J>,
    idle: Arc<AtomicUsize>,
    started: usize,
    threads_max: usize,
    run: Arc<R>,
}

impl<J: Send + 'static, R: Fn(J) + Send + Sync + 'static> ThreadPool<J, R> {
    /// Makes a pool without threads.
    pub(super) fn new(threads_max: usize, run: R) -> ThreadPool<J, R> {
        let (jobs, receiver) = crossbeam_channel::unbounded();
        ThreadPool {
            jobs,
            receiver,
            idle: Arc::new(AtomicUsize::new(0)),
            started: 0,
            threads_max,
            run: Arc::new(run),
        }
    }

    /// Runs a job on an idle thread, a new one, or when one becomes idle.
    pub(super) fn submit(&mut self, job: J) {
        if self.idle.load(Ordering::Acquire) <= self.jobs.len() && self.started < self.threads_max {
            self.start_thread();
        }
        // The pool holds a receiver itself, so the channel is open.
        let _ = self.jobs.send(job);
    }

    fn start_thread(&mut self) {
        let (receiver, idle, run) = (self.receiver.clone(), self.idle.clone(), self.run.clone());
        let work = move || {
            idle.fetch_add(1, Ordering::Release);
            while let Ok(job) = receiver.recv() {
                idle.fetch_sub(1, Ordering::Release);
                run(job);
                idle.fetch_add(1, Ordering::Release);
            }
        };
        match thread::Builder::new().name("call".to_owned()).stack_size(256 * 1024).spawn(work) {
            Ok(_) => self.started += 1,
            Err(error) => tracing::error!(event = "thread_not_started", %error),
        }
    }
}
