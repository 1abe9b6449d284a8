//! Tests of the age of weights versions across restarts of every voter.

use std::collections::BTreeMap;

use coordination::state_machine::Command;
use coordination::state_machine::StateMachine;
use coordination::version_history::VersionHistory;
use state::naming::Namings;
use state::naming::Time;
use state::time::Instant;

const LIMIT_MS: u64 = 20_000;
const MODEL: &str = "m";
const NAMED: Time = Time {
    log_time_ms: 5_000,
    unix_ms: 1_700_000_000_000,
};

fn name(version: u64) -> Command {
    Command::Weights {
        model: MODEL.to_owned(),
        version,
    }
}

fn later(log_ms: u64, unix_ms: u64) -> Time {
    Time {
        log_time_ms: NAMED.log_time_ms + log_ms,
        unix_ms: NAMED.unix_ms + unix_ms,
    }
}

/// Returns the history of a voter that has just started with the replicated state.
fn restarted(machine: &StateMachine, time: Time) -> VersionHistory {
    let mut history = VersionHistory::new(LIMIT_MS);
    history.record_namings(Instant(0), time, machine.namings());
    history
}

fn min_version(history: &VersionHistory, at: u64) -> Option<u64> {
    let min = history.min_versions(Instant(at), history.begin_margin_ms());
    min.get(MODEL).copied()
}

/// Requests began on weights replaced 42 s before, because all voters had started again and counted
/// the age of the newer version from then on.
#[test]
fn the_age_of_a_version_outlives_a_restart_of_all_voters() {
    let mut machine = StateMachine::default();
    machine.apply_stamped(NAMED, &name(2));
    let snapshot = machine.snapshot().unwrap();
    let restored = StateMachine::restore(&snapshot).unwrap();
    assert_eq!(restored, machine);
    // Log time stands still while no voter leads.
    let history = restarted(&restored, later(0, 42_000));
    assert_eq!(min_version(&history, 0), Some(2));
    let history = restarted(&restored, later(0, 10_000));
    assert_eq!(min_version(&history, 0), None);
    assert_eq!(history.expiry(MODEL, 1), Some(Instant(10_000)));
}

#[test]
fn the_age_of_a_version_is_replayed_from_the_log() {
    let entry = name(2).encode_stamped(NAMED.unix_ms).unwrap();
    let (command, unix_ms) = Command::decode_stamped(entry).unwrap();
    assert_eq!((&command, unix_ms), (&name(2), NAMED.unix_ms));
    let mut machine = StateMachine::default();
    machine.apply_stamped(NAMED, &command);
    let history = restarted(&machine, later(0, 42_000));
    assert_eq!(min_version(&history, 0), Some(2));
}

#[test]
fn log_time_counts_where_the_time_of_day_has_jumped_back() {
    let mut machine = StateMachine::default();
    machine.apply_stamped(NAMED, &name(2));
    let jumped = Time {
        log_time_ms: NAMED.log_time_ms + 18_000,
        unix_ms: NAMED.unix_ms - 5_000,
    };
    assert_eq!(min_version(&restarted(&machine, jumped), 0), Some(2));
}

/// A jump of the time of day must not expire versions whose age this host has counted itself.
#[test]
fn a_version_that_is_known_ages_by_the_clock_of_its_host() {
    let mut machine = StateMachine::default();
    machine.apply_stamped(NAMED, &name(2));
    let mut history = restarted(&machine, later(0, 100));
    history.record_namings(Instant(50), later(0, 60_000), machine.namings());
    assert_eq!(history.expiry(MODEL, 1), Some(Instant(LIMIT_MS - 100)));
}

#[test]
fn a_version_is_named_once_and_lower_ones_are_ignored() {
    let mut namings = Namings::default();
    namings.record(MODEL, 3, NAMED);
    namings.record(MODEL, 3, later(5_000, 5_000));
    namings.record(MODEL, 2, later(6_000, 6_000));
    let ages = namings.ages(later(9_000, 9_000));
    assert_eq!(
        ages,
        BTreeMap::from([(MODEL.to_owned(), BTreeMap::from([(3, 9_000)]))])
    );
}

/// Data folders that were written before versions had times must still be read.
#[test]
fn entries_and_snapshots_without_times_are_read() {
    let old_entry = name(2).encode().unwrap();
    assert_eq!(Command::decode_stamped(old_entry).unwrap(), (name(2), 0));
    let mut machine = StateMachine::default();
    machine.apply(5, &name(2));
    let old_snapshot = postcard::to_stdvec(&machine).unwrap();
    let restored = StateMachine::restore(old_snapshot).unwrap();
    assert_eq!(restored.routed(), machine.routed());
    assert_eq!(**restored.namings(), Namings::default());
}

/// A version before this one reads an entry or a snapshot as far as it knows it.
#[test]
fn times_stand_behind_what_earlier_versions_read() {
    let entry = name(2).encode_stamped(NAMED.unix_ms).unwrap();
    assert_eq!(Command::decode(entry).unwrap(), name(2));
    let mut machine = StateMachine::default();
    machine.apply_stamped(NAMED, &name(2));
    let old: StateMachine = postcard::from_bytes(&machine.snapshot().unwrap()).unwrap();
    assert_eq!(old.routed(), machine.routed());
}

/// With a limit of 6 s, a margin of 4 s took every engine off work 2 s after a version was named,
/// before the fleet could have loaded it.
#[test]
fn the_margin_before_the_expiry_follows_from_the_limit() {
    let margin_ms = |limit_ms| VersionHistory::new(limit_ms).begin_margin_ms();
    assert_eq!(margin_ms(6_000), 1_500);
    assert_eq!(margin_ms(8_000), 2_000);
    assert_eq!(margin_ms(15_000), 3_750);
    assert_eq!(margin_ms(20_000), 4_000);
    assert_eq!(margin_ms(60_000), 4_000);
}
