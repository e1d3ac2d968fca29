//! The one binary of aspenrail.

use std::process::ExitCode;

fn main() -> ExitCode {
    aspenrail::cli::main()
}
