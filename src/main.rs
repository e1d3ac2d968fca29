//! The `aspenrail` binary.

use std::process::ExitCode;

#[path = "../platform/mod.rs"]
mod platform;

fn main() -> ExitCode {
    // `serve` runs a process of the users' platform, which locates its settings through the
    // environment. All other arguments are commands of aspenrail itself.
    if std::env::args_os().nth(1).is_some_and(|it| it == "serve") {
        return platform::serve();
    }
    aspenrail::cli::main()
}
