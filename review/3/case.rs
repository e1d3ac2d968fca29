//! One of eleven executors, the one in use, is unhealthy for 6.5 s and answers starts with 503. The
//! other ten have nothing to do, so that what waits has to run on one of these.
//!
//! It comes twice: while submissions come in, and `finish_s` after the last one, when the second step
//! of a submission has its turn. `TROUBLE=0` leaves both out.

use std::{
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    json::Json,
    site::{Plan, Record, Site, config, route, wait},
};

/// `finish_s`
const FINISH: Duration = Duration::from_secs(14);

/// How long the executor is unhealthy: the largest dose of `srv_grey` at the site.
const UNHEALTHY: Duration = Duration::from_millis(6_500);

/// How long a submission may have nothing running while there is room (RULES.md, LOST).
const IDLE_MAX: Duration = Duration::from_millis(3_000);

/// `visible_ms` and 2 s more (RULES.md, MIXED), and a little.
const VISIBLE: Duration = Duration::from_millis(5_300);

/// Submissions that come in while the executor is unhealthy.
const COUNT: usize = 6;

const LONG: &str = "/q/5c0e7a21d94b36fa";
const LONG_TASK: &str = "5c0e7a21d94b36fa.0.0.0";
const TWO_STEPS: &str = "/q/1d94b36f85c0e7ab";
const FIRST_STEP: &str = "1d94b36f85c0e7ab.0.0.0";
const SECOND_STEP: &str = "1d94b36f85c0e7ab.0.1.0";

pub fn run(record: &Record, trouble: bool) -> Result<Verdict, String> {
    let plan = Plan { controls: 3, entries: 2, nodes: 11, nodes_per_rack: 3 };
    let mut site = Site::start(record, &plan)?;
    site.install(1, &config(1, &[route("r-q", "/q/", 3_000)]))?;
    site.wait_until_ready()?;
    site.submit(LONG, &body(90_000, false))?;
    wait("a start", Duration::from_secs(5), || started_on(&site, LONG_TASK).is_some())?;
    let in_use = started_on(&site, LONG_TASK).ok_or("no start")?;
    let lowest = while_submissions_come_in(&mut site, in_use, trouble)?;
    let idle = after_the_traffic(&mut site, in_use, trouble)?;
    let mut broken = Vec::new();
    if IDLE_MAX < idle {
        broken.push(format!(
            "LOST: nothing of a submission ran for {:.1} s, while ten executors were idle",
            idle.as_secs_f64()
        ));
    }
    if let Some((pending, waiting)) = lowest
        && pending * 2 < waiting
    {
        broken.push(format!("MIXED: pending was {pending}, and {waiting} had not begun"));
    }
    match broken.is_empty() {
        true => Ok(Verdict::Held),
        false => Ok(Verdict::Broken(broken.join("; "))),
    }
}

/// Returns `pending` and the number of submissions that had not begun, `VISIBLE` after their
/// acknowledgement, if there were any.
fn while_submissions_come_in(
    site: &mut Site,
    in_use: usize,
    trouble: bool,
) -> Result<Option<(u64, u64)>, String> {
    let began = Instant::now();
    if trouble {
        site.tell_executor(in_use, "unhealthy");
    }
    for it in 0..COUNT {
        site.submit(&format!("/q/{}", id_of(it)), &body(600, false))?;
    }
    thread::sleep(VISIBLE);
    let mut lowest: Option<u64> = None;
    for at in 0..2 {
        if let Some((200, text)) = site.client(at, "GET", "/q/", "") {
            let pending = Json::parse(&text).and_then(|it| it.get("pending")?.number());
            let pending = pending.ok_or("no count")?;
            lowest = Some(lowest.map_or(pending, |it| it.min(pending)));
        }
    }
    let begun = (0..COUNT).filter(|it| {
        started_on(site, &format!("{}.0.0.0", id_of(*it))).is_some()
    });
    let waiting = (COUNT - begun.count()) as u64;
    for it in 0..COUNT {
        site.state(&format!("/q/{}", id_of(it)));
    }
    thread::sleep(UNHEALTHY.saturating_sub(began.elapsed()));
    if trouble {
        site.tell_executor(in_use, "healthy");
    }
    site.record.line("case", &format!("{waiting} of {COUNT} submissions had not begun, lowest count of pending {lowest:?}"));
    thread::sleep(Duration::from_millis(2_500));
    Ok(lowest.filter(|_| 0 < waiting).map(|it| (it, waiting)))
}

/// Returns for how long nothing of a submission ran after the turn of its second step had come.
fn after_the_traffic(site: &mut Site, in_use: usize, trouble: bool) -> Result<Duration, String> {
    site.submit(TWO_STEPS, &body(15_500, true))?;
    let traffic_ended = Instant::now();
    thread::sleep(FINISH + Duration::from_millis(500));
    if trouble {
        site.tell_executor(in_use, "unhealthy");
    }
    let unhealthy_since = Instant::now();
    let done = format!("end {FIRST_STEP} run 1 done");
    wait("the end of the first step", Duration::from_secs(5), || {
        !site.events_with(&done).is_empty()
    })?;
    let turn_came = Instant::now();
    let after_s = traffic_ended.elapsed().as_secs_f64();
    let mut idle = None;
    let mut is_healthy = !trouble;
    let mut asked = 0;
    while turn_came.elapsed() < Duration::from_secs(8) {
        if started_on(site, SECOND_STEP).is_some() {
            idle.get_or_insert(turn_came.elapsed());
        }
        if !is_healthy && UNHEALTHY <= unhealthy_since.elapsed() {
            site.tell_executor(in_use, "healthy");
            is_healthy = true;
        }
        if asked < turn_came.elapsed().as_secs() {
            asked += 1;
            site.state(TWO_STEPS);
        }
        thread::sleep(Duration::from_millis(5));
    }
    let refused = site.events_with(&format!("start {SECOND_STEP} "));
    let refused: Vec<_> = refused.iter().filter(|(_, it)| it.ends_with("503")).collect();
    let others = refused.iter().filter(|(index, _)| *index != in_use).count();
    let idle = idle.ok_or("the second step was never started")?;
    site.record.line("case", &format!("the second step had its turn {after_s:.1} s after the end of the traffic, and was started {:.3} s later; {} starts were answered with 503, {others} of them by others than executor {in_use}", idle.as_secs_f64(), refused.len()));
    Ok(idle)
}

/// Returns the id of a submission that comes in while the executor is unhealthy.
fn id_of(number: usize) -> String {
    format!("7e21d94b36f85c0{:x}", 10 + number)
}

/// Returns a submission of one task, or of two in turn.
fn body(work_ms: u64, has_second: bool) -> String {
    let step = format!("\"count\":1,\"cpu\":1000,\"mem_mb\":256,\"estimate_ms\":{work_ms}");
    let steps = match has_second {
        true => format!("{{{step}}},{{{step},\"after\":[0]}}"),
        false => format!("{{{step}}}"),
    };
    format!("{{\"spec\":\"ms={work_ms}\",\"steps\":[{steps}]}}")
}

/// Returns the executor that has begun a task.
fn started_on(site: &Site, task: &str) -> Option<usize> {
    let starts = site.events_with(&format!("start {task} "));
    starts.iter().find(|(_, it)| it.contains(" spec ")).map(|(index, _)| *index)
}
