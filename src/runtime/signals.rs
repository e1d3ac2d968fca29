//! Forwards Unix signals to the process as events.

use std::thread;

use error_stack::ResultExt;
use signal_hook::{consts, iterator::Signals};

use crate::{
    prelude::*,
    runtime::{process::ProcessHandle, single_threaded::SingleThreadedHandle},
};

/// Forwards SIGTERM and SIGINT to a process: the first begins a planned stop, the second ends
/// it at once.
///
/// SIGXFSZ is ignored, so that a write beyond the file size limit only returns an error.
///
/// # Errors
///
/// Returns an error if the signal handler cannot be installed.
pub fn forward_signals(handle: ProcessHandle) -> Result<()> {
    let install_error = || Error::new(ErrorKind::Internal, "cannot install the signal handlers");
    let mut signals = Signals::new([consts::SIGTERM, consts::SIGINT, consts::SIGXFSZ])
        .change_context_lazy(install_error)?;
    let forward = move || {
        let stop_signals = signals.forever().filter(|it| *it != consts::SIGXFSZ);
        for (count, signal) in stop_signals.enumerate() {
            tracing::info!(event = "signal", signal, count = count + 1);
            if count == 0 { handle.stop() } else { handle.kill() }
        }
    };
    thread::Builder::new()
        .name("signals".to_owned())
        .spawn(forward)
        .change_context_lazy(install_error)?;
    Ok(())
}

/// Forwards SIGTERM and SIGINT as [`forward_signals`] does, and SIGHUP to reload the settings.
///
/// # Errors
///
/// Returns an error if the signal handler cannot be installed.
pub fn forward_signals_to(handle: SingleThreadedHandle) -> Result<()> {
    let install_error = || Error::new(ErrorKind::Internal, "cannot install the signal handlers");
    let mut signals =
        Signals::new([consts::SIGTERM, consts::SIGINT, consts::SIGHUP, consts::SIGXFSZ])
            .change_context_lazy(install_error)?;
    let forward = move || {
        let mut stop_count = 0;
        for signal in signals.forever() {
            tracing::info!(event = "signal", signal);
            match signal {
                consts::SIGXFSZ => (),
                consts::SIGHUP => handle.reload(),
                _ if stop_count == 0 => {
                    stop_count += 1;
                    handle.stop();
                }
                _ => handle.kill(),
            }
        }
    };
    thread::Builder::new()
        .name("signals".to_owned())
        .spawn(forward)
        .change_context_lazy(install_error)?;
    Ok(())
}
