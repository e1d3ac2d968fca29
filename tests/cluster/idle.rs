//! Measures the resource use of idle processes.

use std::{path::PathBuf, thread, time::Duration};

use aspenrail::{http::client::new_client, standin::layout::Counts};

use crate::harness::Cluster;

/// Prints CPU time, resident memory and link traffic of each idle process.
#[test]
#[ignore = "measures for a minute: run it by hand, with --release and --nocapture"]
fn idle_costs() {
    let cluster = Cluster::start(Counts { controls: 3, entries: 2, agents: 6 });
    thread::sleep(Duration::from_secs(5));
    let roles = [
        ("control", &cluster.layout.control_files, &cluster.layout.admins),
        ("entry", &cluster.layout.entry_files, &cluster.layout.callers),
    ];
    let agent_addresses: Vec<_> = cluster.layout.vms.iter().map(|it| it.local).collect();
    let roles_with_agents: Vec<_> = roles
        .into_iter()
        .chain([("agent", &cluster.layout.agent_files, &agent_addresses)])
        .collect();
    let read_usage = |file: &PathBuf, address: std::net::SocketAddr| {
        let pid = cluster.processes[file].id();
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap();
        let fields: Vec<_> = stat.rsplit(')').next().unwrap().split_whitespace().collect();
        let ticks: u64 = fields[11].parse::<u64>().unwrap() + fields[12].parse::<u64>().unwrap();
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap();
        let resident =
            status.lines().find_map(|it| it.strip_prefix("VmRSS:")).unwrap().trim().to_owned();
        let sent = metric(address, "aspenrail_link_sent_bytes_total");
        let received = metric(address, "aspenrail_link_received_bytes_total");
        (ticks, resident, sent + received)
    };
    let seconds = 40;
    let usages_before: Vec<_> = roles_with_agents
        .iter()
        .map(|(_, files, addresses)| {
            files
                .iter()
                .zip(*addresses)
                .map(|(file, address)| read_usage(file, *address))
                .collect::<Vec<_>>()
        })
        .collect();
    thread::sleep(Duration::from_secs(seconds));
    for ((role, files, addresses), usages_before) in roles_with_agents.iter().zip(&usages_before) {
        for ((file, address), (ticks, _, bytes)) in files.iter().zip(*addresses).zip(usages_before)
        {
            let (ticks_after, resident, bytes_after) = read_usage(file, *address);
            let core_percent = (ticks_after - ticks) as f64 / seconds as f64;
            let rate = (bytes_after - bytes) / seconds;
            println!(
                "{role}: {core_percent:.2} % of a core, {resident} resident, {rate} bytes/s sent and received"
            );
        }
    }
}

fn metric(address: std::net::SocketAddr, name: &str) -> u64 {
    let mut response = new_client(1).get(format!("http://{address}/metrics")).call().unwrap();
    let text = response.body_mut().read_to_string().unwrap();
    let value = text.lines().find_map(|it| it.strip_prefix(&format!("{name} "))?.parse().ok());
    value.unwrap()
}
