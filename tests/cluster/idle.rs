//! What idle processes cost.

use std::{path::PathBuf, thread, time::Duration};

use aspenrail::{http::client::new_client, standin::layout::Counts};

use crate::harness::Cluster;

/// What idle processes cost; prints processor time, memory and bytes a second by role.
#[test]
#[ignore = "measures for a minute: run it by hand, with --release and --nocapture"]
fn idle_costs() {
    let cluster = Cluster::start(Counts { controls: 3, entries: 2, agents: 6 });
    thread::sleep(Duration::from_secs(5));
    let roles = [
        ("control", &cluster.layout.control_files, &cluster.layout.admins),
        ("entry", &cluster.layout.entry_files, &cluster.layout.callers),
    ];
    let locals: Vec<_> = cluster.layout.vms.iter().map(|it| it.local).collect();
    let all: Vec<_> =
        roles.into_iter().chain([("agent", &cluster.layout.agent_files, &locals)]).collect();
    let read = |file: &PathBuf, edge: std::net::SocketAddr| {
        let pid = cluster.processes[file].id();
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap();
        let fields: Vec<_> = stat.rsplit(')').next().unwrap().split_whitespace().collect();
        let ticks: u64 = fields[11].parse::<u64>().unwrap() + fields[12].parse::<u64>().unwrap();
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap();
        let line =
            status.lines().find_map(|it| it.strip_prefix("VmRSS:")).unwrap().trim().to_owned();
        let sent = metric(edge, "aspenrail_link_sent_bytes_total");
        let received = metric(edge, "aspenrail_link_received_bytes_total");
        (ticks, line, sent + received)
    };
    let seconds = 40;
    let before: Vec<_> = all
        .iter()
        .map(|(_, files, edges)| {
            files.iter().zip(*edges).map(|(f, e)| read(f, *e)).collect::<Vec<_>>()
        })
        .collect();
    thread::sleep(Duration::from_secs(seconds));
    for ((role, files, edges), before) in all.iter().zip(&before) {
        for ((file, edge), (ticks, _, bytes)) in files.iter().zip(*edges).zip(before) {
            let (ticks_after, resident, bytes_after) = read(file, *edge);
            let core_percent = (ticks_after - ticks) as f64 / seconds as f64;
            let rate = (bytes_after - bytes) / seconds;
            println!(
                "{role}: {core_percent:.2} % of a core, {resident} resident, {rate} bytes/s sent and received"
            );
        }
    }
}

fn metric(edge: std::net::SocketAddr, name: &str) -> u64 {
    let mut response = new_client(1).get(format!("http://{edge}/metrics")).call().unwrap();
    let text = response.body_mut().read_to_string().unwrap();
    let value = text.lines().find_map(|it| it.strip_prefix(&format!("{name} "))?.parse().ok());
    value.unwrap()
}
