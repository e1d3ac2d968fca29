//! Commands of the simulated workers, endpoints and callers.

use std::{net::SocketAddr, path::PathBuf, thread};

use crate::{
    cli::{Failure, arguments::Arguments, logs},
    prelude::*,
    standin::{
        executor::{ExecutorOptions, start_executor},
        layout::{Counts, Layout},
        load::{LoadOptions, run_load},
        worker::start_worker,
        worker_model::WorkerModel,
    },
};

const HELP: &str = "\
aspenrail stand-in: simulated workers, endpoints and callers for local tests, on loopback

  layout --folder DIR [--controls 3] [--entries 2] [--agents 6]
      writes the settings of an installation and prints its addresses
  worker --listen ADDR [--cpu-millicores 64000] [--memory-mib 250000] [--broken]
  executor --listen ADDR --agent ADDR --class NAME [--slots 8] [--connections 60] [--work-ms 2]
      [--fail-permille 0]       on SIGTERM, leaves its agent before it exits
  load --targets ADDR,... --token TOKEN --class NAME [--callers 8] [--rate 0] [--seconds 5]
      [--deadline-ms 1000] [--direct] [--not-idempotent]
";

pub(super) fn run(mut arguments: Arguments) -> Result<(), Failure> {
    let command = arguments.subcommand()?;
    if arguments.wants_help() || command.is_none() {
        print!("{HELP}");
        return Ok(());
    }
    match command.as_deref() {
        Some("layout") => layout(arguments),
        Some("worker") => worker(arguments),
        Some("executor") => executor(arguments),
        Some("load") => load(arguments),
        other => Err(Failure::Usage(format!("unknown stand-in '{}'", other.unwrap_or_default()))),
    }
}

fn layout(mut arguments: Arguments) -> Result<(), Failure> {
    let folder: PathBuf = arguments.required("--folder")?;
    let counts = Counts {
        controls: arguments.optional("--controls")?.unwrap_or(3),
        entries: arguments.optional("--entries")?.unwrap_or(2),
        agents: arguments.optional("--agents")?.unwrap_or(6),
    };
    arguments.finish()?;
    let layout = Layout::create(&folder, counts, "")?;
    let vms: Vec<_> = layout
        .vms
        .iter()
        .map(|it| serde_json::json!({"local": it.local, "worker": it.worker, "executor": it.executor}))
        .collect();
    let document = serde_json::json!({
        "control_files": layout.control_files, "entry_files": layout.entry_files, "agent_files": layout.agent_files,
        "admins": layout.admins, "callers": layout.callers, "vms": vms,
    });
    println!("{document:#}");
    Ok(())
}

fn worker(mut arguments: Arguments) -> Result<(), Failure> {
    let listen: SocketAddr = arguments.required("--listen")?;
    let capacity = Resources {
        cpu_millicores: arguments.optional("--cpu-millicores")?.unwrap_or(64_000),
        memory_mib: arguments.optional("--memory-mib")?.unwrap_or(250_000),
        accelerators: arguments.optional("--accelerators")?.unwrap_or(0),
    };
    let mut model = WorkerModel::new(capacity);
    model.broken = arguments.flag("--broken");
    arguments.finish()?;
    logs::start("info");
    start_worker(listen, model)?;
    wait_for_signal(|| ())
}

fn executor(mut arguments: Arguments) -> Result<(), Failure> {
    let options = ExecutorOptions {
        listen: arguments.required("--listen")?,
        agent: arguments.required("--agent")?,
        class: arguments.required("--class")?,
        slots: arguments.optional("--slots")?.unwrap_or(8),
        connections: arguments.optional("--connections")?.unwrap_or(60),
        work_ms: arguments.optional("--work-ms")?.unwrap_or(2),
        fail_permille: arguments.optional("--fail-permille")?.unwrap_or(0),
    };
    arguments.finish()?;
    logs::start("info");
    let executor = start_executor(options)?;
    wait_for_signal(|| {
        executor.leave();
        // Long enough for the announcing thread to notify its agent and for requests in flight.
        thread::sleep(std::time::Duration::from_millis(2_500));
    })
}

fn load(mut arguments: Arguments) -> Result<(), Failure> {
    let options = LoadOptions {
        targets: arguments.list("--targets")?,
        token: arguments.optional("--token")?.unwrap_or_default(),
        class: arguments.required("--class")?,
        callers: arguments.optional("--callers")?.unwrap_or(8),
        rate: arguments.optional("--rate")?.unwrap_or(0),
        seconds: arguments.optional("--seconds")?.unwrap_or(5),
        deadline_ms: arguments.optional("--deadline-ms")?.unwrap_or(1_000),
        direct: arguments.flag("--direct"),
        idempotent: !arguments.flag("--not-idempotent"),
    };
    arguments.finish()?;
    if options.targets.is_empty() {
        return Err(Failure::Usage("--targets is missing".to_owned()));
    }
    println!("{:#}", run_load(&options).to_json());
    Ok(())
}

fn wait_for_signal(before_exit: impl FnOnce()) -> Result<(), Failure> {
    let signals = signal_hook::iterator::Signals::new([
        signal_hook::consts::SIGTERM,
        signal_hook::consts::SIGINT,
    ]);
    let mut signals =
        signals.map_err(|it| Failure::Usage(format!("cannot handle signals: {it}")))?;
    signals.forever().next();
    before_exit();
    Ok(())
}
