//! Tests of the quarantine of prompt parts, and of the exchange of evidence between hosts.

mod quarantine_fleet;

use crate::quarantine_fleet::Fleet;
use coordination::part_evidence::EvidenceCollector;
use coordination::part_evidence::PartMonitor;
use coordination::part_evidence::Verdict;
use coordination::part_quarantine::Change;
use coordination::part_quarantine::Crash;
use coordination::part_quarantine::PartQuarantine;
use coordination::part_quarantine::QUARANTINE_LIMIT_MS;
use coordination::part_quarantine::QUARANTINE_MS;
use coordination::part_quarantine::SETTLE_MS;
use coordination::part_quarantine::Success;
use coordination::part_quarantine::Suspect;
use state::time::Instant;

fn crash(upstream: &str, parts: &[&str]) -> Crash {
    let suspect = |(depth, part): (usize, &&str)| Suspect {
        part: (*part).to_owned(),
        depth: u32::try_from(depth).unwrap(),
    };
    Crash {
        upstream: upstream.to_owned(),
        suspects: parts.iter().enumerate().map(suspect).collect(),
        age_ms: 0,
    }
}

fn success(part: &str) -> Success {
    Success {
        part: part.to_owned(),
        age_ms: 0,
    }
}

/// Records crashes of upstreams of their own a second apart, and judges after the last one.
fn judged(crashes: &[&[&str]]) -> (PartQuarantine, Instant, Vec<Change>) {
    let mut quarantine = PartQuarantine::default();
    let mut now = Instant(10_000);
    for (index, parts) in crashes.iter().enumerate() {
        now = now + 1_000;
        let crash = crash(&format!("u{index}"), parts);
        assert!(quarantine.record_crash(now, "h", &crash).is_empty());
    }
    now = now + SETTLE_MS;
    let changes = quarantine.judge(now);
    (quarantine, now, changes)
}

fn names(changes: &[Change]) -> Vec<&str> {
    changes
        .iter()
        .map(|change| match change {
            Change::Quarantined { part, .. } | Change::Released(part) => part.as_str(),
        })
        .collect()
}

#[test]
fn a_part_is_quarantined_after_crashes_of_several_upstreams() {
    let (quarantine, now, changes) = judged(&[&["deadly"], &["deadly"]]);
    assert!(changes.is_empty());
    assert_eq!(quarantine.left_ms(now, "deadly", 0), None);
    let (quarantine, now, changes) = judged(&[&["deadly"], &["deadly"], &["deadly"]]);
    assert_eq!(names(&changes), ["deadly"]);
    let left_ms = quarantine.left_ms(now, "deadly", 0);
    assert_eq!(left_ms, Some(QUARANTINE_MS - SETTLE_MS));
}

/// Requests with the first part of a deadly prompt must go on being served.
#[test]
fn the_first_part_that_sound_prompts_share_is_not_quarantined() {
    let mut quarantine = PartQuarantine::default();
    let mut now = Instant(10_000);
    for index in 0..6 {
        now = now + 1_000;
        let crash = crash(&format!("u{index}"), &["first", "deadly"]);
        quarantine.record_crash(now, "h", &crash);
        quarantine.record_success(now + 400, &success("first"));
        quarantine.judge(now + SETTLE_MS);
    }
    assert_eq!(quarantine.left_ms(now, "first", 0), None);
    assert!(quarantine.left_ms(now, "deadly", 0).is_some());
}

/// A first part whose sound prompts are rare has no whole answer between the crashes either.
#[test]
fn crashes_that_a_quarantined_part_accounts_for_do_not_count_against_others() {
    let parts: &[&str] = &["first", "deadly"];
    let (mut quarantine, now, changes) = judged(&[parts; 5]);
    assert_eq!(names(&changes), ["deadly"]);
    assert!(quarantine.judge(now + 10_000).is_empty());
    assert_eq!(quarantine.left_ms(now, "first", 0), None);
}

/// If the wrong one of two parts was chosen, the crashes go on without it.
#[test]
fn crashes_that_go_on_convict_the_other_part() {
    let parts: &[&str] = &["deadly", "sound"];
    let (mut quarantine, now, changes) = judged(&[parts; 3]);
    assert_eq!(names(&changes), ["sound"]);
    for index in 0..3 {
        let crash = crash(&format!("v{index}"), &["deadly", "other"]);
        quarantine.record_crash(now + index * 1_000, "h", &crash);
        quarantine.record_success(now + index * 1_000 + 100, &success("other"));
    }
    let changes = quarantine.judge(now + 4_000);
    assert_eq!(names(&changes), ["deadly"]);
}

/// Of parts with equal crashes, the one that sound prompts used last is the least suspect.
#[test]
fn the_part_with_the_later_whole_answer_is_not_quarantined() {
    let mut quarantine = PartQuarantine::default();
    let crash_at = |quarantine: &mut PartQuarantine, at: u64| {
        let crash = crash(&format!("u{at}"), &["deadly", "first"]);
        quarantine.record_crash(Instant(at), "h", &crash);
    };
    crash_at(&mut quarantine, 10_000);
    let earlier = |part: &str, age_ms: u64| Success {
        age_ms,
        ..success(part)
    };
    quarantine.record_success(Instant(10_100), &earlier("first", 300));
    quarantine.record_success(Instant(10_100), &earlier("deadly", 5_000));
    crash_at(&mut quarantine, 11_000);
    crash_at(&mut quarantine, 12_000);
    let changes = quarantine.judge(Instant(12_000 + SETTLE_MS));
    assert_eq!(names(&changes), ["deadly"]);
}

#[test]
fn neighbours_in_flight_are_not_quarantined() {
    let crashes: [&[&str]; 4] = [
        &["deadly", "a", "b"],
        &["c", "deadly", "a"],
        &["b", "deadly", "c"],
        &["a", "c", "deadly"],
    ];
    let (_, _, changes) = judged(&crashes);
    assert_eq!(names(&changes), ["deadly"]);
}

/// The upstreams of a failure domain crash together, whatever they run.
#[test]
fn the_parts_in_flight_in_a_domain_that_dies_are_not_quarantined() {
    let mut quarantine = PartQuarantine::default();
    for index in 0..12 {
        let crash = crash(&format!("u{index}"), &["everywhere"]);
        quarantine.record_crash(Instant(10_000 + index * 10), "h", &crash);
    }
    assert!(quarantine.judge(Instant(20_000)).is_empty());
}

/// All hosts with requests at an engine report its crash, one a little later than the other.
#[test]
fn a_crash_that_several_hosts_report_counts_once() {
    let mut quarantine = PartQuarantine::default();
    for crash_index in 0..2 {
        for host in 0..10 {
            let crash = crash(&format!("u{crash_index}"), &["part"]);
            let at = 10_000 + crash_index * 5_000 + host * 100;
            quarantine.record_crash(Instant(at), format!("h{host}"), &crash);
        }
    }
    assert!(quarantine.judge(Instant(30_000)).is_empty());
}

/// An upstream that goes down and up by turns is the more likely cause of its crashes.
#[test]
fn a_few_crashes_of_one_upstream_do_not_convict_its_parts() {
    let mut quarantine = PartQuarantine::default();
    let crash_at = |quarantine: &mut PartQuarantine, index: u64| {
        let now = Instant(10_000 + index * 3_000);
        quarantine.record_crash(now, "h", &crash("flapping", &["part"]));
        quarantine.judge(now + SETTLE_MS)
    };
    for index in 0..4 {
        assert!(crash_at(&mut quarantine, index).is_empty(), "crash {index}");
    }
    assert_eq!(names(&crash_at(&mut quarantine, 4)), ["part"]);
}

#[test]
fn a_whole_answer_between_crashes_clears_a_rare_part() {
    let mut quarantine = PartQuarantine::default();
    for index in 0..10 {
        let now = Instant(10_000 + index * 30_000);
        quarantine.record_crash(now, "h", &crash(&format!("u{index}"), &["rare"]));
        quarantine.record_success(now + 2_000, &success("rare"));
        assert!(quarantine.judge(now + SETTLE_MS).is_empty());
    }
}

#[test]
fn after_a_quarantine_one_crash_renews_it_for_twice_the_time() {
    let (mut quarantine, _, _) = judged(&[&["deadly"], &["deadly"], &["deadly"]]);
    let mut now = Instant(13_000);
    let mut length_ms = QUARANTINE_MS;
    for index in 0..6 {
        now = now + length_ms;
        assert_eq!(quarantine.left_ms(now, "deadly", 0), None);
        assert!(quarantine.left_ms(now, "deadly", 10).is_some());
        let crash = crash(&format!("v{index}"), &["deadly", "other"]);
        let changes = quarantine.record_crash(now, "h", &crash);
        assert_eq!(names(&changes), ["deadly"]);
        length_ms = (length_ms * 2).min(QUARANTINE_LIMIT_MS);
        assert_eq!(quarantine.left_ms(now, "deadly", 0), Some(length_ms));
    }
    assert_eq!(length_ms, QUARANTINE_LIMIT_MS);
}

#[test]
fn a_later_whole_answer_ends_a_quarantine_and_an_earlier_one_does_not() {
    let (mut quarantine, now, _) = judged(&[&["part"], &["part"], &["part"]]);
    let late_report = Success {
        age_ms: SETTLE_MS + 100,
        ..success("part")
    };
    assert_eq!(quarantine.record_success(now, &late_report), None);
    let released = quarantine.record_success(now, &success("part"));
    assert_eq!(released, Some(Change::Released("part".to_owned())));
    assert_eq!(quarantine.left_ms(now, "part", 0), None);
}

#[test]
fn evidence_expires_and_is_bounded() {
    let (mut quarantine, now, _) = judged(&[&["deadly"], &["deadly"], &["deadly"]]);
    quarantine.expire(now + 2 * QUARANTINE_LIMIT_MS);
    assert!(quarantine.is_empty());
    for index in 0..1_000 {
        let parts: Vec<String> = (0..1_000).map(|part| format!("{index}-{part}")).collect();
        let parts: Vec<&str> = parts.iter().map(String::as_str).collect();
        let now = Instant(10_000 + index * 300);
        quarantine.record_crash(now, "h", &crash(&format!("u{index}"), &parts));
        quarantine.record_success(now, &success(&format!("{index}-0")));
    }
    assert!(quarantine.suspected().len() <= 64);
    let size = format!("{quarantine:?}").len();
    assert!(size < 1 << 20, "{size} bytes");
}

const DEADLY: [&str; 3] = ["first", "deadly", "own"];
const SOUND: [&str; 3] = ["first", "sound", "own"];

/// Requests with a deadly part come at any host: no host sees enough crashes by itself.
#[test]
fn crashes_at_several_hosts_quarantine_a_part_at_all_hosts() {
    let mut fleet = Fleet::new(4);
    for host in 0..4 {
        fleet.hosts[host].record_success(fleet.now, SOUND);
    }
    for host in 0..3 {
        fleet.crash(host, &format!("u{host}"), &DEADLY);
        fleet.run(700);
    }
    assert_eq!(fleet.quarantined(&DEADLY), [true; 4]);
    assert_eq!(fleet.quarantined(&SOUND), [false; 4]);
    assert_eq!(fleet.quarantined(&["first", "deadly"]), [false; 4]);
}

#[test]
fn a_whole_answer_at_one_host_ends_the_quarantine_at_all_hosts() {
    let mut fleet = Fleet::new(3);
    for host in 0..3 {
        fleet.crash(host, &format!("u{host}"), &DEADLY);
        fleet.run(700);
    }
    assert_eq!(fleet.quarantined(&DEADLY), [true; 3]);
    fleet.hosts[1].record_success(fleet.now, DEADLY);
    let changes = fleet.run(300);
    assert_eq!(names(&changes), ["deadly"]);
    assert_eq!(fleet.quarantined(&DEADLY), [false; 3]);
}

/// A new leader has no evidence of its own: quarantines must hold on, and counts go on.
#[test]
fn a_new_leader_gets_the_evidence_and_the_quarantines_from_the_hosts() {
    let mut fleet = Fleet::new(3);
    for host in 0..3 {
        fleet.crash(host, &format!("u{host}"), &DEADLY);
        fleet.run(700);
    }
    fleet.crash(0, "v0", &["early", "own"]);
    fleet.run(700);
    fleet.crash(0, "v1", &["early", "own"]);
    fleet.run(700);
    fleet.leader = EvidenceCollector::default();
    fleet.term = 2;
    fleet.run(500);
    assert_eq!(fleet.quarantined(&DEADLY), [true; 3]);
    fleet.crash(1, "v2", &["early", "own"]);
    fleet.run(700);
    assert_eq!(fleet.quarantined(&["early", "own"]), [true; 3]);
    fleet.hosts.push(PartMonitor::new(0));
    fleet.run(200);
    assert_eq!(fleet.quarantined(&DEADLY), [true; 4]);
}

#[test]
fn a_host_judges_by_its_own_evidence_while_no_leader_answers() {
    let mut host = PartMonitor::new(0);
    host.adopt(Instant(10_000), None);
    for index in 0..3 {
        let at = Instant(11_000 + index * 1_000);
        host.record_crash(at, "h", format!("u{index}"), DEADLY);
        host.requeue_evidence();
    }
    assert_eq!(host.quarantined(Instant(13_600), DEADLY), None);
    let changes = host.judge_alone(Instant(13_600));
    assert_eq!(names(&changes), ["deadly"]);
    assert!(host.quarantined(Instant(13_600), DEADLY).is_some());
    let (verdict, _) = EvidenceCollector::default().exchange(
        Instant(500),
        7,
        "h",
        &host.take_evidence(Instant(14_000)),
    );
    host.adopt(Instant(14_000), verdict);
    assert!(host.quarantined(Instant(14_000), DEADLY).is_some());
}

/// The exchange must cost nothing while no engine crashes.
#[test]
fn nothing_is_sent_while_no_engine_crashes() {
    let mut host = PartMonitor::new(0);
    let mut leader = EvidenceCollector::default();
    for at in (10_000..20_000).step_by(100) {
        host.record_success(Instant(at), SOUND);
        let evidence = host.take_evidence(Instant(at));
        assert!(evidence.successes.is_empty() && evidence.crashes.is_empty());
        let (verdict, _) = leader.exchange(Instant(at), 1, "h", &evidence);
        assert_eq!(verdict, None::<Verdict>);
    }
}

/// A host must not lose the deadly request among many at the same crashed engine.
#[test]
fn a_host_reports_the_deadly_part_of_a_crash_with_many_neighbours() {
    let mut monitor = PartMonitor::new(0);
    let now = Instant(10_000);
    monitor.record_crash(now, "h", "u", ["first", "deadly", "own"]);
    for index in 0..64 {
        monitor.record_crash(now, "h", "u", ["first".to_owned(), format!("own{index}")]);
    }
    let evidence = monitor.take_evidence(now + 100);
    let crashes = evidence.crashes.iter();
    let mut suspects = crashes.flat_map(|crash| &crash.suspects);
    assert!(suspects.any(|suspect| suspect.part == "deadly"));
}

/// Ordinary crashes of many engines must not make the leader forget those of a deadly part.
#[test]
fn the_death_of_many_engines_does_not_clear_a_deadly_part() {
    let mut quarantine = PartQuarantine::default();
    let mut now = Instant(10_000);
    for index in 0..5 {
        now = now + 1_000;
        if index > 0 {
            for engine in 0..64 {
                let part = format!("own{index}-{engine}");
                quarantine.record_crash(now, "h", &crash(&format!("d{index}-{engine}"), &[&part]));
            }
            now = now + 1_000;
        }
        quarantine.record_crash(now, "h", &crash(&format!("u{index}"), &["first", "deadly"]));
        let part = "first".to_owned();
        quarantine.record_success(now + 100, &Success { part, age_ms: 0 });
        quarantine.judge(now + SETTLE_MS);
    }
    assert!(quarantine.left_ms(now, "deadly", 0).is_some());
}

/// Two deadly parts behind one first part: the first part, with whole answers in between, must not
/// be quarantined in their place.
#[test]
fn two_deadly_parts_do_not_convict_their_shared_first_part() {
    let mut quarantine = PartQuarantine::default();
    let mut now = Instant(10_000);
    let whole = |quarantine: &mut PartQuarantine, now| {
        let part = "first".to_owned();
        quarantine.record_success(now, &Success { part, age_ms: 0 });
    };
    for (index, deadly) in ["p", "q", "p"].iter().enumerate() {
        now = now + 250;
        quarantine.record_crash(now, "h", &crash(&format!("u{index}"), &["first", deadly]));
        if index == 0 {
            // Just before the second crash.
            whole(&mut quarantine, now + 100);
        }
    }
    now = now + 250;
    quarantine.record_crash(now, "h", &crash("u3", &["first", "q"]));
    now = now + SETTLE_MS;
    quarantine.judge(now);
    assert_eq!(quarantine.left_ms(now, "first", 0), None);
    for (index, deadly) in ["p", "q"].iter().enumerate() {
        now = now + 250;
        quarantine.record_crash(now, "h", &crash(&format!("v{index}"), &["first", deadly]));
    }
    let changes = quarantine.judge(now + SETTLE_MS);
    assert_eq!(names(&changes), ["q", "p"]);
}

/// A deadly first part must not go free because a rarer part behind it is chosen each time.
#[test]
fn a_deadly_first_part_with_several_sessions_is_quarantined() {
    let mut quarantine = PartQuarantine::default();
    let mut now = Instant(10_000);
    for index in 0..9 {
        now = now + 1_000;
        let session = format!("s{}", index / 3);
        quarantine.record_crash(
            now,
            "h",
            &crash(&format!("u{index}"), &["deadly", &session]),
        );
        quarantine.judge(now + SETTLE_MS);
    }
    assert!(quarantine.left_ms(now, "deadly", 0).is_some());
}

/// The same, with a whole answer before it became deadly: later, but still found.
#[test]
fn a_first_part_that_becomes_deadly_is_quarantined_despite_several_sessions() {
    let mut quarantine = PartQuarantine::default();
    let mut now = Instant(10_000);
    for index in 0..12 {
        now = now + 1_000;
        let session = format!("s{}", index / 3);
        let crash = crash(&format!("u{index}"), &["deadly", &session]);
        quarantine.record_crash(now, "h", &crash);
        let earlier = Success {
            age_ms: now.since(Instant(5_000)),
            ..success("deadly")
        };
        quarantine.record_success(now, &earlier);
        quarantine.judge(now + SETTLE_MS);
    }
    assert!(quarantine.left_ms(now, "deadly", 0).is_some());
}

/// A deadly part must be found wherever it stands, here behind sixteen sound ones.
#[test]
fn a_deadly_part_deep_in_a_prompt_is_quarantined() {
    let mut monitor = PartMonitor::new(0);
    let mut now = Instant(10_000);
    let mut prompt: Vec<String> = (0..16).map(|index| format!("part{index}")).collect();
    prompt.extend(["deadly".to_owned(), "own".to_owned()]);
    for index in 0..8 {
        now = now + 1_000;
        monitor.record_success(now, prompt[..16].iter().chain([&"x".to_owned()]));
        monitor.record_crash(now + 100, "h", format!("u{index}"), &prompt);
    }
    now = now + 2_000;
    monitor.judge_alone(now);
    // A sound prompt with the same sixteen parts must be admitted, and the deadly one refused.
    let sound: Vec<String> = prompt[..16]
        .iter()
        .cloned()
        .chain(["x".to_owned()])
        .collect();
    assert_eq!(monitor.quarantined(now, &sound), None);
    assert!(monitor.quarantined(now, &prompt).is_some());
}

/// Long prompts must not make evidence grow without limit, nor may a report exceed a message.
#[test]
fn evidence_on_long_prompts_is_bounded() {
    let mut monitor = PartMonitor::new(0);
    let now = Instant(10_000);
    for index in 0..600 {
        let parts = (0..300).map(|part| format!("{index}-{part}"));
        monitor.record_crash(now + index, "h", format!("u{}", index / 3), parts);
    }
    let size = format!("{monitor:?}").len();
    assert!(size < 2 << 20, "{size} bytes");
    let mut crashes = 0;
    loop {
        let evidence = monitor.take_evidence(now + 1_000);
        if evidence.crashes.is_empty() {
            break;
        }
        crashes += evidence.crashes.len();
        let suspects: usize = evidence.crashes.iter().map(|c| c.suspects.len()).sum();
        assert!((1..=2_304).contains(&suspects), "{suspects} suspects");
    }
    assert_eq!(crashes, 64);
}

/// Engines that die a quarter of a second apart must not cut off the callers of a part that is in
/// use on each of them and had a whole answer just before.
#[test]
fn engines_that_die_one_after_another_do_not_convict_a_part_in_use() {
    let mut quarantine = PartQuarantine::default();
    let mut now = Instant(10_000);
    for index in 0..3 {
        now = now + 250;
        let crash = crash(&format!("u{index}"), &["common", &format!("own{index}")]);
        quarantine.record_crash(now, "h", &crash);
        if index == 0 {
            let part = "common".to_owned();
            // Reported late: it ended just before the crash.
            quarantine.record_success(now, &Success { part, age_ms: 10 });
        }
    }
    quarantine.judge(now + SETTLE_MS);
    assert_eq!(quarantine.left_ms(now, "common", 0), None);
}

/// Whole answers with a part that is much in use must not flood the leader after a crash.
#[test]
fn a_host_reports_the_whole_answers_of_a_part_a_few_times_a_second() {
    let mut monitor = PartMonitor::new(0);
    let suspected = vec!["common".to_owned()];
    let verdict = Verdict {
        suspected,
        ..Verdict::default()
    };
    monitor.adopt(Instant(10_000), Some(verdict));
    let mut reports = 0;
    for tenth in 1..=10 {
        let now = Instant(10_000 + tenth * 100);
        monitor.record_success(now, ["common", "own"]);
        reports += monitor.take_evidence(now).successes.len();
    }
    assert!((3..=4).contains(&reports), "{reports}");
}
