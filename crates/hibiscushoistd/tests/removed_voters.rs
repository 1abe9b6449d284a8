//! Real voters that are removed for good, one after another, each with an empty successor.

mod processes;

use std::process::Child;
use std::time::Duration;
use std::time::Instant;

use processes::Fleet;
use processes::POLL;
use processes::VOTERS;
use processes::WORKSPACE_KEY;
use rustix::process::Signal;
use serde_json::json;

use hibiscushoistd::auth;

/// Time from the start of a successor for which the voter before it counts as lost.
const CATCH_UP: Duration = Duration::from_secs(4);
const DISKLESS_HOSTS: usize = 2;
const REMOVALS: usize = 4;
/// Time from a removal until the successor starts.
const SUCCESSOR: Duration = Duration::from_millis(100);

/// Holds processes that are stopped, so that nothing answers at their addresses; ends them at last.
#[derive(Default)]
struct Gone(Vec<Child>);

impl Drop for Gone {
    fn drop(&mut self) {
        for child in &mut self.0 {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Returns the leader and the voters as a host sees them; nothing while it does not answer.
async fn group(fleet: &Fleet, place: usize) -> (Option<String>, Vec<String>) {
    let seen = fleet.get(place, "/admin/voters").await.unwrap_or_default();
    let members = seen["voters"].as_array().cloned().unwrap_or_default();
    let text = |member: &serde_json::Value| {
        let standing = member["standing"].as_str() == Some("voter");
        standing.then(|| member["name"].as_str().unwrap_or_default().to_owned())
    };
    let mut voters: Vec<String> = members.iter().filter_map(text).collect();
    voters.sort();
    (seen["leader"].as_str().map(str::to_owned), voters)
}

/// Waits until a host sees exactly the hosts at `places` vote, and returns the leader's name.
async fn until_voters(fleet: &Fleet, places: &[usize], limit: Duration) -> String {
    let mut expected: Vec<&str> = places.iter().map(|p| &*fleet.hosts[*p].name).collect();
    expected.sort_unstable();
    let start = Instant::now();
    let mut seen = (None, Vec::new());
    while start.elapsed() < limit {
        seen = group(fleet, places[0]).await;
        if let (Some(leader), voters) = &seen
            && *voters == expected
            && expected.contains(&&**leader)
        {
            return leader.clone();
        }
        tokio::time::sleep(POLL).await;
    }
    let logs: Vec<String> = places.iter().map(|p| fleet.log(*p)).collect();
    panic!(
        "after {limit:?} the group is {seen:?}, expected {expected:?}\n{}",
        logs.join("\n"),
    );
}

/// Guards against a group that ends because a voter is removed while the one before still counts:
/// each change waited for the host that was gone, and the first one for the failure detector.
#[tokio::test(flavor = "multi_thread")]
async fn a_removed_voter_is_replaced_while_it_counts_as_lost() {
    let voter_hosts = VOTERS + REMOVALS;
    let mut fleet = Fleet::prepare_voters(voter_hosts + DISKLESS_HOSTS, voter_hosts);
    let started = (0..VOTERS).chain(voter_hosts..voter_hosts + DISKLESS_HOSTS);
    started.for_each(|place| fleet.spawn(place));
    let mut voters: Vec<usize> = (0..VOTERS).collect();
    let mut leader = until_voters(&fleet, &voters, processes::LIMIT).await;
    fleet
        .add(
            "workspaces",
            "maps",
            json!({"key_hash": auth::hash(WORKSPACE_KEY)}),
        )
        .await;
    let mut gone = Gone::default();
    for removal in 0..REMOVALS {
        let leads = |place: &usize| fleet.hosts[*place].name == leader;
        let removed = voters
            .iter()
            .position(|place| leads(place) == (removal % 2 == 0));
        let removed = voters.remove(removed.expect("one leads and others follow"));
        fleet.signal(removed, Signal::STOP);
        gone.0.extend(fleet.release(removed));
        tokio::time::sleep(SUCCESSOR).await;
        let successor = VOTERS + removal;
        fleet.spawn(successor);
        let start = Instant::now();
        voters.push(successor);
        leader = until_voters(&fleet, &voters, CATCH_UP).await;
        tokio::time::sleep(CATCH_UP.saturating_sub(start.elapsed())).await;
    }
    fleet
        .add("models", "m", json!({"block_bytes": "64", "version": "v1"}))
        .await;
}
