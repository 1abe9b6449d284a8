//! Clients that edit, read and order under a schedule, and the rules that their history must obey.

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
const HOLD: u64 = 600;
const KEYS: [&str; 3] = ["a", "b", "c"];
const PATIENCE: u64 = 250;
const ROWS: [&str; 2] = ["r0", "r1"];

#[derive(Clone, Debug)]
pub enum Input {
    Begin(&'static str, u128),
    Edit(&'static str, u64, u64),
    Finish(&'static str, u64, Outcome),
    Read,
}

#[derive(Clone, Debug)]
pub enum Output {
    Answer(Answer),
    Read(Sheetful),
}

/// Shows the revision of the table and the revision and weight of each row.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct Sheetful {
    revision: u64,
    rows: BTreeMap<&'static str, (u64, u64)>,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
enum Call {
    Done(u64),
    Free(u64),
    Running(Option<u64>, u128),
    Unknown(Option<u64>),
}

struct Open {
    id: u64,
    request: Request,
    resend: u64,
}

#[derive(Default)]
struct Client {
    next: Option<Input>,
    open: Option<Open>,
}

/// Runs clients against a group and keeps their history.
pub struct Clients {
    clients: Vec<Client>,
    event: u64,
    pub operations: Vec<Operation<Input, Output>>,
    seen: BTreeMap<&'static str, u64>,
    pub sends: BTreeMap<&'static str, u64>,
}

impl Clients {
    pub fn new() -> Self {
        Self {
            clients: (0..CLIENTS).map(|_| Client::default()).collect(),
            event: 0,
            operations: Vec::new(),
            seen: BTreeMap::new(),
            sends: BTreeMap::new(),
        }
    }

    /// Takes in replies and sends what is due; new operations start only while `fresh`.
    pub fn step(&mut self, sim: &mut Sim, fresh: bool) {
        for (id, reply) in std::mem::take(&mut sim.replies) {
            self.take(sim, id, reply);
        }
        for client in 0..self.clients.len() {
            if self.clients[client].open.is_none() && (fresh || self.clients[client].next.is_some())
            {
                self.call(sim, client);
            }
            self.send(sim, client);
        }
    }

    pub fn idle(&self) -> bool {
        let idle = |client: &Client| client.open.is_none() && client.next.is_none();
        self.clients.iter().all(idle)
    }

    /// Checks the history.
    pub fn check(&self) -> Result<(), String> {
        if let Some((key, count)) = self.sends.iter().find(|(_, count)| **count > 1) {
            return Err(format!("call {key} was sent {count} times"));
        }
        let table = |input: &Input| matches!(input, Input::Edit(..) | Input::Read);
        let start = Sheetful::default();
        if !check::is_linearizable(start, &self.only(table), edited) {
            return Err("table history has no sequential order".to_owned());
        }
        for key in KEYS {
            let own = |input: &Input| match input {
                Input::Begin(name, _) | Input::Finish(name, ..) => *name == key,
                Input::Edit(..) | Input::Read => false,
            };
            let operations = with_lapsed(self.only(own));
            if !check::is_linearizable(Call::Free(0), &operations, called) {
                return Err(format!("ledger history of {key} has no sequential order"));
            }
        }
        Ok(())
    }

    fn only(&self, keep: impl Fn(&Input) -> bool) -> Vec<Operation<Input, Output>> {
        let kept = self.operations.iter().filter(|o| keep(&o.input));
        kept.cloned().collect()
    }

    fn call(&mut self, sim: &mut Sim, client: usize) {
        if sim.rng.random_bool(0.75) {
            return;
        }
        let next = self.clients[client].next.take();
        let input = next.unwrap_or_else(|| self.choose(sim));
        let id = self.operations.len() as u64 + 1;
        self.event += 1;
        self.operations.push(Operation {
            called: self.event,
            input: input.clone(),
            returned: None,
        });
        self.clients[client].open = Some(Open {
            id,
            request: request(id, &input),
            resend: 0,
        });
    }

    fn choose(&self, sim: &mut Sim) -> Input {
        let row = ROWS[sim.rng.random_range(0..ROWS.len())];
        let key = KEYS[sim.rng.random_range(0..KEYS.len())];
        match sim.rng.random_range(0..10) {
            0..4 => {
                let revision = self.seen.get(row).copied().unwrap_or(0);
                Input::Edit(row, revision, sim.rng.random_range(1..100))
            }
            4..6 => Input::Read,
            _ => Input::Begin(key, sim.rng.random()),
        }
    }

    fn send(&mut self, sim: &mut Sim, client: usize) {
        let Some(open) = &mut self.clients[client].open else {
            return;
        };
        if sim.now >= open.resend {
            open.resend = sim.now + PATIENCE;
            let host = sim.rng.random_range(0..sim.hosts.len());
            let host = sim
                .leader()
                .filter(|_| sim.rng.random_bool(0.5))
                .unwrap_or(host);
            sim.request(host, open.id, open.request.clone());
        }
    }

    fn take(&mut self, sim: &mut Sim, id: u64, reply: Reply) {
        let waits = |c: &Client| c.open.as_ref().is_some_and(|o| o.id == id);
        let Some(client) = self.clients.iter().position(waits) else {
            return;
        };
        let output = match reply {
            Reply::Answer(answer) => Output::Answer(answer),
            Reply::Read(machine) => Output::Read(sheetful(machine.table())),
            Reply::Refused => return,
        };
        self.clients[client].open = None;
        self.event += 1;
        let operation = &mut self.operations[id as usize - 1];
        operation.returned = Some((self.event, output.clone()));
        let input = operation.input.clone();
        self.learn(sim, client, input, output);
    }

    fn learn(&mut self, sim: &mut Sim, client: usize, input: Input, output: Output) {
        match (input, output) {
            (Input::Begin(key, _), Output::Answer(Answer::Begin(Decision::Run(attempt)))) => {
                let outcome = match sim.rng.random_range(0..10) {
                    0..2 => return,
                    2..4 => Outcome::NotRun,
                    _ => {
                        *self.sends.entry(key).or_default() += 1;
                        Outcome::Done(answer_of(attempt.0))
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
                self.seen.insert(row, revision);
            }
            _ => {}
        }
    }
}

/// Adds an asking without an answer for each that was told "unknown": its own attempt may have
/// lapsed before a copy of it was answered, which makes two steps of one asking.
fn with_lapsed(mut operations: Vec<Operation<Input, Output>>) -> Vec<Operation<Input, Output>> {
    let unknown = Answer::Begin(Decision::Unknown);
    let told = |o: &&Operation<Input, Output>| match &o.returned {
        Some((_, Output::Answer(answer))) => *answer == unknown,
        _ => false,
    };
    let lapsed = operations.iter().filter(told).cloned();
    let lapsed: Vec<_> = lapsed
        .map(|o| Operation {
            returned: None,
            ..o
        })
        .collect();
    operations.extend(lapsed);
    operations
}

fn answer_of(attempt: u64) -> Response {
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
        Input::Begin(name, owner) => Command::Begin(Intent {
            digest: Digest::of(&[name.as_bytes()]),
            timeout_ms: HOLD,
            key: key(name),
            intent_id: *owner,
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

fn sheetful(table: &table::Table) -> Sheetful {
    let row = |name: &&'static str| {
        let row = table.get(Sheet::Kinds, *name)?;
        Some((*name, (row.revision, row.number(Column::Weight)?)))
    };
    Sheetful {
        revision: table.revision(),
        rows: ROWS.iter().filter_map(row).collect(),
    }
}

fn edited(state: &Sheetful, input: &Input, output: Option<&Output>) -> Vec<Sheetful> {
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
        Some(Output::Answer(Answer::Edit(Err(table::Error::Conflict { found: told, .. })))) => {
            found != expected && found == *told
        }
        Some(_) => false,
    };
    fits.then_some(next).into_iter().collect()
}

fn called(state: &Call, input: &Input, output: Option<&Output>) -> Vec<Call> {
    let next = match (input, output) {
        (Input::Begin(_, owner), output) => begun(state, *owner, output),
        (Input::Finish(_, attempt, outcome), Some(Output::Answer(Answer::Finish(told)))) => (*told
            == Settlement::Recorded)
            .then(|| finished(state, *attempt, outcome))
            .flatten(),
        (Input::Finish(_, attempt, outcome), None) => finished(state, *attempt, outcome),
        _ => None,
    };
    next.into_iter().collect()
}

fn begun(state: &Call, owner: u128, output: Option<&Output>) -> Option<Call> {
    let decision = match output {
        Some(Output::Answer(Answer::Begin(decision))) => Some(decision),
        _ => None,
    };
    match (state, decision) {
        (Call::Done(_), None) => Some(state.clone()),
        (Call::Done(attempt), Some(Decision::Replay(response))) => {
            (*response == answer_of(*attempt)).then(|| state.clone())
        }
        (Call::Free(_), None) => Some(Call::Running(None, owner)),
        (Call::Free(_), Some(Decision::Stale)) => Some(state.clone()),
        (Call::Free(last), Some(Decision::Run(attempt))) => {
            (attempt.0 > *last).then_some(Call::Running(Some(attempt.0), owner))
        }
        (Call::Running(known, by), Some(Decision::Run(attempt))) => {
            let same = known.is_none_or(|known| known == attempt.0);
            (*by == owner && same).then_some(Call::Running(Some(attempt.0), owner))
        }
        (Call::Running(known, by), Some(Decision::Running(attempt))) => {
            let same = known.is_none_or(|known| known == attempt.0);
            (*by != owner && same).then_some(Call::Running(Some(attempt.0), *by))
        }
        (Call::Running(known, _), Some(Decision::Unknown)) => Some(Call::Unknown(*known)),
        (Call::Running(..) | Call::Unknown(_), None) => Some(state.clone()),
        (Call::Unknown(_), Some(Decision::Unknown)) => Some(state.clone()),
        _ => None,
    }
}

fn finished(state: &Call, attempt: u64, outcome: &Outcome) -> Option<Call> {
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
