//! A change of the configuration isolates a workspace whose prompts are in the engines' memory.

use std::io;
use std::path::PathBuf;
use std::thread;
use std::time::Duration;

use crate::engine::Engine;
use crate::fleet::Fleet;
use crate::platform;
use crate::platform::Operator;
use crate::record::Record;
use crate::web;

/// More than `config_apply_ms`, after which a change is in force everywhere.
const APPLIED: Duration = Duration::from_secs(5);

/// Has `t1` send prompts, isolates it, and has `t2` send prompts with the same shared parts.
///
/// Without trouble `t1` is isolated from the start.
pub fn isolation_change(folder: PathBuf, record: &Record, trouble: bool) -> io::Result<bool> {
    let mut fleet = Fleet::new(folder, 3, 2)?;
    let mut engines = Vec::new();
    let mut entries = Vec::new();
    for number in 0..2 {
        let engine = Engine::new(format!("e-{number}"), record.clone());
        let address = fleet.outside(210 + number, 9000);
        let models = "{\"name\":\"m\",\"version\":1,\"adapters\":[]}";
        entries.push(platform::entry(&engine.id, "lm", address, 64, models));
        engine.serve(address)?;
        engines.push(engine);
    }
    platform::serve_list(fleet.outside(200, 8784), entries)?;
    for number in 0..fleet.machines.len() {
        fleet.start(number, true)?;
    }
    let mut operator = Operator::new(record.clone());
    let limit = Duration::from_secs(20);
    if !operator.replace(&fleet, 1, &configuration(1, !trouble), limit)
        || !platform::wait_until_ready(&fleet, record, limit)
    {
        return Err(io::Error::other("the fleet does not start"));
    }
    thread::sleep(APPLIED);
    let mut served = 0;
    for number in 0..8 {
        served += u32::from(ask(&fleet, record, number, "t1"));
    }
    if !operator.replace(&fleet, 2, &configuration(2, true), limit) {
        return Err(io::Error::other("the change is not acknowledged"));
    }
    thread::sleep(APPLIED);
    let before: Vec<usize> = engines.iter().map(|engine| engine.uses().len()).collect();
    for number in 8..16 {
        served += u32::from(ask(&fleet, record, number, "t2"));
    }
    let uses = engines.iter().zip(before);
    let uses = uses.flat_map(|(engine, before)| engine.uses().split_off(before));
    let shared = uses.filter(|found| found.maker != found.user).count();
    record.line(format!(
        "served: {served} of 16; parts of the isolated t1 that requests of t2 used: {shared}"
    ));
    if served < 16 {
        return Err(io::Error::other("not all requests were served"));
    }
    Ok(shared == 0)
}

/// Sends a prompt whose parts but the last are the same for all.
fn ask(fleet: &Fleet, record: &Record, number: usize, name: &str) -> bool {
    let id = format!("q-{number}");
    let key = format!("Bearer key-{name}");
    let parts = format!("5c1e07a2:800,91bd3f06:410,e44{number:05x}:250");
    let headers = [
        ("host", "h.example"),
        ("x-request-id", id.as_str()),
        ("x-model-id", "m"),
        ("x-token-usage", "1460,5"),
        ("x-prompt-prefix", parts.as_str()),
        ("x-deadline-ms", "6000"),
        ("authorization", key.as_str()),
    ];
    let gateways = fleet.gateways();
    let front = gateways[number % gateways.len()].front();
    let limit = Duration::from_secs(6);
    let answer = web::call(front, "POST", "/gen/a", &headers, b"prompt", limit);
    record.line(format!("{id} of {name}: {}", platform::told(&answer)));
    answer.is_ok_and(|message| message.status() == 200 && message.whole)
}

fn configuration(version: u64, isolated: bool) -> String {
    include_str!("tables/prompts.json")
        .replace("@VERSION@", &version.to_string())
        .replace("@ISOLATED@", &isolated.to_string())
}
