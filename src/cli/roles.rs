//! Running and preparing a process.

use std::path::{Path, PathBuf};

use crate::{
    cli::{Failure, arguments::Arguments, logs},
    config::load_settings,
    control::log::Identity,
    prelude::*,
    runtime::{ExitReason, Process, forward_signals},
    util::Place,
};

const RUN_HELP: &str = "\
aspenrail run FILE: runs the roles that a settings file names

SIGTERM or SIGINT begins a planned stop: nothing new is taken, what is in flight ends, leadership
is handed over; at the latest after process.drain_max_ms the process ends. A second signal ends it
at once. Exit code 4 says that the stop was cut short.
";

const INIT_HELP: &str = "\
aspenrail init FILE: makes the data folder of the control role in a settings file, once

  --member N --founders ID@ADDR,...   a founding member N (above 0) and all founders; the same list
                                      on every founder, with the link addresses
  --join                              a new member of a running group, under a new identity;
                                      add it then with aspenrail member add

A disk that was lost comes back with --join, never under its old number.
";

pub(super) fn run(mut arguments: Arguments) -> Result<(), Failure> {
    if arguments.wants_help() {
        print!("{RUN_HELP}");
        return Ok(());
    }
    let path = PathBuf::from(arguments.word("the settings file")?);
    arguments.finish()?;
    let settings = load_settings(&path).map_err(Failure::Settings)?;
    logs::start(&settings.process.log_level);
    let process = Process::new(settings);
    forward_signals(process.handle())?;
    match process.run()? {
        ExitReason::Drained => Ok(()),
        ExitReason::CutOff => Err(Failure::Told(4)),
        ExitReason::Failed => Err(Failure::Told(1)),
    }
}

pub(super) fn check_config(mut arguments: Arguments) -> Result<(), Failure> {
    if arguments.wants_help() {
        println!("aspenrail check-config FILE: checks a settings file without starting");
        return Ok(());
    }
    let path = PathBuf::from(arguments.word("the settings file")?);
    arguments.finish()?;
    load_settings(&path).map_err(Failure::Settings)?;
    println!("{} is in order", path.display());
    Ok(())
}

pub(super) fn init(mut arguments: Arguments) -> Result<(), Failure> {
    if arguments.wants_help() {
        print!("{INIT_HELP}");
        return Ok(());
    }
    let joins = arguments.flag("--join");
    let member: Option<u64> = arguments.optional("--member")?;
    let founders: Vec<String> = arguments.list("--founders")?;
    let path = PathBuf::from(arguments.word("the settings file")?);
    arguments.finish()?;
    // The folder is what is missing yet, so that alone is no problem here.
    let text = std::fs::read_to_string(&path).unwrap_or_default();
    let folder = ini::Ini::load_from_str(&text)
        .ok()
        .and_then(|it| it.get_from(Some("control"), "data_folder").map(PathBuf::from))
        .ok_or_else(|| {
            Failure::Usage(format!("{} names no control data_folder", path.display()))
        })?;
    let create = |it: &Path| std::fs::create_dir_all(it);
    create(&folder)
        .map_err(|it| Failure::Usage(format!("cannot make {}: {it}", folder.display())))?;
    let settings = load_settings(&path).map_err(Failure::Settings)?;
    let group_id =
        Place { region: settings.process.region as u8, group: settings.process.group as u8 };
    let identity = match (joins, member) {
        (true, None) if founders.is_empty() => Identity {
            member: MemberId(fastrand::u64(1 << 20..1 << 53)),
            group_id,
            founders: Vec::new(),
        },
        (false, Some(member)) if 0 < member => {
            let founders: Result<Vec<_>, _> =
                founders.iter().map(|it| super::operator::parse_member(it)).collect();
            let founders = founders?;
            if !founders.iter().any(|it| it.id.0 == member && it.address == settings.link.listen) {
                let message =
                    format!("--founders does not list member {member} at {}", settings.link.listen);
                return Err(Failure::Usage(message));
            }
            Identity { member: MemberId(member), group_id, founders }
        }
        _ => {
            return Err(Failure::Usage(
                "give either --join, or --member N with --founders".to_owned(),
            ));
        }
    };
    identity.create(&folder)?;
    println!("{} is member {}", folder.display(), identity.member);
    Ok(())
}
