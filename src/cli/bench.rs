//! Measurements.

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
aspenrail bench: measurements on this machine, from small parts of the real system

  capacity [--vms 10,100,680,2000] [--tasks 15000,50000]
      what a control leader costs by VMs and tasks, with fitted slopes
  commits --folder DIR [--commits 2000] [--bytes 200]
      commits a second by batch size on the disk that holds DIR, and recovery by log length
  batch [--seeds 5] [--seconds 3600] [--only VARIANT]
      what each decision about batch work earns, in virtual time
  dispatch [--workers 30,100,300,1000,2000] [--waiting 100,1000,20000]
      what the leader of workflows costs for each report and each plan, by workers and by tasks
      that wait for room
  quick [--seconds 5]
      quick requests through one entry beside direct calls of the same endpoints, then with one
      slow, one failing and one leaving endpoint
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
                    "--seeds: 0 is out of range, 1 is the least".to_owned(),
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
                return Err(Failure::Usage("--workers: each is 1 to 60000".to_owned()));
            }
            bench::dispatch::run(&workers, &waiting);
            Ok(())
        }
        Some("quick") => {
            let seconds = arguments.optional("--seconds")?.unwrap_or(5);
            arguments.finish()?;
            quick(seconds)
        }
        other => {
            Err(Failure::Usage(format!("unknown measurement '{}'", other.unwrap_or_default())))
        }
    }
}

/// Measures quick requests in an installation of threads on loopback.
fn quick(seconds: u64) -> Result<(), Failure> {
    let unique = format!("aspenrail-bench-{}-{:x}", std::process::id(), fastrand::u32(..));
    let folder = std::env::temp_dir().join(unique);
    let layout = Layout::create(&folder, Counts { controls: 1, entries: 1, agents: 4 }, "")?;
    let running = dev::start_all(&layout)?;
    dev::prepare(&layout)?;
    let through = LoadOptions {
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
    let direct = LoadOptions { targets: executors, direct: true, ..through.clone() };
    let unbounded = LoadOptions { rate: 0, callers: 32, ..through.clone() };
    let print = |name: &str, load: &LoadOptions| println!("{name}: {}", run_load(load).to_json());
    print("direct, 400 a second", &direct);
    print("through the entry, 400 a second", &through);
    print(
        "direct, as fast as answered by 32 callers",
        &LoadOptions { rate: 0, callers: 32, ..direct.clone() },
    );
    print("through the entry, as fast as answered by 32 callers", &unbounded);
    running.executors[0].set_work_ms(40);
    print("one endpoint of four twenty times slower", &through);
    running.executors[0].set_work_ms(2);
    // The entry's own zone holds the first and the fourth; the others are a hop away.
    running.executors[3].set_fail_permille(1_000);
    print("one endpoint of four failing", &through);
    running.executors[3].set_fail_permille(0);
    running.executors[0].leave();
    print("one endpoint of four leaving", &through);
    running.stop();
    // What stays behind in the temporary folder does no harm.
    let _ = std::fs::remove_dir_all(&folder);
    Ok(())
}
