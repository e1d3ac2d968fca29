//! Commands that run a process, check its settings or create its data folder.

use std::path::{Path, PathBuf};

use crate::{
    cli::{Failure, arguments::Arguments, logs},
    config::load_settings,
    control::log::Identity,
    prelude::*,
    runtime::{ExitReason, Process, forward_signals},
    util::GroupId,
};

const RUN_HELP: &str = "\
aspenrail run FILE: runs the roles of a settings file

SIGTERM or SIGINT starts a planned stop: no new work is accepted, work in flight is finished, and
leadership is transferred. The process exits after process.drain_max_ms at the latest; a second
signal makes it exit at once. Exit code 4 means that the stop was cut short.
";

const INIT_HELP: &str = "\
aspenrail init FILE: creates the data folder of the control role of a settings file, once

  --member N --founders ID@ADDR,...   a founding member N (above 0) and all founders with their link
                                      addresses; the list must be the same on every founder
  --join                              a new member of a running group, with a new identity; add it
                                      with aspenrail member add afterwards

A member that lost its disk must return with --join, never under its old number.
";

pub(super) fn run(mut arguments: Arguments) -> Result<(), Failure> {
    if arguments.wants_help() {
        print!("{RUN_HELP}");
        return Ok(());
    }
    let path = PathBuf::from(arguments.positional("the settings file")?);
    arguments.finish()?;
    let settings = load_settings(&path).map_err(Failure::Settings)?;
    logs::start(&settings.process.log_level);
    let process = Process::new(settings);
    forward_signals(process.handle())?;
    match process.run()? {
        ExitReason::Drained => Ok(()),
        ExitReason::CutOff => Err(Failure::Reported(4)),
        ExitReason::Failed => Err(Failure::Reported(1)),
    }
}

pub(super) fn check_config(mut arguments: Arguments) -> Result<(), Failure> {
    if arguments.wants_help() {
        println!("aspenrail check-config FILE: checks a settings file without starting");
        return Ok(());
    }
    let path = PathBuf::from(arguments.positional("the settings file")?);
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
    let is_joining = arguments.flag("--join");
    let member: Option<u64> = arguments.optional("--member")?;
    let founders: Vec<String> = arguments.list("--founders")?;
    let path = PathBuf::from(arguments.positional("the settings file")?);
    arguments.finish()?;
    // The check of the settings requires an existing data folder, so the folder is created first.
    let unusable = |why: String| Failure::Usage(format!("{}: {why}", path.display()));
    let text = std::fs::read_to_string(&path).map_err(|it| unusable(it.to_string()))?;
    let ini = ini::Ini::load_from_str(&text).map_err(|it| unusable(it.to_string()))?;
    let folder = ini
        .get_from(Some("control"), "data_folder")
        .map(PathBuf::from)
        .ok_or_else(|| unusable("section [control] sets no data_folder".to_owned()))?;
    let create = |it: &Path| std::fs::create_dir_all(it);
    create(&folder)
        .map_err(|it| Failure::Usage(format!("cannot create {}: {it}", folder.display())))?;
    let settings = load_settings(&path).map_err(Failure::Settings)?;
    let group_id =
        GroupId { region: settings.process.region as u8, group: settings.process.group as u8 };
    let identity = match (is_joining, member) {
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
                let message = format!(
                    "--founders does not contain member {member} at {}",
                    settings.link.listen
                );
                return Err(Failure::Usage(message));
            }
            Identity { member: MemberId(member), group_id, founders }
        }
        _ => {
            return Err(Failure::Usage(
                "expected either --join, or --member N (above 0) with --founders".to_owned(),
            ));
        }
    };
    identity.create(&folder)?;
    println!("{} is member {}", folder.display(), identity.member);
    Ok(())
}
