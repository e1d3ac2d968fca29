//! Measurements.

use std::path::PathBuf;

use crate::{
    bench,
    cli::{Failure, arguments::Arguments, logs},
};

const HELP: &str = "\
aspenrail bench: measurements on this machine, from small parts of the real system

  capacity [--vms 10,100,680,2000] [--tasks 15000,50000]
      what a control leader costs by VMs and tasks, with fitted slopes
  commits --folder DIR [--commits 2000] [--bytes 200]
      commits a second by batch size on the disk that holds DIR, and recovery by log length
";

pub(super) fn run(mut arguments: Arguments) -> Result<(), Failure> {
    let name = arguments.subcommand()?;
    if arguments.wants_help() || name.is_none() {
        print!("{HELP}");
        return Ok(());
    }
    logs::start("error");
    match name.as_deref() {
        Some("capacity") => {
            let vms: Vec<u32> = arguments.list("--vms")?;
            let tasks: Vec<u32> = arguments.list("--tasks")?;
            arguments.finish()?;
            let vms = if vms.is_empty() { vec![10, 100, 680, 2_000] } else { vms };
            let tasks = if tasks.is_empty() { vec![15_000, 50_000] } else { tasks };
            if vms.contains(&0) {
                return Err(Failure::Usage("--vms: 0 is out of range 1 to 65535".to_owned()));
            }
            bench::capacity::run(&vms, &tasks);
            Ok(())
        }
        Some("commits") => {
            let folder: PathBuf = arguments.required("--folder")?;
            let commits = arguments.optional("--commits")?.unwrap_or(2_000);
            let bytes = arguments.optional("--bytes")?.unwrap_or(200);
            arguments.finish()?;
            bench::commits::run(&folder, commits, bytes)?;
            Ok(())
        }
        other => {
            Err(Failure::Usage(format!("unknown measurement '{}'", other.unwrap_or_default())))
        }
    }
}
