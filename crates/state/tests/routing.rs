//! Routed tables: checks, lookup, and replacement by version.

use std::sync::Arc;

use assert_matches::assert_matches;

use state::routing::Kind;
use state::routing::Route;
use state::routing::RoutingState;
use state::routing::Service;
use state::routing::Table;
use state::routing::TableError;
use state::routing::Target;
use state::routing::Workspace;
use state::routing_index::RoutingIndex;

fn route(host: &str, prefix: &str) -> Route {
    Route {
        attempt_limit: 2,
        max_event_gap_ms: 400,
        first_byte_goal_ms: 1_000,
        host: host.to_owned(),
        kind: Kind::Stream,
        prefix: prefix.to_owned(),
        public: false,
        rank: 0,
        resumable: true,
        targets: vec![Target {
            service: "engines".to_owned(),
            weight: 1,
        }],
        timeout_ms: 12_000,
    }
}

fn workspace(name: &str, key: &str) -> Workspace {
    Workspace {
        allotment: None,
        isolated: false,
        keys: vec![*blake3::hash(key.as_bytes()).as_bytes()],
        name: name.to_owned(),
        rank: 0,
    }
}

/// Returns the scopes in which `w1` and `w2` share cached parts, if these workspaces are isolated.
fn scopes(isolated: &[&str]) -> [Option<String>; 2] {
    let mut table = table(1);
    for workspace in &mut table.workspaces {
        workspace.isolated = isolated.contains(&workspace.name.as_str());
    }
    let index = RoutingIndex::new(Arc::new(table));
    ["k1", "k2"].map(|key| index.cache_scope(index.workspace(key)))
}

/// Guards against parts that a workspace left in the engines' memory before it became isolated, and
/// that others go on using.
#[test]
fn a_workspace_that_becomes_isolated_takes_its_earlier_parts_along() {
    assert_eq!(scopes(&[]), [None, None]);
    let [first, second] = scopes(&["w1"]);
    assert_eq!(first.as_deref(), Some("-w1"));
    assert!(second.is_some(), "the scope is the one before the change");
    assert_ne!(first, second);
    let [other_first, other_second] = scopes(&["w2"]);
    assert_ne!(other_first, second, "parts of w1 lie in its scope");
    assert_eq!(other_second.as_deref(), Some("-w2"));
    assert_eq!(scopes(&["w1", "w2"]).map(Option::unwrap), ["-w1", "-w2"]);
}

/// Guards against a request that was accepted before its workspace became isolated and is sent to
/// another engine afterwards.
#[test]
fn the_scope_of_a_request_follows_the_newest_table() {
    let mut isolated = table(2);
    isolated.workspaces[0].isolated = true;
    let index = RoutingIndex::new(Arc::new(isolated));
    let accepted = workspace("w1", "k1");
    assert_eq!(index.cache_scope(Some(&accepted)).as_deref(), Some("-w1"));
}

fn table(version: u64) -> Table {
    Table {
        routes: vec![route("h.example", "/a/"), route("h.example", "/a/b/")],
        services: vec![Service {
            connections: 10,
            engine: true,
            memory_tokens: None,
            name: "engines".to_owned(),
            store: None,
        }],
        version,
        workspaces: vec![workspace("w1", "k1"), workspace("w2", "k2")],
    }
}

#[test]
fn a_valid_table_passes() {
    assert_eq!(table(1).check(), Ok(()));
}

#[test]
fn each_error_of_a_table_is_reported() {
    let mut unknown_service = table(1);
    unknown_service.routes[0].targets[0].service = "gone".to_owned();
    assert_matches!(
        unknown_service.check(),
        Err(TableError::UnknownService { .. })
    );
    let mut duplicate_route = table(1);
    duplicate_route.routes[1].prefix = "/a/".to_owned();
    assert_matches!(
        duplicate_route.check(),
        Err(TableError::DuplicateRoute { .. })
    );
    let mut zero_weight = table(1);
    zero_weight.routes[0].targets[0].weight = 0;
    assert_matches!(zero_weight.check(), Err(TableError::ZeroWeight { .. }));
    let mut zero_timeout = table(1);
    zero_timeout.routes[0].timeout_ms = 0;
    assert_matches!(zero_timeout.check(), Err(TableError::ZeroTimeout { .. }));
    let mut shared_key = table(1);
    shared_key.workspaces[1].keys = shared_key.workspaces[0].keys.clone();
    assert_matches!(shared_key.check(), Err(TableError::DuplicateKey { .. }));
}

#[test]
fn the_route_with_the_longest_prefix_is_found() {
    let index = RoutingIndex::new(Arc::new(table(1)));
    let prefix = |host: &str, path: &str| index.route(host, path).map(|r| r.prefix.clone());
    assert_eq!(prefix("h.example", "/a/x"), Some("/a/".to_owned()));
    assert_eq!(prefix("H.Example", "/a/b/x"), Some("/a/b/".to_owned()));
    assert_eq!(prefix("h.example", "/b/x"), None);
    assert_eq!(prefix("other.example", "/a/x"), None);
}

/// Which requests may be late follows from the order in which a table ranks those of one service.
#[test]
fn a_route_is_patient_where_another_route_of_its_service_is_more_urgent() {
    let ranked = |prefix: &str, rank: u32, service: &str| {
        let mut route = route("h", prefix);
        route.rank = rank;
        route.targets[0].service = service.to_owned();
        route
    };
    let (quick, slow) = (ranked("/q/", 0, "engines"), ranked("/s/", 2, "engines"));
    let other = ranked("/o/", 2, "desk");
    let index = RoutingIndex::new(Arc::new(Table {
        routes: vec![quick.clone(), slow.clone(), other.clone()],
        ..table(1)
    }));
    assert!(index.is_patient(&slow, "engines"));
    assert!(!index.is_patient(&quick, "engines"));
    assert!(!index.is_patient(&other, "desk"), "no route is before it");
    assert!(!index.is_patient(&slow, "unknown"));
}

#[test]
fn a_key_belongs_to_one_workspace() {
    let index = RoutingIndex::new(Arc::new(table(1)));
    assert_eq!(index.workspace("k2").map(|w| w.name.as_str()), Some("w2"));
    assert!(index.workspace("k3").is_none());
}

#[test]
fn only_a_higher_version_replaces_a_table() {
    let mut state = RoutingState::default();
    let source = |text: &str| Arc::new(text.to_owned());
    assert!(state.replace(source("two"), Arc::new(table(2))));
    assert!(!state.replace(source("other"), Arc::new(table(2))));
    assert!(!state.replace(source("one"), Arc::new(table(1))));
    assert_eq!(*state.source, "two");
    assert!(state.replace(source("three"), Arc::new(table(3))));
    assert_eq!(state.table.version, 3);
}

#[test]
fn the_weights_version_never_decreases() {
    let mut state = RoutingState::default();
    state.raise_weights_version("m", 2);
    state.raise_weights_version("m", 1);
    assert_eq!(state.weights_versions["m"], 2);
}
