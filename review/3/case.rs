//! The only executor that may run some submissions is unhealthy: nothing of them starts, and
//! `pending` has to count them.

use std::time::Duration;

use crate::{
    Verdict,
    json::Json,
    site::{Plan, Record, Site, config, route},
};

const COUNT: usize = 6;

pub fn run(record: &Record, trouble: bool) -> Result<Verdict, String> {
    // Ten executors, three a rack: the last one has a rack of its own.
    let plan = Plan { controls: 3, entries: 2, nodes: 10, nodes_per_rack: 3, kinds: &["b"] };
    let mut site = Site::start(record, &plan)?;
    site.install(1, &config(1, &[route("r-q", "/q/", 3_000)]))?;
    site.wait_until_ready()?;
    if trouble {
        site.tell_executor(0, "unhealthy");
    }
    for it in 0..COUNT {
        let body = "{\"spec\":\"ms=600\",\"steps\":[{\"count\":1,\"cpu\":1000,\"mem_mb\":64,\"estimate_ms\":600,\"requirements\":\"b\"}]}";
        site.submit(&format!("/q/5c0e7a21d94b36f{it}"), body)?;
    }
    // visible_ms + 2 s after the last of them was accepted, and a little more.
    std::thread::sleep(Duration::from_millis(5_300));
    let mut lowest = None;
    for at in 0..2 {
        if let Some((200, text)) = site.client(at, "GET", "/q/", "") {
            let pending = Json::parse(&text).and_then(|it| it.get("pending")?.number());
            let pending = pending.ok_or("no count")?;
            lowest = Some(lowest.map_or(pending, |it: u64| it.min(pending)));
        }
    }
    let starts = site.events_with("start").iter().filter(|(_, it)| it.contains(" spec ")).count();
    for it in 0..COUNT {
        site.state(&format!("/q/5c0e7a21d94b36f{it}"));
    }
    let waiting = (COUNT - starts.min(COUNT)) as u64;
    let lowest = lowest.ok_or("no answer")?;
    record.line("case", &format!("{starts} starts, {waiting} submissions wait, pending {lowest}"));
    if trouble {
        site.tell_executor(0, "healthy");
        std::thread::sleep(Duration::from_millis(3_000));
    }
    Ok(match lowest * 2 < waiting {
        true => Verdict::Broken(format!("pending is {lowest}, and {waiting} have not begun")),
        false => Verdict::Held,
    })
}
