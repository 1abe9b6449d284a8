//! Tables between hosts that do not vote.

use std::time::Duration;

use slog::Discard;
use slog::Logger;

use hibiscushoistd::settings::Settings;
use hibiscushoistd::voter_start;
use protocol::voter::TableUpdate;
use transport::clock::Clock;

/// Time after which a host without a table takes callers.
const TABLE_WAIT: Duration = Duration::from_secs(2);

/// All hosts start again while the voters are away: two that have no table ask each other, and have
/// to go on to one that has before callers come.
#[tokio::test]
async fn a_host_without_a_table_does_not_keep_another_that_has_none() {
    let text = "\
[daemon]
name = b
fleet = coast
failure_domain = north
roles = broker, entry

[entry]
listen = 127.0.0.1:0

[peer]
listen = 127.0.0.1:0
key = 00000000000000000000000000000000000000000000000000000000000000aa

[voters]
members = a@127.0.0.1:7000
";
    let settings = Settings::parse("b.ini", text).unwrap();
    let own = "127.0.0.1:7001".parse().unwrap();
    let log = Logger::root(Discard, slog::o!());
    let host = voter_start::start(&settings, own, None, Clock::default(), &log).unwrap();
    let told = tokio::time::timeout(TABLE_WAIT, host.spread(0)).await;
    assert!(matches!(told, Ok(TableUpdate::UpToDate)), "{told:?}");
}
