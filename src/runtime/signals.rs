//! Signals, as events.

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
/// SIGXFSZ ends nothing: a file that may not grow is a write that fails, and is told as such.
///
/// # Errors
///
/// Returns an error when the handler cannot be installed.
pub fn forward_signals(handle: ProcessHandle) -> Result<()> {
    let cannot = || Error::new(ErrorKind::Internal, "cannot handle signals");
    let mut signals = Signals::new([consts::SIGTERM, consts::SIGINT, consts::SIGXFSZ])
        .change_context_lazy(cannot)?;
    let forward = move || {
        let stops = signals.forever().filter(|it| *it != consts::SIGXFSZ);
        for (count, signal) in stops.enumerate() {
            tracing::info!(event = "signal", signal, count = count + 1);
            if count == 0 { handle.stop() } else { handle.kill() }
        }
    };
    thread::Builder::new().name("signals".to_owned()).spawn(forward).change_context_lazy(cannot)?;
    Ok(())
}

/// Forwards SIGTERM and SIGINT as [`forward_signals`], and SIGHUP, at which the settings are read
/// again.
///
/// # Errors
///
/// Returns an error when the handler cannot be installed.
pub fn forward_signals_to(handle: SingleThreadedHandle) -> Result<()> {
    let cannot = || Error::new(ErrorKind::Internal, "cannot handle signals");
    let mut signals =
        Signals::new([consts::SIGTERM, consts::SIGINT, consts::SIGHUP, consts::SIGXFSZ])
            .change_context_lazy(cannot)?;
    let forward = move || {
        let mut stops = 0;
        for signal in signals.forever() {
            tracing::info!(event = "signal", signal);
            match signal {
                consts::SIGXFSZ => (),
                consts::SIGHUP => handle.reload(),
                _ if stops == 0 => {
                    stops += 1;
                    handle.stop();
                }
                _ => handle.kill(),
            }
        }
    };
    thread::Builder::new().name("signals".to_owned()).spawn(forward).change_context_lazy(cannot)?;
    Ok(())
}
