//! What operators ask for and change.

use std::collections::BTreeMap;

use serde_json::Value;

use crate::daemon::Daemon;
use crate::daemon::KEY;
use crate::daemon::run;
use crate::daemon::stderr;
use crate::daemon::stdout;
use protocol::operator::Failure;
use protocol::operator::FailureBody;
use protocol::operator::FailureKind;
use protocol::operator::RowView;
use protocol::operator::TableView;
use protocol::operator::Voter;
use protocol::operator::Voters;
use state::column::Column;
use state::edit::Edit;
use state::edit::Receipt;
use state::sheet::Sheet;

const EDITS: &str = "/admin/edits";
const TABLE: &str = "/admin/table";

fn listing() -> TableView {
    let cells = BTreeMap::from([(Column::Version, "v3".to_owned())]);
    let row = RowView {
        cells,
        revision: 7,
        row: "large".to_owned(),
        sheet: Sheet::Models,
    };
    TableView {
        revision: 9,
        rows: vec![row],
    }
}

fn failure(kind: FailureKind) -> FailureBody {
    let message = "the daemon says why".to_owned();
    FailureBody {
        error: Failure { kind, message },
    }
}

fn edits(daemon: &Daemon) -> Vec<Edit> {
    let seen = daemon.seen();
    let posts = seen.iter().filter(|request| request.path == EDITS);
    posts
        .map(|request| serde_json::from_str(&request.body).unwrap())
        .collect()
}

#[test]
fn get_prints_the_rows_lined_up() {
    let daemon = Daemon::new("get").reply(TABLE, 200, &listing());
    let output = daemon.run(&["table", "get"]);
    assert_eq!(
        stdout(&output),
        "table revision 9\n\n\
         sheet   row    revision  cells\n\
         models  large  7         version=v3\n"
    );
}

#[test]
fn get_prints_json() {
    let daemon = Daemon::new("get-json").reply(TABLE, 200, &listing());
    let output = daemon.run(&["table", "get", "models", "large", "--json"]);
    let printed: TableView = serde_json::from_str(&stdout(&output)).unwrap();
    assert_eq!(printed, listing());
}

#[test]
fn set_names_the_revision_that_it_read() {
    let daemon = Daemon::new("set").reply(TABLE, 200, &listing()).reply(
        EDITS,
        200,
        &Receipt { revision: 10 },
    );
    let output = daemon.run(&["table", "set", "models", "large", "version=v4", "adapter="]);
    assert_eq!(stdout(&output), "table revision 10\n");
    let edit = &edits(&daemon)[0];
    assert_eq!(edit.if_revision, 7);
    assert_eq!(edit.author, "dana");
    assert_eq!(
        serde_json::to_value(&edit.action).unwrap(),
        serde_json::json!({"set": {"adapter": null, "version": "v4"}})
    );
}

#[test]
fn a_lost_answer_is_asked_for_under_the_same_key() {
    let daemon = Daemon::new("lost")
        .lose(EDITS)
        .reply(EDITS, 504, &failure(FailureKind::OutcomeUnknown))
        .reply(EDITS, 200, &Receipt { revision: 10 });
    let words = ["table", "remove", "models", "large", "--if-revision", "7"];
    let output = daemon.run(&words);
    assert_eq!(stdout(&output), "table revision 10\n");
    let sent = edits(&daemon);
    assert_eq!(sent.len(), 3);
    assert!(sent.iter().all(|edit| edit == &sent[0]));
}

#[test]
fn an_edit_that_stays_unknown_says_how_to_send_it_again() {
    let daemon = Daemon::new("unknown").lose(EDITS);
    let words = [
        "table",
        "remove",
        "models",
        "large",
        "--if-revision",
        "7",
        "--edit-key",
        "k1",
    ];
    let output = daemon.run(&words);
    assert_eq!(output.status.code(), Some(7));
    assert!(
        stderr(&output).contains("--edit-key k1"),
        "{}",
        stderr(&output)
    );
}

#[test]
fn two_edits_have_two_keys() {
    let daemon = Daemon::new("keys").reply(EDITS, 200, &Receipt { revision: 1 });
    for _ in 0..2 {
        daemon.run(&["table", "add", "models", "large", "version=v1"]);
    }
    let sent = edits(&daemon);
    assert_ne!(sent[0].key, sent[1].key);
}

#[test]
fn failures_have_their_exit_codes() {
    let cases = [
        (FailureKind::BadRequest, 6),
        (FailureKind::Conflict, 5),
        (FailureKind::KeyReused, 6),
        (FailureKind::Unauthorized, 4),
        (FailureKind::Unknown, 6),
    ];
    for (kind, code) in cases {
        let daemon = Daemon::new(&format!("exit-{kind}"));
        let daemon = daemon.reply(EDITS, kind.status(), &failure(kind));
        let output = daemon.run(&["table", "add", "models", "large", "version=v1"]);
        assert_eq!(output.status.code(), Some(code), "{kind}");
        assert_eq!(stderr(&output), "hibiscushoist: the daemon says why\n");
        assert_eq!(edits(&daemon).len(), 1, "{kind}");
    }
}

#[test]
fn an_edit_that_was_not_accepted_is_tried_on() {
    let daemon = Daemon::new("quorum")
        .reply(EDITS, 503, &failure(FailureKind::QuorumAway))
        .reply(EDITS, 200, &Receipt { revision: 3 });
    let output = daemon.run(&["table", "add", "models", "large", "version=v1"]);
    assert_eq!(stdout(&output), "table revision 3\n");
}

#[test]
fn wrong_command_lines_exit_with_2_and_tell_what_to_do() {
    let cases: [(&[&str], &str); 8] = [
        (&[], "no command given"),
        (&["tabel"], "no command `tabel`"),
        (&["table"], "usage: hibiscushoist table get|set"),
        (
            &["table", "set", "models", "large"],
            "usage: hibiscushoist table get|set",
        ),
        (
            &["table", "add", "models", "m", "colour=red"],
            "`colour=red` is not COLUMN=VALUE",
        ),
        (
            &["table", "get", "modles"],
            "kinds, models, upstreams or workspaces",
        ),
        (
            &["status", "--server", "localhost"],
            "`localhost` is no address",
        ),
        (&["status", "--sever", "127.0.0.1:1"], "Unrecognized option"),
    ];
    let daemon = Daemon::new("usage");
    for (words, message) in cases {
        let output = match words {
            [] => run(words),
            _ => daemon.run(words),
        };
        assert_eq!(
            output.status.code(),
            Some(2),
            "{words:?}: {}",
            stderr(&output)
        );
        assert!(
            stderr(&output).contains(message),
            "{words:?}: {}",
            stderr(&output)
        );
    }
}

#[test]
fn a_missing_key_exits_with_4() {
    let output = run(&["status", "--server", "127.0.0.1:1"]);
    assert_eq!(output.status.code(), Some(4));
    assert!(stderr(&output).contains("HIBISCUSHOIST_KEY"));
}

#[test]
fn a_daemon_that_is_away_exits_with_3() {
    let daemon = Daemon::new("away");
    let address = daemon.address().to_string();
    daemon.stop();
    let key_file = format!("{}/away.key", env!("CARGO_TARGET_TMPDIR"));
    let output = run(&["status", "--server", &address, "--key-file", &key_file]);
    assert_eq!(output.status.code(), Some(3), "{}", stderr(&output));
}

#[test]
fn the_next_server_answers_when_the_first_is_away() {
    let daemon = Daemon::new("next").reply(TABLE, 200, &listing());
    let output = daemon.run(&["table", "get", "--server", "127.0.0.1:1"]);
    assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
}

#[test]
fn the_key_goes_into_the_header_and_nowhere_else() {
    let daemon = Daemon::new("secret").reply(TABLE, 401, &failure(FailureKind::Unauthorized));
    let output = daemon.run(&["table", "get"]);
    assert_eq!(daemon.seen()[0].authorization, format!("Bearer {KEY}"));
    assert!(!stdout(&output).contains(KEY));
    assert!(!stderr(&output).contains(KEY));
}

#[test]
fn key_prints_the_hash_of_the_key_in_a_file() {
    let daemon = Daemon::new("hash");
    let key_file = format!("{}/hash.key", env!("CARGO_TARGET_TMPDIR"));
    let output = run(&["key", "--key-file", &key_file]);
    let hash = blake3::hash(KEY.as_bytes()).to_hex();
    assert_eq!(stdout(&output), format!("{hash}\n"));
    drop(daemon);
}

#[test]
fn key_makes_a_fresh_one() {
    let made = || {
        let pair: Value = serde_json::from_str(&stdout(&run(&["key", "--json"]))).unwrap();
        let key = pair["key"].as_str().unwrap().to_owned();
        assert_eq!(pair["hash"], blake3::hash(key.as_bytes()).to_hex().as_str());
        key
    };
    assert_ne!(made(), made());
}

#[test]
fn voters_prints_who_leads() {
    let voters = Voters {
        committed: 12,
        leader: Some("a".to_owned()),
        term: 3,
        voters: vec![Voter {
            address: "127.0.0.1:9".to_owned(),
            identity: "00000000000000a1".to_owned(),
            matched: Some(11),
            name: "a".to_owned(),
            standing: "voter".to_owned(),
        }],
    };
    let daemon = Daemon::new("voters").reply("/admin/voters", 200, &voters);
    assert_eq!(
        stdout(&daemon.run(&["voters"])),
        "term 3, leader a, committed 12\n\n\
         voter  address      standing  matched\n\
         a      127.0.0.1:9  voter     11\n"
    );
}

#[test]
fn voters_are_added_and_removed_by_name() {
    let daemon = Daemon::new("voters-add").reply("/admin/voters", 200, &Voters::default());
    daemon.run(&["voters", "add", "h9", "192.0.2.9:7000"]);
    daemon.run(&["voters", "remove", "h1"]);
    let bodies = daemon.seen().into_iter().map(|request| request.body);
    assert_eq!(
        bodies.collect::<Vec<_>>(),
        [
            r#"{"add":{"address":"192.0.2.9:7000","name":"h9"}}"#,
            r#"{"remove":{"name":"h1"}}"#
        ]
    );
    let wrong = daemon.run(&["voters", "drop", "h1"]);
    assert_eq!(wrong.status.code(), Some(2));
}

#[test]
fn every_command_has_help_with_an_example() {
    let overview = stdout(&run(&["help"]));
    for command in [
        "addresses",
        "explain",
        "key",
        "load",
        "status",
        "table",
        "voters",
    ] {
        assert!(overview.contains(&format!("  {command} ")), "{command}");
        let page = stdout(&run(&["help", command]));
        assert!(page.contains("Examples:\n  hibiscushoist "), "{command}");
        assert_eq!(stdout(&run(&[command, "--help"])), page);
    }
}
