//! Logs: one line of key=value pairs for each event.

use std::fmt;

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
pub fn start_to_stdout(level: &str) {
    start_to(level, std::io::stdout);
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
    // Fails only where logging was started before, as in `dev`.
    let _ = subscriber.try_init();
}
