//! Operator commands: a client of the administration API.

use std::{net::SocketAddr, path::PathBuf};

use serde_json::{Value, json};

use crate::{
    cli::{Failure, arguments::Arguments, waiting::waiting_tables},
    http::client::new_client,
    prelude::*,
    util::Clock,
};

const HELP: &str = "\
Operator commands take --control ADDR[,ADDR...] (administration addresses; one that does not answer
is skipped), --token-file FILE (its first line is the token; the default is the environment variable
ASPENRAIL_TOKEN) and --json.

  aspenrail status
  aspenrail show VIEW         configuration, history, teams, classes, vms, endpoints, jobs, leases,
                              members, queue, dead_letters, evacuations
  aspenrail configure --based-on N --key K --change JSON
                              CHANGE is {\"PutTeam\":{...}}, {\"PutClass\":{...}},
                              {\"DeleteTeam\":NAME} or {\"DeleteClass\":NAME}; N is the revision that
                              you read; a retry with the same key gets the first answer
  aspenrail member add ID@ADDR | promote ID | remove ID
  aspenrail drain VM [--undo]
  aspenrail evacuate ZONE [--undo]
                              starts no new work in the availability zone; --undo reverts this;
                              show evacuations lists the evacuated zones, with operator and time
  aspenrail waiting           who waits for capacity, since when and why, when the work is forecast
                              to end, and who was rejected; for workflows: ADDR is the listener of
                              a gateway for operators
";

/// A client of the administration API.
pub(super) struct Operator {
    controls: Vec<SocketAddr>,
    token: String,
}

pub(super) fn run(command: &str, mut arguments: Arguments) -> Result<(), Failure> {
    if arguments.wants_help() {
        print!("{HELP}");
        return Ok(());
    }
    let as_json = arguments.flag("--json");
    let operator = Operator::from_arguments(&mut arguments)?;
    let answer = match command {
        "waiting" => {
            arguments.finish()?;
            let answer = operator.get("waiting")?;
            if !as_json {
                let report: WaitingReport = serde_json::from_value(answer).map_err(|it| {
                    Failure::Usage(format!("--control: no report of waiting work: {it}"))
                })?;
                print!("{}", waiting_tables(&report, Clock.now().wall_ms));
                return Ok(());
            }
            answer
        }
        "status" => {
            arguments.finish()?;
            let answer = operator.get("status")?;
            if !as_json {
                print!("{}", status_table(&answer));
                return Ok(());
            }
            answer
        }
        "show" => {
            let view = arguments.positional("the view")?;
            arguments.finish()?;
            operator.get(&view)?
        }
        "configure" => {
            let based_on: u64 = arguments.required("--based-on")?;
            let key: String = arguments.required("--key")?;
            let change: String = arguments.required("--change")?;
            arguments.finish()?;
            let change: Value = serde_json::from_str(&change)
                .map_err(|it| Failure::Usage(format!("--change is not valid JSON: {it}")))?;
            operator.post(
                "configuration",
                &json!({"based_on": based_on, "key": key, "change": change}),
            )?
        }
        "member" => {
            let change = member_change(&mut arguments)?;
            arguments.finish()?;
            operator.post("members", &json!(change))?
        }
        "evacuate" => {
            let undo = arguments.flag("--undo");
            let zone = arguments.positional("the availability zone")?;
            arguments.finish()?;
            let current = operator.get("evacuations")?;
            let body = json!({"zone": zone, "evacuated": !undo, "based_on": current["revision"]});
            operator.post("evacuations", &body)?
        }
        _ => {
            let undo = arguments.flag("--undo");
            let vm_name = arguments.positional("the VM")?;
            arguments.finish()?;
            operator.post("drain", &json!({"vm_name": vm_name, "draining": !undo}))?
        }
    };
    match as_json {
        true => println!("{answer}"),
        false => println!("{answer:#}"),
    }
    Ok(())
}

impl Operator {
    pub(super) fn new(controls: Vec<SocketAddr>, token: &str) -> Operator {
        Operator { controls, token: token.to_owned() }
    }

    fn from_arguments(arguments: &mut Arguments) -> Result<Operator, Failure> {
        let controls = arguments.list("--control")?;
        if controls.is_empty() {
            return Err(arguments.missing("--control"));
        }
        let token = match arguments.optional::<PathBuf>("--token-file")? {
            Some(path) => {
                let text = std::fs::read_to_string(&path);
                let text = text.map_err(|it| {
                    Failure::Usage(format!("--token-file {}: {it}", path.display()))
                })?;
                text.lines().next().unwrap_or_default().trim().to_owned()
            }
            None => std::env::var("ASPENRAIL_TOKEN").map_err(|_| {
                Failure::Usage("--token-file is missing, and ASPENRAIL_TOKEN is not set".to_owned())
            })?,
        };
        Ok(Operator { controls, token })
    }

    /// Returns a view.
    pub(super) fn get(&self, view: &str) -> Result<Value, Failure> {
        self.call(|client, control| {
            let request = client.get(format!("http://{control}/v1/admin/{view}"));
            request.header("Authorization", format!("Bearer {}", self.token)).call()
        })
    }

    /// Posts a change.
    pub(super) fn post(&self, path: &str, body: &Value) -> Result<Value, Failure> {
        self.call(|client, control| {
            let request = client.post(format!("http://{control}/v1/admin/{path}"));
            request.header("Authorization", format!("Bearer {}", self.token)).send(body.to_string())
        })
    }

    fn call(
        &self,
        send: impl Fn(&ureq::Agent, SocketAddr) -> Result<ureq::http::Response<ureq::Body>, ureq::Error>,
    ) -> Result<Value, Failure> {
        let client = new_client(1);
        let mut last_error = String::new();
        for control in &self.controls {
            // A retry at another address is safe: changes carry an idempotency key or set a state.
            let mut response = match send(&client, *control) {
                Ok(it) => it,
                Err(error) => {
                    last_error = format!("{control}: {error}");
                    continue;
                }
            };
            let text = response.body_mut().read_to_string().unwrap_or_default();
            let document: Value = serde_json::from_str(&text).unwrap_or(Value::String(text));
            if response.status().is_success() {
                return Ok(document);
            }
            if response.status() == 503 {
                last_error = format!("{control}: {document}");
                continue;
            }
            eprintln!("aspenrail: {}", document["detail"].as_str().unwrap_or("refused"));
            println!("{document}");
            return Err(Failure::Reported(1));
        }
        Err(Error::report(
            ErrorKind::ControlUnavailable,
            format!("no control process answered; last error: {last_error}"),
        )
        .into())
    }
}

/// Parses `ID@ADDRESS`.
pub(super) fn parse_member(text: &str) -> Result<Member, Failure> {
    let invalid =
        || Failure::Usage(format!("'{text}': expected ID@ADDRESS, such as 4@10.0.0.4:7000"));
    let (id, address) = text.split_once('@').ok_or_else(invalid)?;
    Ok(Member {
        id: MemberId(id.parse().map_err(|_| invalid())?),
        address: address.parse().map_err(|_| invalid())?,
    })
}

fn member_change(arguments: &mut Arguments) -> Result<MemberChange, Failure> {
    let action = arguments.positional("add, promote or remove")?;
    let member = arguments.positional("the member")?;
    let id = || {
        let id = member.parse().map(MemberId);
        id.map_err(|_| Failure::Usage(format!("'{member}': expected the number of a member")))
    };
    match action.as_str() {
        "add" => Ok(MemberChange::Add(parse_member(&member)?)),
        "promote" => Ok(MemberChange::Promote(id()?)),
        "remove" => Ok(MemberChange::Remove(id()?)),
        other => Err(Failure::Usage(format!("'{other}': expected add, promote or remove"))),
    }
}

/// Formats the status as tables.
fn status_table(status: &Value) -> String {
    let mut res = format!(
        "accepted revision {}   leader {}   term {}   committed {}   snapshot at {}\njobs {}   tasks {}   claims {}   \
         watches {}\n",
        status["accepted_revision"],
        status["leader"],
        status["term"],
        status["committed_index"],
        status["snapshot_index"],
        status["jobs"],
        status["tasks"],
        status["claims"],
        status["watches"]
    );
    let sections = [
        (
            "MEMBERS",
            "members",
            &["member", "address", "role", "leads", "match_index", "silent_ms", "in_force"][..],
        ),
        ("ENTRIES", "entries", &["name", "zone", "address", "in_force", "silent_ms"]),
        (
            "VMS",
            "vms",
            &[
                "name",
                "zone",
                "rack",
                "tasks",
                "session",
                "draining",
                "quarantined",
                "closed_to_batch",
                "in_force",
                "lease_left_ms",
            ],
        ),
        ("QUEUE", "queue", &["team", "waiting", "by_class", "quota_used_permille", "jobs_open"]),
        (
            "CLASSES",
            "classes",
            &["class", "kind", "answer_target_ms", "answer_measured_ms", "answers"],
        ),
    ];
    for (title, key, columns) in sections {
        res.push_str(&table(title, status[key].as_array().map_or(&[], Vec::as_slice), columns));
    }
    res
}

pub(super) fn table(title: &str, rows: &[Value], columns: &[&str]) -> String {
    let cell = |row: &Value, column: &str| match &row[column] {
        Value::Null => "-".to_owned(),
        Value::String(it) => it.clone(),
        it => it.to_string(),
    };
    let width = |column: &str| {
        let widest = rows.iter().map(|row| cell(row, column).len()).max().unwrap_or(0);
        widest.max(column.len())
    };
    let widths: Vec<_> = columns.iter().map(|it| width(it)).collect();
    let line = |cells: Vec<String>| {
        let padded: Vec<_> =
            cells.iter().zip(&widths).map(|(it, width)| format!("{it:<width$}")).collect();
        format!("  {}\n", padded.join("  ").trim_end())
    };
    let mut res =
        format!("\n{title}\n{}", line(columns.iter().map(|it| (*it).to_owned()).collect()));
    for row in rows {
        res.push_str(&line(columns.iter().map(|it| cell(row, it)).collect()));
    }
    res
}
