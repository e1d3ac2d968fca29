//! A pool of threads for blocking calls, started on demand.

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
};

use crossbeam_channel::{Receiver, Sender};

/// A bounded number of threads, each of which runs one job at a time.
pub(super) struct ThreadPool<J, R> {
    jobs: Sender<J>,
    receiver: Receiver<J>,
    idle_count: Arc<AtomicUsize>,
    thread_count: usize,
    threads_max: usize,
    run_job: Arc<R>,
}

impl<J: Send + 'static, R: Fn(J) + Send + Sync + 'static> ThreadPool<J, R> {
    /// Creates a pool without threads.
    pub(super) fn new(threads_max: usize, run_job: R) -> ThreadPool<J, R> {
        let (jobs, receiver) = crossbeam_channel::unbounded();
        ThreadPool {
            jobs,
            receiver,
            idle_count: Arc::new(AtomicUsize::new(0)),
            thread_count: 0,
            threads_max,
            run_job: Arc::new(run_job),
        }
    }

    /// Runs a job on an idle thread or a new one, or queues it until a thread becomes idle.
    pub(super) fn submit(&mut self, job: J) {
        if self.idle_count.load(Ordering::Acquire) <= self.jobs.len()
            && self.thread_count < self.threads_max
        {
            self.start_thread();
        }
        // The pool itself holds a receiver, so the channel is always open.
        let _ = self.jobs.send(job);
    }

    fn start_thread(&mut self) {
        let (receiver, idle_count, run_job) =
            (self.receiver.clone(), self.idle_count.clone(), self.run_job.clone());
        let run_jobs = move || {
            idle_count.fetch_add(1, Ordering::Release);
            while let Ok(job) = receiver.recv() {
                idle_count.fetch_sub(1, Ordering::Release);
                run_job(job);
                idle_count.fetch_add(1, Ordering::Release);
            }
        };
        match thread::Builder::new().name("call".to_owned()).stack_size(256 * 1024).spawn(run_jobs)
        {
            Ok(_) => self.thread_count += 1,
            Err(error) => tracing::error!(event = "thread_not_started", %error),
        }
    }
}
