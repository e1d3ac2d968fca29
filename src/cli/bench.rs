//! Benchmark commands.

use std::path::PathBuf;

use crate::{
    bench,
    cli::{Failure, arguments::Arguments, dev, logs},
    standin::{
        layout::{Counts, Layout, TEAM_TOKEN},
        load::{LoadOptions, run_load},
    },
};

const HELP: &str = "\
aspenrail bench: benchmarks of parts of the system on this machine

  capacity [--vms 10,100,680,2000] [--tasks 15000,50000]
      cost of a control leader by VMs and tasks, with fitted slopes
  commits --folder DIR [--commits 2000] [--bytes 200]
      commits per second by batch size on the disk of DIR, and recovery time by log length
  batch [--seeds 5] [--seconds 3600] [--only VARIANT]
      effect of each scheduling option on batch work, in virtual time
  dispatch [--workers 30,100,300,1000,2000] [--waiting 100,1000,20000]
      cost of the workflow leader for each report and each plan, by workers and by tasks that
      wait for capacity
  quick [--seconds 5]
      quick requests through one entry compared with direct calls of the same endpoints, then with
      one slow, one failing and one leaving endpoint
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
        Some("batch") => {
            let seeds: u64 = arguments.optional("--seeds")?.unwrap_or(5);
            let seconds = arguments.optional("--seconds")?.unwrap_or(3_600);
            let only: Option<String> = arguments.optional("--only")?;
            arguments.finish()?;
            if seeds == 0 {
                return Err(Failure::Usage(
                    "--seeds: 0 is out of range, the minimum is 1".to_owned(),
                ));
            }
            bench::batch::run(seeds, seconds, only.as_deref());
            Ok(())
        }
        Some("dispatch") => {
            let workers: Vec<u64> = arguments.list("--workers")?;
            let waiting: Vec<u32> = arguments.list("--waiting")?;
            arguments.finish()?;
            let workers =
                if workers.is_empty() { vec![30, 100, 300, 1_000, 2_000] } else { workers };
            let waiting = if waiting.is_empty() { vec![100, 1_000, 20_000] } else { waiting };
            if workers.iter().any(|it| !(1..=60_000).contains(it)) {
                return Err(Failure::Usage(
                    "--workers: each value must be in the range 1 to 60000".to_owned(),
                ));
            }
            bench::dispatch::run(&workers, &waiting);
            Ok(())
        }
        Some("quick") => {
            let seconds = arguments.optional("--seconds")?.unwrap_or(5);
            arguments.finish()?;
            quick(seconds)
        }
        other => Err(Failure::Usage(format!("unknown benchmark '{}'", other.unwrap_or_default()))),
    }
}

/// Measures quick requests in an installation whose processes are threads, on loopback.
fn quick(seconds: u64) -> Result<(), Failure> {
    let unique_name = format!("aspenrail-bench-{}-{:x}", std::process::id(), fastrand::u32(..));
    let folder = std::env::temp_dir().join(unique_name);
    let layout = Layout::create(&folder, Counts { controls: 1, entries: 1, agents: 4 }, "")?;
    let running = dev::start_all(&layout)?;
    dev::prepare(&layout)?;
    let via_entry = LoadOptions {
        targets: layout.callers.clone(),
        token: TEAM_TOKEN.into(),
        class: "quick".into(),
        callers: 8,
        rate: 400,
        seconds,
        deadline_ms: 1_000,
        direct: false,
        idempotent: true,
    };
    let executors = layout.vms.iter().map(|it| it.executor).collect();
    let direct = LoadOptions { targets: executors, direct: true, ..via_entry.clone() };
    let unbounded = LoadOptions { rate: 0, callers: 32, ..via_entry.clone() };
    let print = |name: &str, load: &LoadOptions| println!("{name}: {}", run_load(load).to_json());
    print("direct, 400 a second", &direct);
    print("through the entry, 400 a second", &via_entry);
    print(
        "direct, as fast as answered by 32 callers",
        &LoadOptions { rate: 0, callers: 32, ..direct.clone() },
    );
    print("through the entry, as fast as answered by 32 callers", &unbounded);
    running.executors[0].set_work_ms(40);
    print("one endpoint of four twenty times slower", &via_entry);
    running.executors[0].set_work_ms(2);
    // The first and the fourth endpoint are in the entry's zone; the others are in other zones.
    running.executors[3].set_fail_permille(1_000);
    print("one endpoint of four failing", &via_entry);
    running.executors[3].set_fail_permille(0);
    running.executors[0].leave();
    print("one endpoint of four leaving", &via_entry);
    running.stop();
    // Files left in the temporary folder are harmless.
    let _ = std::fs::remove_dir_all(&folder);
    Ok(())
}
