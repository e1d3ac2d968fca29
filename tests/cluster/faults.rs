//! Faults of processes and disks: kills, freezes, planned stops and failed writes.

use std::{process::Command, thread, time::Duration};

use aspenrail::standin::{
    layout::Counts,
    load::{LoadOptions, run_load},
};
use rustix::process::Signal;
use serde_json::json;

use crate::harness::{Cluster, wait_until};

#[test]
fn one_process_of_each_role_is_killed_on_the_way() {
    let mut cluster = Cluster::start(Counts { controls: 3, entries: 2, agents: 6 });
    let load = cluster.load();
    let load_thread = thread::spawn(move || run_load(&load));
    let mut jobs = Vec::new();
    let victims = [
        cluster.leader_file(),
        cluster.layout.entry_files[0].clone(),
        cluster.layout.agent_files[0].clone(),
    ];
    for round in 0..9 {
        let key = format!("job-{round}");
        jobs.push((cluster.submit(&key, 400), key));
        if let Some(victim) = victims.get(round / 3).filter(|_| round % 3 == 1) {
            cluster.kill(victim);
        }
        if let Some(victim) = victims.get(round / 3).filter(|_| round % 3 == 2) {
            cluster.spawn(victim);
        }
    }
    let report = load_thread.join().unwrap();
    assert_eq!(report.mismatched, 0, "every answer matches its request");
    assert!(0 < report.answered);
    for (job, key) in &jobs {
        cluster.check_job(*job, key);
        // Resubmitting the same key returns the same job.
        assert_eq!(cluster.submit(key, 400), *job);
    }
    for body in &report.refused_not_run {
        assert_eq!(
            cluster.runs_of(body),
            0,
            "{body} ran although its caller was answered that it did not"
        );
    }
}

#[test]
fn agent_frozen_for_longer_than_its_lease_wakes_up() {
    let cluster = Cluster::start(Counts { controls: 3, entries: 1, agents: 3 });
    let job = cluster.submit("long", 12_000);
    wait_until("the tasks of the job run", || {
        let vms = cluster.admin("vms", None)?;
        vms.as_array()?.iter().any(|it| 0 < it["tasks"].as_u64().unwrap_or(0)).then_some(())
    });
    let vms = cluster.admin("vms", None).unwrap();
    let busy =
        vms.as_array().unwrap().iter().position(|it| it["tasks"].as_u64() != Some(0)).unwrap();
    let name = vms[busy]["name"].as_str().unwrap();
    let number: usize = name.trim_start_matches("vm-").parse().unwrap();
    let file = cluster.layout.agent_files[number - 1].clone();
    let session = vms[busy]["session"].as_u64();
    cluster.signal(&file, Signal::STOP);
    wait_until("the session of the frozen agent ends", || {
        let vms = cluster.admin("vms", None)?;
        let vm = vms.as_array()?.iter().find(|it| it["name"] == name)?.clone();
        (vm["session"].as_u64() != session).then_some(())
    });
    cluster.signal(&file, Signal::CONT);
    cluster.check_job(job, "long");
}

#[test]
fn planned_stops_cut_off_nothing() {
    let mut cluster = Cluster::start(Counts { controls: 3, entries: 2, agents: 3 });
    let load = LoadOptions { seconds: 6, ..cluster.load() };
    let load_thread = thread::spawn(move || run_load(&load));
    let stopped = [cluster.layout.agent_files[0].clone(), cluster.leader_file()];
    for file in &stopped {
        thread::sleep(Duration::from_millis(500));
        cluster.signal(file, Signal::TERM);
        let exit_status = cluster.processes.remove(file).unwrap().wait().unwrap();
        assert_eq!(exit_status.code(), Some(0), "{file:?} drains before it exits");
        cluster.spawn(file);
    }
    let report = load_thread.join().unwrap();
    assert_eq!(
        report.unanswered,
        0,
        "a planned stop left requests unanswered: {}",
        report.to_json()
    );
    assert_eq!(report.mismatched, 0);
    // A stopping entry answers the requests it has accepted and refuses new ones.
    let load =
        LoadOptions { seconds: 3, targets: vec![cluster.layout.callers[0]], ..cluster.load() };
    let load_thread = thread::spawn(move || run_load(&load));
    thread::sleep(Duration::from_millis(700));
    let file = cluster.layout.entry_files[0].clone();
    cluster.signal(&file, Signal::TERM);
    let exit_status = cluster.processes.remove(&file).unwrap().wait().unwrap();
    assert_eq!(exit_status.code(), Some(0));
    let report = load_thread.join().unwrap();
    for body in &report.refused_not_run {
        assert_eq!(
            cluster.runs_of(body),
            0,
            "{body} ran although its caller was answered that it did not"
        );
    }
}

/// Guards against counting a failed write as a success. After it, control must refuse changes but
/// keep running; a restart must find every acknowledged change and accept changes again.
#[test]
fn failed_writes_are_refused_and_lose_nothing_acknowledged() {
    let mut cluster = Cluster::start(Counts { controls: 1, entries: 0, agents: 0 });
    let file = cluster.layout.control_files[0].clone();
    cluster.kill(&file);
    // Writes beyond a file size of 64 KiB fail; SIGXFSZ, which would kill the process, is ignored.
    let limited = format!(
        "trap '' XFSZ; ulimit -f 64; exec {} run {}",
        env!("CARGO_BIN_EXE_aspenrail"),
        file.display()
    );
    let child =
        Command::new("bash").args(["-c", &limited]).env("ASPENRAIL_LOG", "off").spawn().unwrap();
    cluster.processes.insert(file.clone(), child);
    let mut revision = wait_until("control answers again", || {
        cluster.admin("status", None)?["accepted_revision"].as_u64()
    });
    let mut number = 0;
    let mut change = |cluster: &Cluster, revision: u64| {
        number += 1;
        let change = json!({"DeleteTeam": format!("none-{number}-{}", "x".repeat(2_000))});
        let team = json!({"PutTeam": {
            "name": format!("team-{}-{}", number % 3, "x".repeat(2_000)), "jobs_open_max": number,
            "quota": {"cpu_millicores": 1, "memory_mib": 1, "accelerators": 0}, "requests_in_flight_max": 1,
        }});
        let change = if number % 10 == 0 { change } else { team };
        let body = json!({"based_on": revision, "key": format!("k-{number}"), "change": change});
        cluster.admin("configuration", Some(&body))?["revision"].as_u64()
    };
    let mut refusals_in_row = 0;
    wait_until("changes are refused", || {
        match change(&cluster, revision) {
            Some(new_revision) => (revision, refusals_in_row) = (new_revision, 0),
            None => refusals_in_row += 1,
        }
        (3 <= refusals_in_row).then_some(())
    });
    assert!(cluster.processes.get_mut(&file).unwrap().try_wait().unwrap().is_none());
    cluster.kill(&file);
    cluster.spawn(&file);
    let status = wait_until("control answers again", || cluster.admin("status", None));
    let accepted = status["accepted_revision"].as_u64().unwrap();
    assert!(revision <= accepted);
    wait_until("changes are accepted", || change(&cluster, accepted));
}

#[test]
fn second_signal_is_the_hard_stop() {
    let mut cluster = Cluster::start(Counts { controls: 1, entries: 1, agents: 1 });
    // A request in flight for longer than the test runs keeps the entry from draining.
    cluster.executors[0].set_work_ms(8_000);
    let load =
        LoadOptions { seconds: 1, rate: 1, callers: 1, deadline_ms: 10_000, ..cluster.load() };
    let load_thread = thread::spawn(move || run_load(&load));
    thread::sleep(Duration::from_millis(500));
    let file = cluster.layout.entry_files[0].clone();
    cluster.signal(&file, Signal::TERM);
    thread::sleep(Duration::from_millis(1_500));
    assert!(
        cluster.processes.get_mut(&file).unwrap().try_wait().unwrap().is_none(),
        "the entry waits for its request in flight"
    );
    cluster.signal(&file, Signal::TERM);
    let exit_status = cluster.processes.remove(&file).unwrap().wait().unwrap();
    assert_eq!(exit_status.code(), Some(4));
    load_thread.join().unwrap();
}

#[test]
fn control_restarts_with_an_old_folder_and_refuses_a_flipped_log() {
    let mut cluster = Cluster::start(Counts { controls: 3, entries: 0, agents: 0 });
    let file = cluster.layout.control_files[0].clone();
    cluster.kill(&file);
    let mut revision = wait_until("there is a leader", || {
        cluster.admin("status", None)?["accepted_revision"].as_u64()
    });
    for index in 0..50 {
        let team = json!({"PutTeam": {
            "name": format!("team-{index}"), "jobs_open_max": 1, "requests_in_flight_max": 1,
            "quota": {"cpu_millicores": 1, "memory_mib": 1, "accelerators": 0},
        }});
        let body = json!({"based_on": revision, "key": format!("r-{index}"), "change": team});
        revision = wait_until("a change is accepted", || {
            cluster.admin("configuration", Some(&body))?["revision"].as_u64()
        });
    }
    cluster.spawn(&file);
    wait_until("every member has caught up", || {
        let members = cluster.admin("members", None)?;
        members.as_array()?.iter().all(|it| it["in_force"].as_u64() == Some(revision)).then_some(())
    });
    cluster.kill(&file);
    let log = cluster.layout.folder.join("control-1/log-0");
    let mut data = std::fs::read(&log).unwrap();
    let middle = data.len() / 2;
    data[middle] ^= 1;
    std::fs::write(&log, data).unwrap();
    cluster.spawn(&file);
    let exit_status = cluster.processes.remove(&file).unwrap().wait().unwrap();
    assert_eq!(exit_status.code(), Some(1), "a member with a damaged log must not start and vote");
    wait_until("the other members answer", || cluster.admin("status", None));
}
