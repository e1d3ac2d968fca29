//! Settings: defaults, the error message of each bad value, and the generated page.
#![allow(clippy::unwrap_used)]

use std::{fs, path::Path};

use aspenrail::config::{parse_settings, settings_page};

const AGENT_SETTINGS: &str = "[process]\nname = a\nroles = agent\nzone = z\n[link]\nlisten = 127.0.0.1:7000\ncontrol = \
                     127.0.0.1:7001, 127.0.0.1:7002\n[agent]\nlisten = 127.0.0.1:7003\nvm = v\nworker = 127.0.0.1:7004\n";

fn problems(text: &str) -> String {
    let found = parse_settings("file.ini", text).unwrap_err();
    found.iter().map(|it| format!("{it}\n")).collect()
}

#[test]
fn sound_settings_take_their_defaults() {
    let settings = parse_settings("file.ini", AGENT_SETTINGS).unwrap();
    let agent = settings.agent.unwrap();
    assert_eq!((agent.heartbeat_ms, agent.cpu_millicores), (1_000, 64_000));
    assert_eq!(settings.link.control.len(), 2);
    assert!(settings.entry.is_none() && settings.control.is_none());
}

#[yare::parameterized(
    unknown_key = { "vm = v", "vm = v\nheartbeat = 5", "[agent] heartbeat: unknown key; did you mean heartbeat_ms?" },
    unit_in_value = { "vm = v", "vm = v\nheartbeat_ms = 5s", "[agent] heartbeat_ms: '5s' is not a whole number in ms without a unit suffix; accepted is 10 to 60000" },
    out_of_range = { "vm = v", "vm = v\nheartbeat_ms = 5", "[agent] heartbeat_ms: 5 is out of range; accepted is 10 to 60000 in ms" },
    negative = { "vm = v", "vm = v\nheartbeat_ms = -5", "'-5' is not a whole number" },
    key_twice = { "vm = v", "vm = v\nvm = w", "[agent] vm: the key is given more than once" },
    missing_key = { "vm = v\n", "", "[agent] vm: the key is missing and has no default" },
    bad_address = { "127.0.0.1:7004", "localhost:7004", "[agent] worker: 'localhost:7004' is not an IP address with port" },
    address_twice = { "listen = 127.0.0.1:7003", "listen = 127.0.0.1:7000", "127.0.0.1:7000 is also the address of [link]" },
    control_twice = { "127.0.0.1:7002", "127.0.0.1:7001", "[link] control: 127.0.0.1:7001 is listed more than once" },
    unknown_role = { "roles = agent", "roles = agent, king", "[process] roles: 'king' is not a role; accepted are entry, agent, control, gateway, node, dispatch" },
    role_without_section = { "roles = agent", "roles = agent, entry", "[entry]: [process] roles names this role but its section is missing" },
    section_without_role = { "[agent]", "[control]\nlisten = 127.0.0.1:7009\ndata_folder = /\noperators_file = /x\n[agent]", "[control]: the section is given but [process] roles does not name this role" },
    unknown_section = { "[agent]", "[agents]\na = 1\n[agent]", "[agents]: unknown section" },
    missing_section = { "[link]\nlisten = 127.0.0.1:7000\ncontrol = 127.0.0.1:7001, 127.0.0.1:7002\n", "", "[link]: the section is missing" },
    log_level = { "zone = z", "zone = z\nlog_level = loud", "'loud' is not a log level" },
    empty_text = { "vm = v", "vm =", "[agent] vm: must not be empty" },
)]
fn wrong_settings_are_refused_by_name(from: &str, to: &str, expected: &str) {
    assert!(AGENT_SETTINGS.contains(from));
    let found = problems(&AGENT_SETTINGS.replacen(from, to, 1));
    assert!(found.contains(expected), "expected: {expected}\nfound: {found}");
    assert!(found.starts_with("file.ini: "));
}

#[yare::parameterized(
    no_folder = { "data_folder = /nowhere/at/all", "[control] data_folder: directory '/nowhere/at/all' does not exist; create it with 'aspenrail init'" },
    short_election = { "data_folder = /\nelection_timeout_ms = 200", "200 is less than three heartbeats of 100 ms" },
    short_lease = { "data_folder = /\nlease_ms = 2000", "2000 is less than three election timeouts of 1000 ms" },
    no_operators = { "data_folder = /", "file '/nowhere' does not exist" },
)]
fn wrong_control_settings_are_refused(lines: &str, expected: &str) {
    let text = format!(
        "[process]\nname = a\nroles = control\nzone = z\n[link]\nlisten = 127.0.0.1:7000\ncontrol = \
         127.0.0.1:7001\n[control]\nlisten = 127.0.0.1:7003\noperators_file = /nowhere\n{lines}\n"
    );
    let found = problems(&text);
    assert!(found.contains(expected), "expected: {expected}\nfound: {found}");
}

/// A request or a message of the largest size that is accepted would never find room.
#[yare::parameterized(
    body = { "requests_max_bytes = 4000000", "", "[process] requests_max_bytes: 4000000 leaves 1000000 bytes to a single body, less than body_max_bytes, which is 1048576" },
    message = { "[link]\nqueue_max_bytes = 16000000", "", "[link] queue_max_bytes: 16000000 leaves 4000000 bytes to a single message, less than frame_max_bytes, which is 4194304" },
    decoded = { "", "calls_max_bytes = 8000000", "[gateway] calls_max_bytes: 8000000 leaves 2000000 bytes to a single request, which may take 2097152 decoded" },
)]
fn totals_that_are_too_small_for_one_request_are_refused(
    process_and_link: &str,
    gateway: &str,
    expected: &str,
) {
    let (process, link) = process_and_link.split_once("[link]").unwrap_or((process_and_link, ""));
    let found = problems(&format!(
        "[process]\nname = a\nroles = gateway\nzone = z\n{process}\n[link]\nlisten = 127.0.0.1:7000\n\
         control = 127.0.0.1:7001\n{link}\n[gateway]\nlisten = 127.0.0.1:7003\n{gateway}\n"
    ));
    assert!(found.contains(expected), "{found}");
}

/// A copy of a submission could arrive after its cancel is forgotten.
#[test]
fn cancels_that_are_remembered_for_too_short_are_refused() {
    let found = problems(
        "[process]\nname = a\nroles = gateway, dispatch\nzone = z\n[link]\nlisten = 127.0.0.1:7000\n\
         control = 127.0.0.1:7001\n[gateway]\nlisten = 127.0.0.1:7003\ngive_up_ms = 3000\n\
         [dispatch]\ndata_folder = /\ntombstone_s = 10\n",
    );
    assert!(found.contains("[dispatch] tombstone_s: 10 s is less than the 11000 ms"), "{found}");
}

#[test]
fn every_problem_is_told_at_once() {
    let text = AGENT_SETTINGS
        .replace("vm = v", "heartbeat_ms = x\nthreads = 0")
        .replace("zone = z", "zone =");
    assert_eq!(problems(&text).lines().count(), 4, "{}", problems(&text));
}

/// `ASPENRAIL_REGENERATE=1 cargo test --test settings` regenerates the page.
#[test]
fn page_matches_the_schema() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("docs/SETTINGS.md");
    if std::env::var_os("ASPENRAIL_REGENERATE").is_some() {
        fs::write(&path, settings_page()).unwrap();
    }
    assert!(
        fs::read_to_string(&path).unwrap() == settings_page(),
        "docs/SETTINGS.md differs from the schema"
    );
}
