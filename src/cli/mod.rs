//! The command line.
//!
//! Exit codes: 0 success; 1 refused or failed; 2 invalid command line; 3 invalid settings; 4 a
//! planned stop exceeded its time limit or was cut short.

mod arguments;
mod bench;
mod dev;
pub mod logs;
mod operator;
mod roles;
mod standin;
mod waiting;

use std::process::ExitCode;

use crate::prelude::*;

use self::arguments::Arguments;

const HELP: &str = "\
aspenrail: a scheduler that colocates latency-critical and batch work on one set of VMs

USAGE
  aspenrail run FILE                        run the roles of a settings file
  aspenrail check-config FILE               check a settings file without starting
  aspenrail init FILE [--member N --founders ID@ADDR,...] [--join]
                                            create the data folder of a control member, once
  aspenrail settings-page                   print the reference page of all settings
  aspenrail dev [--stay] [--folder DIR]     demonstrate all roles on this machine

OPERATOR COMMANDS (each takes --control ADDR[,ADDR...], --token-file FILE and --json)
  aspenrail status                          members, revisions, VMs, queue, targets
  aspenrail show VIEW                       configuration, history, teams, classes, vms,
                                            endpoints, jobs, leases, members, queue, dead_letters
  aspenrail configure --based-on N --key K --change JSON
  aspenrail member add ID@ADDR | promote ID | remove ID
  aspenrail drain VM [--undo]
  aspenrail evacuate ZONE [--undo]

LOCAL TESTS AND BENCHMARKS
  aspenrail stand-in layout|worker|executor|load [--help]
  aspenrail bench NAME                      benchmarks; aspenrail bench --help lists them

Each command takes --help. Exit codes: 0 success, 1 refused or failed, 2 invalid command
line, 3 invalid settings, 4 a planned stop was cut short.
";

/// Why a command ended without success.
pub(crate) enum Failure {
    /// The command line is invalid.
    Usage(String),
    /// The settings are invalid.
    Settings(Vec<crate::config::SettingsProblem>),
    Failed(error_stack::Report<Error>),
    /// The error has already been printed or logged; carries the exit code.
    Reported(u8),
}

impl From<error_stack::Report<Error>> for Failure {
    fn from(report: error_stack::Report<Error>) -> Failure {
        Failure::Failed(report)
    }
}

/// Runs the command line of this process.
pub fn main() -> ExitCode {
    error_stack::Report::set_color_mode(error_stack::fmt::ColorMode::None);
    let arguments = Arguments::from_env();
    match dispatch(arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(Failure::Usage(message)) => {
            eprintln!("aspenrail: {message}\nTry aspenrail --help.");
            ExitCode::from(2)
        }
        Err(Failure::Settings(problems)) => {
            problems.iter().for_each(|it| eprintln!("aspenrail: {it}"));
            ExitCode::from(3)
        }
        Err(Failure::Failed(report)) => {
            eprintln!("aspenrail: {report:?}");
            ExitCode::FAILURE
        }
        Err(Failure::Reported(code)) => ExitCode::from(code),
    }
}

fn dispatch(mut arguments: Arguments) -> Result<(), Failure> {
    let Some(command) = arguments.subcommand()? else {
        // Without a command, only `--help` is valid.
        if arguments.wants_help() {
            print!("{HELP}");
            return Ok(());
        }
        return Err(Failure::Usage("no command given".to_owned()));
    };
    match command.as_str() {
        "run" => roles::run(arguments),
        "check-config" => roles::check_config(arguments),
        "init" => roles::init(arguments),
        "settings-page" => {
            if arguments.wants_help() {
                println!("aspenrail settings-page: prints the reference page of all settings");
                return Ok(());
            }
            arguments.finish()?;
            print!("{}", crate::config::settings_page());
            Ok(())
        }
        "dev" => dev::run(arguments),
        "status" | "show" | "configure" | "member" | "drain" | "evacuate" | "waiting" => {
            operator::run(&command, arguments)
        }
        "stand-in" => standin::run(arguments),
        "bench" => bench::run(arguments),
        "help" => {
            print!("{HELP}");
            Ok(())
        }
        other => Err(Failure::Usage(format!("unknown command '{other}'"))),
    }
}
