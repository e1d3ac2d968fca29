//! Stand-ins and cases of the review. Uses the standard library only.
//!
//! `standin case N FOLDER` runs a case; `standin executor KEY=VALUE...` is one executor.

mod executor;
mod http;
mod json;
mod site;

#[path = "../1/case.rs"]
mod case1;
#[path = "../2/case.rs"]
mod case2;
#[path = "../3/case.rs"]
mod case3;

use std::process::exit;

/// How a case ended.
pub enum Verdict {
    Held,
    Broken(String),
}

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = arguments.iter().map(String::as_str).collect();
    match words.as_slice() {
        ["executor", rest @ ..] => executor::run(rest),
        ["case", number, folder] => {
            let trouble = std::env::var("TROUBLE").map_or(true, |it| it != "0");
            let record = site::Record::create(folder);
            let result = match *number {
                "1" => case1::run(&record, trouble),
                "2" => case2::run(&record, trouble),
                "3" => case3::run(&record, trouble),
                _ => Err("no such case".to_owned()),
            };
            match result {
                Ok(Verdict::Held) => {
                    record.line("verdict", "the rule held");
                    exit(0)
                }
                Ok(Verdict::Broken(why)) => {
                    record.line("verdict", &format!("the rule was broken: {why}"));
                    exit(1)
                }
                Err(why) => {
                    record.line("verdict", &format!("the case could not run: {why}"));
                    exit(2)
                }
            }
        }
        _ => {
            eprintln!("usage: standin case N FOLDER | standin executor KEY=VALUE...");
            exit(2)
        }
    }
}
