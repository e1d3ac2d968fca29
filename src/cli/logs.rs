//! Logging: one line of key=value pairs for each event.

use std::{
    fmt, io,
    sync::atomic::{AtomicU64, Ordering},
};

use rustix::fs::{OFlags, fcntl_getfl, fcntl_setfl};

use tracing::{Event, Subscriber};
use tracing_subscriber::{
    fmt::{
        FmtContext, FormatEvent, FormatFields,
        format::Writer,
        time::{FormatTime, SystemTime},
    },
    registry::LookupSpan,
};

struct KeyValueLine;

impl<S, N> FormatEvent<S, N> for KeyValueLine
where
    S: Subscriber + for<'a> LookupSpan<'a>,
    N: for<'a> FormatFields<'a> + 'static,
{
    fn format_event(
        &self,
        context: &FmtContext<'_, S, N>,
        mut writer: Writer<'_>,
        event: &Event<'_>,
    ) -> fmt::Result {
        write!(writer, "time=")?;
        SystemTime.format_time(&mut writer)?;
        write!(writer, " level={} ", event.metadata().level().as_str().to_ascii_lowercase())?;
        context.field_format().format_fields(writer.by_ref(), event)?;
        writeln!(writer)
    }
}

/// Starts logging to standard error; `ASPENRAIL_LOG` overrides the level.
pub(super) fn start(level: &str) {
    start_to(level, std::io::stderr);
}

/// Starts logging to standard output; `ASPENRAIL_LOG` overrides the level.
///
/// A slow reader never blocks the process: lines that cannot be written at once are dropped, and
/// their number is logged when writes succeed again.
pub fn start_to_stdout(level: &str) {
    let stdout = io::stdout();
    let nonblocking_result =
        fcntl_getfl(&stdout).and_then(|it| fcntl_setfl(&stdout, it | OFlags::NONBLOCK));
    start_to(level, || DroppingStdout);
    if let Err(error) = nonblocking_result {
        tracing::warn!(event = "log_may_block", %error);
    }
}

/// Number of dropped lines that has not been logged yet.
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Standard output that drops lines that cannot be written at once.
struct DroppingStdout;

impl io::Write for DroppingStdout {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let dropped = DROPPED.load(Ordering::Relaxed);
        if 0 < dropped {
            let note = format!("level=warn event=\"log_lines_dropped\" count={dropped}\n");
            if rustix::io::write(io::stdout(), note.as_bytes()).is_ok() {
                DROPPED.fetch_sub(dropped, Ordering::Relaxed);
            }
        }
        if rustix::io::write(io::stdout(), line).is_err() {
            DROPPED.fetch_add(1, Ordering::Relaxed);
        }
        // A partially written line is not completed: the rest would have to wait for the reader.
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn start_to<W>(level: &str, writer: W)
where
    W: for<'a> tracing_subscriber::fmt::MakeWriter<'a> + Send + Sync + 'static,
{
    let filter = std::env::var("ASPENRAIL_LOG").unwrap_or_else(|_| format!("{level},h2=warn"));
    let filter = tracing_subscriber::EnvFilter::new(filter);
    let subscriber = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(writer)
        .with_ansi(false)
        .event_format(KeyValueLine);
    // Fails only if logging is already initialized, as in `dev`.
    let _ = subscriber.try_init();
}
