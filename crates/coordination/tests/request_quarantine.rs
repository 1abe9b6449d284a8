//! Tests of the quarantine of whole requests, beside that of the parts of their prompts.

mod quarantine_fleet;

use crate::quarantine_fleet::Fleet;
use coordination::part_quarantine::request_id;
use state::ident::Digest;

const DEADLY: [&str; 3] = ["first", "deadly", "own"];
const SOUND: [&str; 3] = ["first", "sound", "own"];

/// Returns a request with these shared parts, whose content is the same each time that it comes.
fn repeated(content: &str, parts: &[&str]) -> Vec<String> {
    let digest = Digest::of(&[content.as_bytes()]);
    let parts = parts.iter().map(|part| (*part).to_owned());
    parts.chain([request_id(digest)]).collect()
}

fn refs(parts: &[String]) -> Vec<&str> {
    parts.iter().map(String::as_str).collect()
}

/// Returns three hosts that know a whole answer to `SOUND`, after a crash with `request` at each.
fn fleet_after_crashes(request: &[String]) -> Fleet {
    let mut fleet = Fleet::new(3);
    for host in 0..3 {
        fleet.hosts[host].record_success(fleet.now, SOUND);
    }
    for host in 0..3 {
        fleet.crash(host, &format!("u{host}"), &refs(request));
        fleet.run(700);
    }
    fleet
}

/// Guards against a request without a prompt that crashes upstreams for as long as it comes again.
#[test]
fn a_request_that_crashes_upstreams_is_quarantined_at_all_hosts() {
    let (deadly, order) = (repeated("deadly", &[]), repeated("order", &[]));
    let mut fleet = Fleet::new(4);
    for host in 0..3 {
        let upstream = format!("u{host}");
        fleet.crash(host, &upstream, &refs(&deadly));
        fleet.crash(
            host,
            &upstream,
            &refs(&repeated(&format!("order {host}"), &[])),
        );
        fleet.run(700);
    }
    assert_eq!(fleet.quarantined(&refs(&deadly)), [true; 4]);
    assert_eq!(fleet.quarantined(&refs(&order)), [false; 4]);
    assert_eq!(
        fleet.quarantined(&refs(&repeated("order 0", &[]))),
        [false; 4]
    );
}

/// Guards against the quarantine of a popular request that was in flight at each crash.
#[test]
fn a_popular_request_beside_a_deadly_one_is_not_quarantined() {
    let (deadly, popular) = (repeated("deadly", &[]), repeated("popular", &[]));
    let mut fleet = Fleet::new(3);
    for host in 0..3 {
        let upstream = format!("u{host}");
        fleet.crash(host, &upstream, &refs(&deadly));
        fleet.crash(host, &upstream, &refs(&popular));
        fleet.run(300);
        fleet.hosts[host].record_success(fleet.now, popular.clone());
        fleet.run(400);
    }
    assert_eq!(fleet.quarantined(&refs(&deadly)), [true; 3]);
    assert_eq!(fleet.quarantined(&refs(&popular)), [false; 3]);
}

/// Guards against whole answers to parts that are forgotten beside many requests that come once.
#[test]
fn requests_that_come_once_leave_the_whole_answers_to_parts_known() {
    let deadly = repeated("deadly", &["first", "sound"]);
    let mut fleet = Fleet::new(1);
    fleet.hosts[0].record_success(fleet.now, SOUND);
    for number in 0..10_000 {
        fleet.now = fleet.now + 1;
        fleet.hosts[0].record_success(fleet.now, repeated(&number.to_string(), &[]));
    }
    for upstream in ["u0", "u1", "u2"] {
        fleet.crash(0, upstream, &refs(&deadly));
        fleet.run(700);
    }
    assert_eq!(fleet.quarantined(&refs(&deadly)), [true]);
    assert_eq!(fleet.quarantined(&SOUND), [false]);
}

/// Guards against the quarantine of sound shared parts in place of one deadly prompt that comes
/// again.
#[test]
fn a_deadly_prompt_that_comes_again_is_quarantined_rather_than_its_parts() {
    let deadly = repeated("deadly", &["first", "sound"]);
    let mut fleet = fleet_after_crashes(&deadly);
    assert_eq!(fleet.quarantined(&refs(&deadly)), [true; 3]);
    assert_eq!(fleet.quarantined(&SOUND), [false; 3]);
}

/// Guards against a deadly part that hides behind a request which was sent several times with it.
#[test]
fn a_deadly_part_is_quarantined_rather_than_a_request_with_it() {
    let deadly = repeated("any", &["first", "deadly"]);
    let mut fleet = fleet_after_crashes(&deadly);
    assert_eq!(fleet.quarantined(&DEADLY), [true; 3]);
    assert_eq!(fleet.quarantined(&SOUND), [false; 3]);
}
