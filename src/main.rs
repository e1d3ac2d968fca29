//! The one binary of aspenrail.

use std::process::ExitCode;

#[path = "../platform/mod.rs"]
mod platform;

fn main() -> ExitCode {
    // A process of the users' platform finds its settings by the environment; all else is a
    // command of the product.
    if std::env::args_os().nth(1).is_some_and(|it| it == "serve") {
        return platform::serve();
    }
    aspenrail::cli::main()
}
