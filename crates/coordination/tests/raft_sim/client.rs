//! Clients that edit and read the table and begin calls, and the check of their history.

use std::collections::BTreeMap;

use rand::RngExt;

use super::Reply;
use super::Request;
use super::Sim;
use super::check;
use super::check::Operation;
use coordination::state_machine::Answer;
use coordination::state_machine::Command;
use state::column::Column;
use state::edit::Action;
use state::edit::Edit;
use state::ident::Digest;
use state::ledger::Attempt;
use state::ledger::CallKey;
use state::ledger::Decision;
use state::ledger::Intent;
use state::ledger::Outcome;
use state::ledger::Report;
use state::ledger::Response;
use state::ledger::Settlement;
use state::row::Name;
use state::sheet::Sheet;
use state::table;

const CLIENTS: usize = 4;
const CALL_TIMEOUT_MS: u64 = 600;
const KEYS: [&str; 3] = ["a", "b", "c"];
const RESEND_INTERVAL_MS: u64 = 250;
const ROWS: [&str; 2] = ["r0", "r1"];

/// Operation of a client.
#[derive(Clone, Debug)]
pub enum Input {
    /// Key of the call and id of the intent.
    Begin(&'static str, u128),
    /// Row, expected revision and new weight.
    Edit(&'static str, u64, u64),
    /// Key of the call, attempt and outcome.
    Finish(&'static str, u64, Outcome),
    Read,
}

/// Result of an operation.
#[derive(Clone, Debug)]
pub enum Output {
    Answer(Answer),
    Read(TableState),
}

/// Revision of the table, and revision and weight of each row: the sequential model of the table.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct TableState {
    revision: u64,
    rows: BTreeMap<&'static str, (u64, u64)>,
}

/// Sequential model of one call in the ledger.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
enum Call {
    /// Finished by this attempt.
    Done(u64),
    /// May begin again; holds the last attempt.
    Free(u64),
    /// In progress: the attempt, when it is known, and the id of its intent.
    Running(Option<u64>, u128),
    /// Ended without a known outcome: the attempt, when it is known.
    Unknown(Option<u64>),
}

/// An operation that waits for its reply.
struct PendingOperation {
    id: u64,
    request: Request,
    resend_at: u64,
}

/// A client, with the operation that must follow the present one.
#[derive(Default)]
struct Client {
    next: Option<Input>,
    pending: Option<PendingOperation>,
}

/// Clients of one group, and the history of their operations.
pub struct Clients {
    clients: Vec<Client>,
    event_count: u64,
    /// History of all operations; the request id is the index plus one.
    pub operations: Vec<Operation<Input, Output>>,
    seen_revisions: BTreeMap<&'static str, u64>,
    /// Number of times that each call was sent to its upstream.
    pub send_counts: BTreeMap<&'static str, u64>,
}

impl Clients {
    pub fn new() -> Self {
        Self {
            clients: (0..CLIENTS).map(|_| Client::default()).collect(),
            event_count: 0,
            operations: Vec::new(),
            seen_revisions: BTreeMap::new(),
            send_counts: BTreeMap::new(),
        }
    }

    /// Handles replies and resends what is due; new operations start only if `start_new`.
    pub fn step(&mut self, sim: &mut Sim, start_new: bool) {
        for (id, reply) in std::mem::take(&mut sim.replies) {
            self.on_reply(sim, id, reply);
        }
        for client in 0..self.clients.len() {
            if self.clients[client].pending.is_none()
                && (start_new || self.clients[client].next.is_some())
            {
                self.start_operation(sim, client);
            }
            self.send(sim, client);
        }
    }

    /// Returns whether no client has an operation in progress.
    pub fn idle(&self) -> bool {
        let idle = |client: &Client| client.pending.is_none() && client.next.is_none();
        self.clients.iter().all(idle)
    }

    /// Checks that no call was sent twice and that the history is linearizable.
    pub fn check(&self) -> Result<(), String> {
        if let Some((key, count)) = self.send_counts.iter().find(|(_, count)| **count > 1) {
            return Err(format!("call {key} was sent {count} times"));
        }
        let table = |input: &Input| matches!(input, Input::Edit(..) | Input::Read);
        let start = TableState::default();
        if !check::is_linearizable(start, &self.filtered(table), step_table) {
            return Err("history of the table is not linearizable".to_owned());
        }
        for key in KEYS {
            let own = |input: &Input| match input {
                Input::Begin(name, _) | Input::Finish(name, ..) => *name == key,
                Input::Edit(..) | Input::Read => false,
            };
            let operations = with_expired_attempts(self.filtered(own));
            if !check::is_linearizable(Call::Free(0), &operations, step_call) {
                return Err(format!("history of the call {key} is not linearizable"));
            }
        }
        Ok(())
    }

    fn filtered(&self, keep: impl Fn(&Input) -> bool) -> Vec<Operation<Input, Output>> {
        let kept = self.operations.iter().filter(|o| keep(&o.input));
        kept.cloned().collect()
    }

    fn start_operation(&mut self, sim: &mut Sim, client: usize) {
        if sim.rng.random_bool(0.75) {
            return;
        }
        let next = self.clients[client].next.take();
        let input = next.unwrap_or_else(|| self.random_input(sim));
        let id = self.operations.len() as u64 + 1;
        self.event_count += 1;
        self.operations.push(Operation {
            called: self.event_count,
            input: input.clone(),
            returned: None,
        });
        self.clients[client].pending = Some(PendingOperation {
            id,
            request: request(id, &input),
            resend_at: 0,
        });
    }

    fn random_input(&self, sim: &mut Sim) -> Input {
        let row = ROWS[sim.rng.random_range(0..ROWS.len())];
        let key = KEYS[sim.rng.random_range(0..KEYS.len())];
        match sim.rng.random_range(0..10) {
            0..4 => {
                let revision = self.seen_revisions.get(row).copied().unwrap_or(0);
                Input::Edit(row, revision, sim.rng.random_range(1..100))
            }
            4..6 => Input::Read,
            _ => Input::Begin(key, sim.rng.random()),
        }
    }

    fn send(&mut self, sim: &mut Sim, client: usize) {
        let Some(pending) = &mut self.clients[client].pending else {
            return;
        };
        if sim.now >= pending.resend_at {
            pending.resend_at = sim.now + RESEND_INTERVAL_MS;
            let host = sim.rng.random_range(0..sim.hosts.len());
            let host = sim
                .leader()
                .filter(|_| sim.rng.random_bool(0.5))
                .unwrap_or(host);
            sim.request(host, pending.id, pending.request.clone());
        }
    }

    fn on_reply(&mut self, sim: &mut Sim, id: u64, reply: Reply) {
        let waits = |c: &Client| c.pending.as_ref().is_some_and(|o| o.id == id);
        let Some(client) = self.clients.iter().position(waits) else {
            return;
        };
        let output = match reply {
            Reply::Answer(answer) => Output::Answer(answer),
            Reply::Read(machine) => Output::Read(table_state(machine.table())),
            Reply::Refused => return,
        };
        self.clients[client].pending = None;
        self.event_count += 1;
        let operation = &mut self.operations[id as usize - 1];
        operation.returned = Some((self.event_count, output.clone()));
        let input = operation.input.clone();
        self.on_output(sim, client, input, output);
    }

    fn on_output(&mut self, sim: &mut Sim, client: usize, input: Input, output: Output) {
        match (input, output) {
            (Input::Begin(key, _), Output::Answer(Answer::Begin(Decision::Run(attempt)))) => {
                let outcome = match sim.rng.random_range(0..10) {
                    0..2 => return,
                    2..4 => Outcome::NotRun,
                    _ => {
                        *self.send_counts.entry(key).or_default() += 1;
                        Outcome::Done(response_of(attempt.0))
                    }
                };
                self.clients[client].next = Some(Input::Finish(key, attempt.0, outcome));
            }
            (Input::Edit(row, ..), Output::Answer(Answer::Edit(result))) => {
                let revision = match result {
                    Ok(receipt) => receipt.revision,
                    Err(table::Error::Conflict { found, .. }) => found,
                    Err(_) => 0,
                };
                self.seen_revisions.insert(row, revision);
            }
            _ => {}
        }
    }
}

/// Adds an operation without a result for each that was answered "unknown".
///
/// A request may be delivered twice: the first copy begins an attempt that times out, and the
/// second one is answered "unknown". One operation then takes two steps of the model.
fn with_expired_attempts(
    mut operations: Vec<Operation<Input, Output>>,
) -> Vec<Operation<Input, Output>> {
    let unknown = Answer::Begin(Decision::Unknown);
    let is_unknown = |o: &&Operation<Input, Output>| match &o.returned {
        Some((_, Output::Answer(answer))) => *answer == unknown,
        _ => false,
    };
    let expired = operations.iter().filter(is_unknown).cloned();
    let expired: Vec<_> = expired
        .map(|o| Operation {
            returned: None,
            ..o
        })
        .collect();
    operations.extend(expired);
    operations
}

fn response_of(attempt: u64) -> Response {
    Response {
        body: attempt.to_le_bytes().to_vec(),
        ..Response::default()
    }
}

fn request(id: u64, input: &Input) -> Request {
    let key = |name: &str| CallKey {
        idempotency: name.to_owned(),
        workspace: "w".to_owned(),
    };
    Request::Command(match input {
        Input::Begin(name, intent_id) => Command::Begin(Intent {
            digest: Digest::of(&[name.as_bytes()]),
            timeout_ms: CALL_TIMEOUT_MS,
            key: key(name),
            intent_id: *intent_id,
        }),
        Input::Edit(row, revision, weight) => Command::Edit(edit(id, row, *revision, *weight)),
        Input::Finish(name, attempt, outcome) => Command::Finish(Report {
            attempt: Attempt(*attempt),
            key: key(name),
            outcome: outcome.clone(),
        }),
        Input::Read => return Request::Read,
    })
}

fn edit(id: u64, row: &str, if_revision: u64, weight: u64) -> Edit {
    let weight = weight.to_string();
    let action = match if_revision {
        0 => Action::Add(BTreeMap::from([
            (Column::Rank, "urgent".to_owned()),
            (Column::Weight, weight),
        ])),
        _ => Action::Set(BTreeMap::from([(Column::Weight, Some(weight))])),
    };
    Edit {
        action,
        author: "ana".to_owned(),
        if_revision,
        key: id.to_string(),
        name: Name {
            row: row.to_owned(),
            sheet: Sheet::Kinds,
        },
    }
}

fn table_state(table: &table::Table) -> TableState {
    let row = |name: &&'static str| {
        let row = table.get(Sheet::Kinds, *name)?;
        Some((*name, (row.revision, row.number(Column::Weight)?)))
    };
    TableState {
        revision: table.revision(),
        rows: ROWS.iter().filter_map(row).collect(),
    }
}

/// Returns the states that may follow an operation on the table, none if the output is wrong.
fn step_table(state: &TableState, input: &Input, output: Option<&Output>) -> Vec<TableState> {
    let (row, expected, weight) = match (input, output) {
        (Input::Edit(row, expected, weight), _) => (row, *expected, *weight),
        (_, Some(Output::Read(seen))) if seen != state => return Vec::new(),
        _ => return vec![state.clone()],
    };
    let found = state.rows.get(row).map_or(0, |(revision, _)| *revision);
    let mut next = state.clone();
    if found == expected {
        next.revision += 1;
        next.rows.insert(row, (next.revision, weight));
    }
    let fits = match output {
        None => true,
        Some(Output::Answer(Answer::Edit(Ok(receipt)))) => {
            found == expected && receipt.revision == next.revision
        }
        Some(Output::Answer(Answer::Edit(Err(table::Error::Conflict { found: seen, .. })))) => {
            found != expected && found == *seen
        }
        Some(_) => false,
    };
    fits.then_some(next).into_iter().collect()
}

/// Returns the states that may follow an operation on one call, none if the output is wrong.
fn step_call(state: &Call, input: &Input, output: Option<&Output>) -> Vec<Call> {
    let next = match (input, output) {
        (Input::Begin(_, intent_id), output) => step_begin(state, *intent_id, output),
        (Input::Finish(_, attempt, outcome), Some(Output::Answer(Answer::Finish(seen)))) => (*seen
            == Settlement::Recorded)
            .then(|| step_finish(state, *attempt, outcome))
            .flatten(),
        (Input::Finish(_, attempt, outcome), None) => step_finish(state, *attempt, outcome),
        _ => None,
    };
    next.into_iter().collect()
}

fn step_begin(state: &Call, intent_id: u128, output: Option<&Output>) -> Option<Call> {
    let decision = match output {
        Some(Output::Answer(Answer::Begin(decision))) => Some(decision),
        _ => None,
    };
    match (state, decision) {
        (Call::Done(_), None) => Some(state.clone()),
        (Call::Done(attempt), Some(Decision::Replay(response))) => {
            (*response == response_of(*attempt)).then(|| state.clone())
        }
        (Call::Free(_), None) => Some(Call::Running(None, intent_id)),
        (Call::Free(_), Some(Decision::Stale)) => Some(state.clone()),
        (Call::Free(last), Some(Decision::Run(attempt))) => {
            (attempt.0 > *last).then_some(Call::Running(Some(attempt.0), intent_id))
        }
        (Call::Running(known, running_id), Some(Decision::Run(attempt))) => {
            let same = known.is_none_or(|known| known == attempt.0);
            (*running_id == intent_id && same).then_some(Call::Running(Some(attempt.0), intent_id))
        }
        (Call::Running(known, running_id), Some(Decision::Running(attempt))) => {
            let same = known.is_none_or(|known| known == attempt.0);
            (*running_id != intent_id && same)
                .then_some(Call::Running(Some(attempt.0), *running_id))
        }
        (Call::Running(known, _), Some(Decision::Unknown)) => Some(Call::Unknown(*known)),
        (Call::Running(..) | Call::Unknown(_), None) => Some(state.clone()),
        (Call::Unknown(_), Some(Decision::Unknown)) => Some(state.clone()),
        _ => None,
    }
}

fn step_finish(state: &Call, attempt: u64, outcome: &Outcome) -> Option<Call> {
    let next = match outcome {
        Outcome::Done(_) => Call::Done(attempt),
        Outcome::NotRun => Call::Free(attempt),
        Outcome::Unknown => Call::Unknown(Some(attempt)),
    };
    let earlier = |newest: u64| *outcome == Outcome::NotRun && attempt < newest;
    match state {
        Call::Done(newest) | Call::Free(newest) if earlier(*newest) => return Some(state.clone()),
        Call::Running(Some(newest), _) | Call::Unknown(Some(newest)) if earlier(*newest) => {
            return Some(state.clone());
        }
        _ => {}
    }
    let current = match state {
        Call::Done(known) | Call::Free(known) => *known == attempt && *state == next,
        Call::Running(known, _) | Call::Unknown(known) => {
            known.is_none_or(|known| known == attempt)
        }
    };
    current.then_some(next)
}
