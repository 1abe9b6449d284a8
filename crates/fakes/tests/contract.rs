//! Checks that the fake engine and service meet their contracts, and that a client sees each
//! injected fault as the failure that it imitates.

mod common;

use assert_matches::assert_matches;
use common::PROMPT;
use common::limits;
use common::load_order;
use common::read_answer;
use common::request;
use common::start_engine;
use tokio::time::Duration;

use fakes::engine::Faults;
use fakes::service::Fault;
use fakes::service::Service;
use protocol::engine;
use protocol::engine::Change;
use protocol::engine::Code;
use protocol::engine::Finish;
use protocol::refusal::NotRun;
use state::ident::Incarnation;
use transport::engine::Client;
use transport::engine::Item;
use transport::service::Call;
use transport::service::PreparedCall;
use transport::upstream::EngineIdentity;
use transport::upstream::Error;
use transport::upstream::Limits;

#[tokio::test]
async fn an_answer_has_every_offset_a_finish_reason_and_an_end_marker() {
    let (engine, client) = start_engine(|_| {}).await;
    let (answer, error) = read_answer(&client, &request("w", PROMPT)).await;
    assert!(error.is_none(), "{error:?}");
    assert_eq!(answer.text, engine.text(PROMPT, 0, 8));
    assert_eq!(answer.offsets, (0..=8).collect::<Vec<_>>());
    assert_eq!(answer.finish, Some(Finish::Length));
    assert!(answer.ended);
    let usage = engine::Usage {
        cached_blocks: 0,
        prompt_blocks: 2,
    };
    assert_eq!(answer.usage, Some(usage));
}

/// Retries in the middle of a stream rely on engines that give the same text for the same prompt.
#[tokio::test]
async fn an_answer_resumes_at_an_offset_on_another_engine() {
    let (first, _) = start_engine(|_| {}).await;
    let (_second, client) = start_engine(|_| {}).await;
    let mut request = request("w", PROMPT);
    request.resume = Some(engine::Resume {
        offset: 3,
        text: first.text(PROMPT, 0, 3),
    });
    let (answer, error) = read_answer(&client, &request).await;
    assert!(error.is_none(), "{error:?}");
    assert_eq!(answer.text, first.text(PROMPT, 3, 8));
    assert_eq!(answer.offsets, (3..=8).collect::<Vec<_>>());
}

/// An engine that accepted it would continue the answer of another request.
#[tokio::test]
async fn a_resume_with_text_of_another_answer_is_refused() {
    let (_engine, client) = start_engine(|_| {}).await;
    let mut request = request("w", PROMPT);
    request.resume = Some(engine::Resume {
        offset: 1,
        text: "of another answer".to_owned(),
    });
    let error = read_answer(&client, &request).await.1;
    let code = match error {
        Some(Error::Refused { refusal, .. }) => refusal.code,
        other => panic!("{other:?}"),
    };
    assert_eq!(code, Code::BadRequest);
}

#[tokio::test]
async fn each_stream_fault_reaches_the_client_as_its_own_failure() {
    struct Case {
        ended: bool,
        error: Option<&'static str>,
        fault: fn(&mut Faults),
        offsets: &'static [u64],
    }
    let cases = [
        Case {
            ended: false,
            error: Some("cut"),
            fault: |f| f.disconnect_at = Some(2),
            offsets: &[0, 1],
        },
        Case {
            ended: false,
            error: Some("idle"),
            fault: |f| f.stall_at = Some(2),
            offsets: &[0, 1],
        },
        Case {
            ended: false,
            error: None,
            fault: |f| f.omit_end = true,
            offsets: &[0, 1, 2, 3, 4, 5, 6, 7],
        },
        Case {
            ended: true,
            error: None,
            fault: |f| f.skip_at = Some(2),
            offsets: &[0, 1, 3, 4, 5, 6, 7, 8],
        },
        Case {
            ended: true,
            error: None,
            fault: |f| f.repeat_at = Some(2),
            offsets: &[0, 1, 2, 2, 3, 4, 5, 6, 7, 8],
        },
    ];
    for case in cases {
        let (engine, client) = start_engine(|_| {}).await;
        engine.update_faults(case.fault);
        let (answer, error) = read_answer(&client, &request("w", PROMPT)).await;
        let name = error.map(|error| match error {
            Error::Disconnected { .. } => "cut",
            Error::InactivityTimeout { .. } => "idle",
            _ => "other",
        });
        assert_eq!((answer.ended, name), (case.ended, case.error));
        assert_eq!(answer.offsets, case.offsets);
    }
}

#[tokio::test]
async fn the_wrong_id_fault_puts_another_id_into_each_piece() {
    let (engine, client) = start_engine(|_| {}).await;
    engine.update_faults(|f| f.wrong_id = true);
    let (answer, _) = read_answer(&client, &request("w", PROMPT)).await;
    assert!(
        answer.ids.iter().all(|id| id == "not-a-1"),
        "{:?}",
        answer.ids
    );
}

/// Guards against a leak between workspaces: the second caller sends the block hashes of the first,
/// so that a cache keyed by the sent hash alone would hit.
#[tokio::test]
async fn workspaces_share_no_cached_block_under_equal_hashes() {
    let (engine, client) = start_engine(|_| {}).await;
    read_answer(&client, &request("w", PROMPT)).await;
    let mut other_workspace = request("w", PROMPT);
    other_workspace.cache.salt = "x".to_owned();
    read_answer(&client, &other_workspace).await;
    assert_eq!(engine.counts().prefilled_blocks, 4);
}

#[tokio::test]
async fn prompts_with_a_common_prefix_share_its_blocks() {
    let (_engine, client) = start_engine(|_| {}).await;
    read_answer(&client, &request("w", &PROMPT[..32])).await;
    let longer = format!("{}another block...and a tail", &PROMPT[..32]);
    let (answer, _) = read_answer(&client, &request("w", &longer)).await;
    let usage = engine::Usage {
        cached_blocks: 2,
        prompt_blocks: 3,
    };
    assert_eq!(answer.usage, Some(usage));
}

/// Routers rebuild the cache from events: numbers must have no gap, a child must name its parent,
/// and eviction must take the last block of the chain first.
#[tokio::test]
async fn events_list_stored_and_evicted_blocks_in_order() {
    let (_engine, client) = start_engine(|o| o.cache_blocks = 2).await;
    let prompt = "0123456789abcdef".repeat(3);
    let request = request("w", &prompt);
    read_answer(&client, &request).await;
    let events = client.events(0).await.unwrap();
    let numbered_changes: Vec<_> = events.events.iter().map(|e| (e.seq, e.change)).collect();
    let expected = [
        (1, Change::Stored),
        (2, Change::Stored),
        (3, Change::Stored),
        (4, Change::Evicted),
    ];
    assert_eq!(numbered_changes, expected);
    let hashes = &request.cache.blocks;
    assert_eq!(events.events[1].block, Some(hashes[1]));
    assert_eq!(events.events[1].parent, Some(hashes[0]));
    assert_eq!(events.events[3].block, Some(hashes[2]));
    assert_eq!((events.newest, events.incarnation), (4, Incarnation(1)));
    let snapshot = client.snapshot().await.unwrap();
    let cached: Vec<_> = snapshot.blocks.iter().map(|e| e.block).collect();
    assert_eq!(cached, hashes[..2]);
    assert_eq!(snapshot.seq, 4);
}

/// A reader detects lost events by the gap and has to fetch a snapshot.
#[tokio::test]
async fn lost_events_leave_a_gap_in_the_numbers() {
    let (engine, client) = start_engine(|_| {}).await;
    engine.update_faults(|f| f.drop_every_nth_event = 2);
    let prompt = "0123456789abcdef".repeat(3);
    read_answer(&client, &request("w", &prompt)).await;
    let events = client.events(0).await.unwrap();
    let numbers: Vec<_> = events.events.iter().map(|e| e.seq).collect();
    assert_eq!(numbers, [1, 3]);
}

#[tokio::test]
async fn a_crash_empties_the_cache_and_starts_a_new_incarnation() {
    let (engine, client) = start_engine(|_| {}).await;
    read_answer(&client, &request("w", PROMPT)).await;
    engine.crash();
    let snapshot = loop {
        match client.snapshot().await {
            Ok(snapshot) => break snapshot,
            Err(_) => tokio::time::sleep(Duration::from_millis(5)).await,
        }
    };
    assert_eq!(snapshot.incarnation, Incarnation(2));
    assert_eq!((snapshot.seq, snapshot.blocks.len()), (0, 0));
}

#[tokio::test]
async fn a_poison_prompt_crashes_the_engine() {
    let (engine, client) = start_engine(|_| {}).await;
    engine.update_faults(|f| f.poison = Some("0123".to_owned()));
    let error = read_answer(&client, &request("w", PROMPT)).await.1;
    assert_matches!(error, Some(Error::Disconnected { .. }));
    assert_eq!(engine.counts().crashes, 1);
}

/// The engine restarted after the request was placed, so its cache is not the one that was planned
/// for.
#[tokio::test]
async fn an_unexpected_incarnation_fails_the_attempt_before_any_piece() {
    let (_engine, client) = start_engine(|_| {}).await;
    let planned = EngineIdentity {
        incarnation: Incarnation(7),
        version: "v1".to_owned(),
    };
    let request = request("w", PROMPT);
    let error = client.complete(&request, Some(&planned)).await.unwrap_err();
    assert_matches!(error, Error::Mismatch { found, .. } if found.incarnation == Incarnation(1));
}

#[tokio::test]
async fn a_load_order_changes_the_version_and_empties_the_cache() {
    let (_engine, client) = start_engine(|_| {}).await;
    read_answer(&client, &request("w", PROMPT)).await;
    let state = client.order(&load_order(3, "v2")).await.unwrap();
    assert_eq!((state.version.as_str(), state.fence), ("v2", 3));
    let events = client.events(2).await.unwrap();
    assert_eq!(events.events[0].change, Change::Cleared);
    assert_eq!(client.snapshot().await.unwrap().blocks, []);
}

#[tokio::test]
async fn checks_fence_decides_whether_a_stale_fencing_token_is_refused() {
    for (checks_fence, refused) in [(true, true), (false, false)] {
        let (_engine, client) = start_engine(|o| o.checks_fence = checks_fence).await;
        client.order(&load_order(3, "v2")).await.unwrap();
        match client.order(&load_order(2, "v3")).await {
            Err(Error::Refused { refusal, .. }) if refused => {
                assert_eq!((refusal.code, refusal.fence), (Code::StaleFence, Some(3)));
            }
            other => assert!(!refused, "{other:?}"),
        }
    }
}

#[tokio::test]
async fn load_reports_are_as_old_as_their_delay() {
    let (engine, client) = start_engine(|o| o.token_time = Duration::from_millis(200)).await;
    client.load().await.unwrap();
    engine.update_faults(|f| f.load_report_delay = Duration::from_secs(60));
    let request = request("w", PROMPT);
    let mut stream = client.complete(&request, None).await.unwrap();
    stream.next().await.unwrap();
    let load = client.load().await.unwrap();
    assert_eq!((load.running, load.age_ms), (0, 60_000));
    engine.update_faults(|f| f.load_report_delay = Duration::ZERO);
    let load = client.load().await.unwrap();
    assert_eq!((load.running, load.age_ms), (1, 0));
}

/// The background request arrives first, and both wait for the only slot.
#[tokio::test]
async fn urgent_requests_leave_the_queue_first() {
    let (engine, client) = start_engine(|o| {
        o.slots = 1;
        o.token_time = Duration::from_millis(5);
    })
    .await;
    let slot_holder = request("w", PROMPT);
    let mut held_stream = client.complete(&slot_holder, None).await.unwrap();
    held_stream.next().await.unwrap();
    let mut order = Vec::new();
    let mut tasks = tokio::task::JoinSet::new();
    for (waiting, priority) in [(1, 1), (2, 0)] {
        let mut request = request("w", &format!("priority {priority}"));
        request.priority = priority;
        tasks.spawn(async move {
            read_answer(&client, &request).await;
            priority
        });
        while client.load().await.unwrap().waiting < waiting {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    }
    drop(held_stream);
    while let Some(done) = tasks.join_next().await {
        order.push(done.unwrap());
    }
    assert_eq!(order, [0, 1]);
    assert_eq!(engine.counts().started_prompts, 3);
}

#[tokio::test]
async fn a_cancel_ends_an_answer_and_frees_its_slot() {
    let (engine, client) = start_engine(|o| o.token_time = Duration::from_secs(60)).await;
    let request = request("w", PROMPT);
    let mut stream = client.complete(&request, None).await.unwrap();
    assert_eq!(stream.next().await.unwrap(), Some(Item::Heartbeat));
    assert!(client.cancel("a-1").await.unwrap().answer.found);
    loop {
        match stream.next().await.unwrap() {
            Some(Item::Heartbeat) => {}
            Some(Item::Piece(piece)) => break assert_eq!(piece.finish, Some(Finish::Cancelled)),
            other => panic!("{other:?}"),
        }
    }
    assert_eq!(client.load().await.unwrap().running, 0);
    assert!(!client.cancel("b").await.unwrap().answer.found);
    drop(engine);
}

#[tokio::test]
async fn a_frozen_engine_times_out_and_answers_once_resumed() {
    let (engine, client) = start_engine(|_| {}).await;
    engine.set_frozen(true);
    let short_timeout = Limits {
        head_timeout: Duration::from_millis(50),
        ..limits()
    };
    let frozen = Client::new(engine.address(), short_timeout).load().await;
    assert_matches!(frozen, Err(Error::InactivityTimeout { .. }));
    engine.set_frozen(false);
    assert!(client.load().await.is_ok());
}

/// A client that took a stalled connection for a dead engine would give up an engine that works.
#[tokio::test]
async fn a_stalled_connection_times_out_while_new_connections_work() {
    let (engine, client) = start_engine(|o| o.token_time = Duration::from_millis(20)).await;
    let request = request("w", PROMPT);
    let mut stream = client.complete(&request, None).await.unwrap();
    stream.next().await.unwrap();
    engine.stall_connections();
    let error = loop {
        match stream.next().await {
            Ok(_) => {}
            Err(error) => break error,
        }
    };
    assert_matches!(error, Error::InactivityTimeout { .. });
    assert!(client.load().await.is_ok());
}

/// Returns the first attempt at an order.
fn call(order: &str) -> Call {
    Call {
        attempt: 1,
        body: "two rolls of hooks".into(),
        content_type: "text/plain".to_owned(),
        method: "POST".to_owned(),
        order_id: order.to_owned(),
        path: "/orders?dry=0".to_owned(),
    }
}

/// An order may be retried only when its first run is ruled out; when the answer is lost or never
/// comes, the outcome must stay unknown.
#[tokio::test]
async fn each_service_fault_reports_whether_the_order_ran() {
    struct Case {
        fault: Fault,
        outcome: Result<(u16, bool), NotRun>,
        runs: u64,
    }
    let cases = [
        Case {
            fault: Fault::None,
            outcome: Ok((200, false)),
            runs: 1,
        },
        Case {
            fault: Fault::Declines,
            outcome: Ok((503, true)),
            runs: 0,
        },
        Case {
            fault: Fault::Fails,
            outcome: Ok((500, false)),
            runs: 0,
        },
        Case {
            fault: Fault::HangsBefore,
            outcome: Err(NotRun::Unknown),
            runs: 0,
        },
        Case {
            fault: Fault::HangsAfter,
            outcome: Err(NotRun::Unknown),
            runs: 1,
        },
        Case {
            fault: Fault::LosesAnswer,
            outcome: Err(NotRun::Unknown),
            runs: 1,
        },
    ];
    for case in cases {
        let service = Service::start(([127, 0, 0, 1], 0).into()).await.unwrap();
        service.set_fault(case.fault);
        let short_timeout = Limits {
            head_timeout: Duration::from_millis(100),
            ..limits()
        };
        let prepared = PreparedCall::open(service.address(), call("o-1"), short_timeout).await;
        let outcome = match prepared.unwrap().send().await {
            Ok(answer) => Ok((answer.status, answer.not_run)),
            Err(error) => Err(error.not_run()),
        };
        assert_eq!(outcome, case.outcome, "{:?}", case.fault);
        let runs = service.runs().get("o-1").copied().unwrap_or(0);
        assert_eq!(runs, case.runs, "{:?}", case.fault);
    }
}

#[tokio::test]
async fn a_refused_connection_proves_that_nothing_ran() {
    let service = Service::start(([127, 0, 0, 1], 0).into()).await.unwrap();
    service.stop();
    let error = loop {
        match PreparedCall::open(service.address(), call("o-1"), limits()).await {
            Ok(_) => tokio::time::sleep(Duration::from_millis(5)).await,
            Err(error) => break error,
        }
    };
    assert_eq!(error.not_run(), NotRun::True);
    assert_eq!(service.calls(), 0);
}
