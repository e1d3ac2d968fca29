//! What is kept about callers and peers is bounded, and goes on working at its bound.
#![allow(clippy::unwrap_used)]

use aspenrail::{
    control::SourceAddresses,
    policy::{
        admission::{FairQueue, WaitingRequest},
        interference::InterferenceModel,
    },
    prelude::*,
};

/// Load: a thousand teams come once, while one that waits longer is served in turn with them.
#[test]
fn teams_that_came_once_are_forgotten() {
    let mut queue = FairQueue::new();
    let request = |key| WaitingRequest { key, deadline_ms: 0 };
    for round in 0..1_000 {
        queue.push("constant", request(2 * round), 10).unwrap();
        queue.push(&format!("once-{round}"), request(2 * round + 1), 10).unwrap();
        assert!(queue.pop().is_some() && queue.pop().is_some());
        queue.push("constant", request(2 * round), 10).unwrap();
    }
    let kept = (0..1_000).filter(|it| format!("{queue:?}").contains(&format!("\"once-{it}\"")));
    assert!(kept.count() <= 10, "teams without requests are kept: {queue:?}");
}

/// Load: callers make up kinds of work until the table of pairs is full.
#[test]
fn a_full_table_of_pairs_learns_on_about_known_ones() {
    let mut model = InterferenceModel::default();
    model.observe("class", 10.0, &[]);
    let kinds: Vec<_> = (0..100_000).map(|it| (format_compact!("kind-{it}"), 0.001)).collect();
    model.observe("class", 10.0, &kinds);
    let known = [(CompactString::from("kind-7"), 1.0)];
    let before = model.added_slowdown("class", "kind-7");
    (0..30).for_each(|_| model.observe("class", 40.0, &known));
    let after = model.added_slowdown("class", "kind-7");
    assert!(before + 1.0 < after, "a tail four times as long: {before} to {after}");
    (0..30).for_each(|_| model.observe("class", 40.0, &[("new".into(), 1.0)]));
    assert_eq!(model.added_slowdown("class", "new"), 0.0, "the table is full");
}

/// Load: messages under a thousand made-up member ids, and one member that joins.
#[test]
fn senders_that_are_no_members_are_forgotten() {
    let mut sources = SourceAddresses::default();
    let address = |port| std::net::SocketAddr::from(([127, 0, 0, 1], port));
    for it in 0..1_000 {
        sources.note(MemberId(it), address(it as u16));
        sources.note(MemberId(5_000), address(9));
    }
    assert_eq!(sources.len(), 16);
    assert_eq!(sources.get(MemberId(5_000)), Some(address(9)));
    sources.forget(MemberId(5_000));
    assert_eq!(sources.get(MemberId(5_000)), None);
}
