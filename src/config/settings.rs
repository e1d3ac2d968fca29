//! Reading and checking the settings of a process.
//!
//! The schema in `schema/settings.json` is the only list of keys. Their types, units, defaults
//! and ranges are read from it, and the page docs/SETTINGS.md is generated from it.

use std::{collections::BTreeSet, fmt, net::SocketAddr, path::Path};

use ini::Ini;
use serde_json::{Map, Value};

use crate::{
    prelude::*,
    schema::settings::{Role, Settings},
    util::holder_max_bytes,
};

/// Largest ratio of the memory of a large request to the bytes of its body.
const DECODED_RATIO_MAX: usize = 2;

const SCHEMA: &str = include_str!("../../schema/settings.json");

/// One error in a settings file.
#[derive(Clone, Debug, PartialEq)]
pub struct SettingsProblem {
    pub file: CompactString,
    pub section: CompactString,
    pub key: CompactString,
    /// The error, with the bad value and the accepted values.
    pub message: CompactString,
}

impl fmt::Display for SettingsProblem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (self.section.is_empty(), self.key.is_empty()) {
            (true, _) => write!(f, "{}: {}", self.file, self.message),
            (false, true) => write!(f, "{}: [{}]: {}", self.file, self.section, self.message),
            (false, false) => {
                write!(f, "{}: [{}] {}: {}", self.file, self.section, self.key, self.message)
            }
        }
    }
}

/// Reads and checks a settings file.
///
/// # Errors
///
/// Returns all errors of the file, not only the first.
pub fn load_settings(path: &Path) -> Result<Settings, Vec<SettingsProblem>> {
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path)
        .map_err(|it| vec![problem(&file, "", "", &format!("cannot be read: {it}"))])?;
    parse_settings(&file, &text)
}

/// Parses and checks the text of a settings file; `file` is only used in error messages.
///
/// # Errors
///
/// Returns all errors of the file, not only the first.
pub fn parse_settings(file: &str, text: &str) -> Result<Settings, Vec<SettingsProblem>> {
    let ini = Ini::load_from_str(text)
        .map_err(|it| vec![problem(file, "", "", &format!("not a valid INI file: {it}"))])?;
    let schema = Schema::new();
    let mut problems = Vec::new();
    let mut document = Map::new();
    for name in schema.section_names() {
        document.insert(name.clone(), Value::Null);
    }
    let mut seen_sections = BTreeSet::new();
    for (section, properties) in ini.iter() {
        let section = section.unwrap_or("");
        if section.is_empty() && properties.is_empty() {
            continue;
        }
        let Some(keys) = schema.keys_of(section) else {
            let names: Vec<_> = schema.section_names().cloned().collect();
            let message = format!("unknown section; accepted are {}", names.join(", "));
            problems.push(problem(file, section, "", &message));
            continue;
        };
        if !seen_sections.insert(section.to_owned()) {
            problems.push(problem(file, section, "", "the section is given more than once"));
        }
        let mut values = Map::new();
        for (key, text) in properties.iter() {
            match keys.get(key) {
                None => {
                    let nearest = nearest_of(key, keys.keys());
                    let hint =
                        nearest.map(|it| format!("; did you mean {it}?")).unwrap_or_default();
                    problems.push(problem(file, section, key, &format!("unknown key{hint}")));
                }
                Some(_) if values.contains_key(key) => {
                    problems.push(problem(file, section, key, "the key is given more than once"))
                }
                Some(property) => match parse_value(property, text) {
                    Ok(it) => {
                        values.insert(key.to_owned(), it);
                    }
                    Err(message) => problems.push(problem(file, section, key, &message)),
                },
            }
        }
        fill_defaults(file, section, keys, &mut values, &mut problems);
        document.insert(section.to_owned(), Value::Object(values));
    }
    for required in ["process", "link"] {
        if !seen_sections.contains(required) {
            problems.push(problem(file, required, "", "the section is missing"));
        }
    }
    if !problems.is_empty() {
        return Err(problems);
    }
    let settings: Settings = serde_json::from_value(Value::Object(document))
        .map_err(|it| vec![problem(file, "", "", &format!("does not match the schema: {it}"))])?;
    check_consistency(file, &settings)
}

/// Returns the page that documents every key, generated from the schema.
pub fn settings_page() -> String {
    let schema = Schema::new();
    let mut res = String::from(
        "# Settings\n\nMade from `schema/settings.json`; a test holds the two together. A settings file is INI: \
         sections in brackets, `key = value` lines. Times are in milliseconds, sizes in the unit given. A section \
         is needed for each role in `roles`, and `process` and `link` always. `aspenrail check-config FILE` checks \
         a file without starting anything.\n",
    );
    for section in schema.section_names() {
        let definition = schema.definition_of(section);
        let text = definition.and_then(|it| it["description"].as_str()).unwrap_or_default();
        res.push_str(&format!("\n## [{section}]\n\n{text}\n\n"));
        res.push_str(
            "| key | what it is | unit | default | range |\n| --- | --- | --- | --- | --- |\n",
        );
        for (key, property) in schema.keys_of(section).into_iter().flatten() {
            let text = property["description"].as_str().unwrap_or_default();
            let unit = property["x-unit"].as_str().unwrap_or("-");
            let default = match &property["default"] {
                Value::Null => "required".to_owned(),
                Value::String(it) => it.clone(),
                it => it.to_string(),
            };
            res.push_str(&format!(
                "| `{key}` | {text} | {unit} | {default} | {} |\n",
                range_of(property)
            ));
        }
    }
    res
}

struct Schema {
    document: Value,
}

impl Schema {
    fn new() -> Schema {
        Schema { document: serde_json::from_str(SCHEMA).expect("the committed schema is JSON") }
    }

    fn section_names(&self) -> impl Iterator<Item = &String> {
        self.document["definitions"]["Settings"]["properties"]
            .as_object()
            .into_iter()
            .flat_map(Map::keys)
    }

    fn definition_of(&self, section: &str) -> Option<&Value> {
        let property = self.document["definitions"]["Settings"]["properties"].get(section)?;
        let reference = property["$ref"].as_str().or(property["oneOf"][0]["$ref"].as_str())?;
        self.document["definitions"].get(reference.strip_prefix("#/definitions/")?)
    }

    fn keys_of(&self, section: &str) -> Option<&Map<String, Value>> {
        self.definition_of(section)?["properties"].as_object()
    }
}

fn problem(file: &str, section: &str, key: &str, message: &str) -> SettingsProblem {
    SettingsProblem {
        file: file.into(),
        section: section.into(),
        key: key.into(),
        message: message.into(),
    }
}

fn parse_value(property: &Value, text: &str) -> Result<Value, String> {
    let text = text.trim();
    if property["type"] == "integer" {
        return parse_number(property, text);
    }
    if property["type"] == "array" {
        let items: Vec<_> = text.split(',').map(str::trim).filter(|it| !it.is_empty()).collect();
        if items.is_empty() {
            return Err("needs at least one value".to_owned());
        }
        let item_type = property["items"]["$ref"].as_str().unwrap_or_default();
        let checked: Result<Vec<_>, _> = items.iter().map(|it| parse_text(item_type, it)).collect();
        return checked.map(Value::Array);
    }
    parse_text(property["allOf"][0]["$ref"].as_str().unwrap_or_default(), text)
}

fn parse_number(property: &Value, text: &str) -> Result<Value, String> {
    let unit = property["x-unit"].as_str().map(|it| format!(" in {it}")).unwrap_or_default();
    let Ok(number) = text.parse::<u64>() else {
        return Err(format!(
            "'{text}' is not a whole number{unit} without a unit suffix; accepted is {}",
            range_of(property)
        ));
    };
    let min = property["minimum"].as_u64().unwrap_or(0);
    let max = property["maximum"].as_u64().unwrap_or(u64::MAX);
    if number < min || max < number {
        return Err(format!("{number} is out of range; accepted is {}{unit}", range_of(property)));
    }
    Ok(Value::from(number))
}

fn parse_text(reference: &str, text: &str) -> Result<Value, String> {
    match reference {
        "#/definitions/Address" if text.parse::<SocketAddr>().is_err() => {
            Err(format!("'{text}' is not an IP address with port, such as 10.0.0.1:7000"))
        }
        "#/definitions/Role" if text.parse::<Role>().is_err() => Err(format!(
            "'{text}' is not a role; accepted are entry, agent, control, gateway, node, dispatch"
        )),
        "#/definitions/Text" if text.is_empty() => Err("must not be empty".to_owned()),
        _ => Ok(Value::from(text)),
    }
}

fn range_of(property: &Value) -> String {
    match (property["minimum"].as_u64(), property["maximum"].as_u64()) {
        (Some(min), Some(max)) => format!("{min} to {max}"),
        _ => "-".to_owned(),
    }
}

fn fill_defaults(
    file: &str,
    section: &str,
    keys: &Map<String, Value>,
    values: &mut Map<String, Value>,
    problems: &mut Vec<SettingsProblem>,
) {
    for (key, property) in keys {
        if values.contains_key(key) {
            continue;
        }
        match &property["default"] {
            Value::Null if problems.iter().any(|it| it.section == section && it.key == key) => (),
            Value::Null => {
                problems.push(problem(file, section, key, "the key is missing and has no default"))
            }
            it => {
                values.insert(key.clone(), it.clone());
            }
        }
    }
}

/// Returns the known key that shares the most `_`-separated words with `key`, if any shares one.
fn nearest_of<'a>(key: &str, known: impl Iterator<Item = &'a String>) -> Option<&'a String> {
    let shared_words =
        |it: &str| it.split('_').filter(|part| key.split('_').any(|other| other == *part)).count();
    known
        .map(|it| (shared_words(it), it))
        .filter(|(count, _)| 0 < *count)
        .max_by_key(|(count, _)| *count)
        .map(|(_, it)| it)
}

/// Checks the conditions that involve several keys, the log level, files and directories.
fn check_consistency(file: &str, settings: &Settings) -> Result<Settings, Vec<SettingsProblem>> {
    let mut problems = Vec::new();
    let roles = &settings.process.roles;
    let sections = [
        (Role::Entry, "entry", settings.entry.is_some()),
        (Role::Agent, "agent", settings.agent.is_some()),
        (Role::Control, "control", settings.control.is_some()),
        (Role::Gateway, "gateway", settings.gateway.is_some()),
        (Role::Node, "node", settings.node.is_some()),
        (Role::Dispatch, "dispatch", settings.dispatch.is_some()),
    ];
    for (role, section, present) in sections {
        match (roles.contains(&role), present) {
            (true, false) => problems.push(problem(
                file,
                section,
                "",
                "[process] roles names this role but its section is missing",
            )),
            (false, true) => problems.push(problem(
                file,
                section,
                "",
                "the section is given but [process] roles does not name this role",
            )),
            _ => (),
        }
    }
    let mut listen_addresses = vec![("link", settings.link.listen)];
    listen_addresses.extend(settings.entry.as_ref().map(|it| ("entry", it.listen)));
    listen_addresses.extend(settings.agent.as_ref().map(|it| ("agent", it.listen)));
    listen_addresses.extend(settings.control.as_ref().map(|it| ("control", it.listen)));
    listen_addresses.extend(settings.gateway.as_ref().map(|it| ("gateway", it.listen)));
    listen_addresses.extend(settings.node.as_ref().map(|it| ("node", it.listen)));
    for (index, (section, address)) in listen_addresses.iter().enumerate() {
        if let Some((other, _)) =
            listen_addresses[..index].iter().find(|(_, it)| it == address && it.port() != 0)
        {
            let message =
                format!("{address} is also the address of [{other}]; each section needs its own");
            problems.push(problem(file, section, "listen", &message));
        }
    }
    let mut control_addresses = BTreeSet::new();
    for address in &settings.link.control {
        if !control_addresses.insert(*address) {
            problems.push(problem(
                file,
                "link",
                "control",
                &format!("{address} is listed more than once"),
            ));
        }
    }
    if settings.process.log_level.parse::<tracing::Level>().is_err() {
        let message = format!(
            "'{}' is not a log level; accepted are error, warn, info, debug, trace",
            settings.process.log_level
        );
        problems.push(problem(file, "process", "log_level", &message));
    }
    check_totals(file, settings, &mut problems);
    if let Some(control) = &settings.control {
        check_control(file, control, &mut problems);
    }
    if let Some(dispatch) = &settings.dispatch {
        check_dispatch(file, dispatch, &mut problems);
        check_tombstones(file, dispatch, settings.gateway.as_ref(), &mut problems);
    }
    for (section, key, path) in [
        ("entry", "teams_file", settings.entry.as_ref().map(|it| &it.teams_file)),
        ("control", "operators_file", settings.control.as_ref().map(|it| &it.operators_file)),
    ] {
        if let Some(path) = path.filter(|it| !Path::new(it.as_str()).is_file()) {
            problems.push(problem(file, section, key, &format!("file '{path}' does not exist")));
        }
    }
    if problems.is_empty() { Ok(settings.clone()) } else { Err(problems) }
}

/// Checks that a request or a message of the largest size finds room while there is no other.
fn check_totals(file: &str, settings: &Settings, problems: &mut Vec<SettingsProblem>) {
    let entry = settings.entry.as_ref().map(|it| it.body_max_bytes);
    let gateway = settings.gateway.as_ref().map(|it| it.body_max_bytes);
    let body_max_bytes = entry.max(gateway).unwrap_or(0) as usize;
    let total_bytes = settings.process.requests_max_bytes;
    let body_room_bytes = holder_max_bytes(total_bytes as usize);
    if body_room_bytes < body_max_bytes {
        let message = format!(
            "{total_bytes} leaves {body_room_bytes} bytes to a single body, less than body_max_bytes, which is {body_max_bytes}"
        );
        problems.push(problem(file, "process", "requests_max_bytes", &message));
    }
    let link = &settings.link;
    let message_max_bytes = holder_max_bytes(link.queue_max_bytes as usize);
    if message_max_bytes < link.frame_max_bytes as usize {
        let message = format!(
            "{} leaves {message_max_bytes} bytes to a single message, less than frame_max_bytes, which is {}",
            link.queue_max_bytes, link.frame_max_bytes
        );
        problems.push(problem(file, "link", "queue_max_bytes", &message));
    }
    let Some(gateway) = &settings.gateway else { return };
    let request_room_bytes = holder_max_bytes(gateway.calls_max_bytes as usize);
    let decoded_max_bytes = gateway.body_max_bytes as usize * DECODED_RATIO_MAX;
    if request_room_bytes < decoded_max_bytes {
        let message = format!(
            "{} leaves {request_room_bytes} bytes to a single request, which may take {decoded_max_bytes} decoded, by body_max_bytes",
            gateway.calls_max_bytes
        );
        problems.push(problem(file, "gateway", "calls_max_bytes", &message));
    }
}

fn check_dispatch(
    file: &str,
    settings: &crate::schema::settings::DispatchSettings,
    problems: &mut Vec<SettingsProblem>,
) {
    check_election(file, "dispatch", settings.election_timeout_ms, settings.heartbeat_ms, problems);
    if !Path::new(settings.data_folder.as_str()).is_dir() {
        let message = format!("directory '{}' does not exist", settings.data_folder);
        problems.push(problem(file, "dispatch", "data_folder", &message));
    }
}

/// Time for which a copy of a request may wait behind its gateway: in the queue of a link, and
/// unacknowledged in its connection.
const LINK_AGE_MAX_MS: u32 = 8_000;

/// Checks that cancels are remembered for longer than a copy of a submission waits on its way.
fn check_tombstones(
    file: &str,
    dispatch: &crate::schema::settings::DispatchSettings,
    gateway: Option<&crate::schema::settings::GatewaySettings>,
    problems: &mut Vec<SettingsProblem>,
) {
    let Some(gateway) = gateway else { return };
    let age_max_ms = gateway.give_up_ms + LINK_AGE_MAX_MS;
    if dispatch.tombstone_s * 1_000 < age_max_ms {
        let message = format!(
            "{} s is less than the {age_max_ms} ms for which a request may be under way, by give_up_ms: a submission that was cancelled could be accepted",
            dispatch.tombstone_s
        );
        problems.push(problem(file, "dispatch", "tombstone_s", &message));
    }
}

fn check_election(
    file: &str,
    section: &str,
    election_timeout_ms: u32,
    heartbeat_ms: u32,
    problems: &mut Vec<SettingsProblem>,
) {
    if election_timeout_ms < heartbeat_ms * 3 {
        let message = format!(
            "{election_timeout_ms} is less than three heartbeats of {heartbeat_ms} ms: a single lost heartbeat would depose the leader"
        );
        problems.push(problem(file, section, "election_timeout_ms", &message));
    }
}

fn check_control(
    file: &str,
    settings: &crate::schema::settings::ControlSettings,
    problems: &mut Vec<SettingsProblem>,
) {
    check_election(file, "control", settings.election_timeout_ms, settings.heartbeat_ms, problems);
    if settings.lease_ms < settings.election_timeout_ms * 3 {
        let message = format!(
            "{} is less than three election timeouts of {} ms: agents would lose their leases at a change of leader",
            settings.lease_ms, settings.election_timeout_ms
        );
        problems.push(problem(file, "control", "lease_ms", &message));
    }
    if !Path::new(settings.data_folder.as_str()).is_dir() {
        let message = format!(
            "directory '{}' does not exist; create it with 'aspenrail init'",
            settings.data_folder
        );
        problems.push(problem(file, "control", "data_folder", &message));
    }
}
