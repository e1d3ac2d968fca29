//! One of eleven executors, the one in use, is unhealthy for 6.5 s and answers starts with 503. The
//! other ten have nothing to do. The next step of a submission has to run on one of these.

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

const LONG: &str = "/q/5c0e7a21d94b36f8";
const TWO_STEPS: &str = "/q/1d94b36f85c0e7a2";
const FIRST_STEP: &str = "1d94b36f85c0e7a2.0.0.0";
const SECOND_STEP: &str = "1d94b36f85c0e7a2.0.1.0";

pub fn run(record: &Record, trouble: bool) -> Result<Verdict, String> {
    let plan = Plan { controls: 3, entries: 2, nodes: 11, nodes_per_rack: 3 };
    let mut site = Site::start(record, &plan)?;
    site.install(1, &config(1, &[route("r-q", "/q/", 3_000)]))?;
    site.wait_until_ready()?;
    site.submit(
        LONG,
        "{\"spec\":\"ms=60000\",\"steps\":[{\"count\":1,\"cpu\":1000,\"mem_mb\":256,\"estimate_ms\":60000}]}",
    )?;
    site.submit(
        TWO_STEPS,
        "{\"spec\":\"ms=15500\",\"steps\":[{\"count\":1,\"cpu\":1000,\"mem_mb\":256,\"estimate_ms\":15500},{\"count\":1,\"cpu\":1000,\"mem_mb\":256,\"estimate_ms\":15500,\"after\":[0]}]}",
    )?;
    let traffic_ended = Instant::now();
    wait("the first step", Duration::from_secs(5), || started_on(&site, FIRST_STEP).is_some())?;
    let in_use = started_on(&site, FIRST_STEP).ok_or("no start")?;
    thread::sleep(FINISH.saturating_sub(traffic_ended.elapsed()) + Duration::from_millis(500));
    if trouble {
        site.tell_executor(in_use, "unhealthy");
    }
    let unhealthy_since = Instant::now();
    let done = format!("end {FIRST_STEP} run 1 done");
    wait("the end of the first step", Duration::from_secs(5), || !site.events_with(&done).is_empty())?;
    let turn_came = Instant::now();
    let mut idle = None;
    let mut is_healthy = !trouble;
    while turn_came.elapsed() < Duration::from_secs(8) {
        if started_on(&site, SECOND_STEP).is_some() {
            idle.get_or_insert(turn_came.elapsed());
        }
        if !is_healthy && UNHEALTHY <= unhealthy_since.elapsed() {
            site.tell_executor(in_use, "healthy");
            is_healthy = true;
        }
        thread::sleep(Duration::from_millis(5));
        if (turn_came.elapsed().as_millis() / 5).is_multiple_of(200) {
            site.state(TWO_STEPS);
            if let Some((200, text)) = site.client(1, "GET", "/q/", "") {
                Json::parse(&text).ok_or("no count")?;
            }
        }
    }
    let refused = site.events_with(&format!("start {SECOND_STEP}"));
    let refused = refused.iter().filter(|(_, it)| it.ends_with("503")).count();
    let idle = idle.ok_or("the second step was never started")?;
    record.line("case", &format!("the second step was started {:.3} s after its turn came; {refused} starts were answered with 503, all by executor {in_use} of eleven", idle.as_secs_f64()));
    Ok(match IDLE_MAX < idle {
        true => Verdict::Broken(format!("nothing of the submission ran for {:.1} s, while ten executors were idle", idle.as_secs_f64())),
        false => Verdict::Held,
    })
}

/// Returns the executor that has begun a task.
fn started_on(site: &Site, task: &str) -> Option<usize> {
    let starts = site.events_with(&format!("start {task} "));
    starts.iter().find(|(_, it)| it.contains(" spec ")).map(|(index, _)| *index)
}
