//! Measurements.

use crate::cli::{Failure, arguments::Arguments};

const HELP: &str = "\
aspenrail bench: measurements
";

pub(super) fn run(mut arguments: Arguments) -> Result<(), Failure> {
    if arguments.wants_help() {
        print!("{HELP}");
        return Ok(());
    }
    let name = arguments.word("the measurement")?;
    Err(Failure::Usage(format!("unknown measurement '{name}'")))
}
