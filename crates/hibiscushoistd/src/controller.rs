//! Moves engines to what the table asks for, on the one host that holds the controller's lease.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::context::Context;
use crate::settings::Role;
use coordination::desired_state::DesiredState;
use coordination::engine_state;
use coordination::engine_state::EngineState;
use coordination::lease;
use coordination::rollout;
use coordination::rollout::Effect;
use coordination::rollout::Event;
use coordination::rollout::Reply;
use coordination::rollout::Rollout;
use coordination::rollout::Step;
use protocol::engine;
use protocol::engine::Code;
use state::column::Column;
use state::sheet::Sheet;
use transport::clock;
use transport::engine::Client;
use transport::event;
use transport::metric;
use transport::upstream::Error;
use transport::upstream::Limits;

const BODY_BYTES: usize = 64 << 10;
const CONNECT: Duration = Duration::from_millis(500);
const LEASE: &str = "controller";
const LEASE_MS: u64 = 10_000;
const LEASE_PERIOD: Duration = Duration::from_millis(3_000);
const ORDER_LIMIT: Duration = Duration::from_secs(60);
const READ_LIMIT: Duration = Duration::from_millis(rollout::CALL_TIMEOUT_MS);
const RING_EVENTS: usize = 1_024;
const TICK: Duration = Duration::from_millis(100);

/// Runs roll-outs whenever this host holds the lease, until the task is dropped.
pub async fn run(context: Arc<Context>) {
    if !competes(&context) {
        return;
    }
    let (sender, mut events) = mpsc::channel(RING_EVENTS);
    let mut controller = Controller {
        context: context.clone(),
        events: sender,
        holder: format!("{}#{}", context.settings.name, clock::wall_millis()),
        rollout: Rollout::default(),
    };
    let mut table = context.voter.table();
    controller.step(Event::Table(DesiredState::from_table(
        &table.borrow_and_update(),
    )));
    let mut lease_due = Instant::now();
    loop {
        if Instant::now() >= lease_due && !*context.draining.borrow() {
            lease_due = Instant::now() + LEASE_PERIOD;
            controller.ask_lease();
        }
        let event = tokio::select! {
            Some(event) = events.recv() => event,
            changed = table.changed() => {
                if changed.is_err() {
                    return;
                }
                Event::Table(DesiredState::from_table(&table.borrow_and_update()))
            }
            () = tokio::time::sleep(TICK) => Event::Tick,
        };
        controller.step(event);
    }
}

/// Returns whether this host may hold the lease: a voter, or a host that keeps the table alone.
fn competes(context: &Context) -> bool {
    let settings = &context.settings;
    settings.voters.is_empty() || settings.plays(Role::Voter)
}

struct Controller {
    context: Arc<Context>,
    events: mpsc::Sender<Event>,
    holder: String,
    rollout: Rollout,
}

impl Controller {
    fn step(&mut self, event: Event) {
        for effect in self.rollout.step(self.context.clock.now(), event) {
            match effect {
                Effect::Order {
                    action,
                    fence,
                    id,
                    upstream,
                } => {
                    let action = wire(action);
                    self.order(upstream, engine::Order { action, fence, id });
                }
                Effect::Read(upstream) => self.read(upstream),
                Effect::Report(step, upstream) => self.tell(step, upstream),
            }
        }
    }

    fn ask_lease(&self) {
        let context = self.context.clone();
        let events = self.events.clone();
        let ask = lease::Request {
            duration_ms: LEASE_MS,
            holder: self.holder.clone(),
            name: LEASE.to_owned(),
        };
        tokio::spawn(async move {
            let asked = context.clock.now();
            if let Ok(lease::Answer::Granted(grant)) = context.voter.lease(ask).await {
                let until = grant.expires_at(asked);
                let fence = grant.fence;
                let _ = events.send(Event::Leased { fence, until }).await;
            }
        });
    }

    fn client(&self, upstream: &str, head_timeout: Duration) -> Option<Client> {
        let table = self.context.table();
        let address = table
            .get(Sheet::Upstreams, upstream)?
            .address(Column::Address)?;
        let limits = Limits {
            body_limit: BODY_BYTES,
            connect_timeout: CONNECT,
            head_timeout,
            idle_timeout: READ_LIMIT,
        };
        Some(Client::new(address, limits))
    }

    fn order(&self, upstream: String, order: engine::Order) {
        let client = self.client(&upstream, ORDER_LIMIT);
        let events = self.events.clone();
        tokio::spawn(async move {
            let reply = match client {
                None => Reply::Unanswered,
                Some(client) => reply(&client.order(&order).await),
            };
            let _ = events.send(Event::Ordered { reply, upstream }).await;
        });
    }

    fn read(&self, upstream: String) {
        let client = self.client(&upstream, READ_LIMIT);
        let events = self.events.clone();
        tokio::spawn(async move {
            let state = match client {
                None => None,
                Some(client) => client.state().await.ok().map(read),
            };
            let _ = events.send(Event::Read { state, upstream }).await;
        });
    }

    fn tell(&self, step: Step, upstream: String) {
        let name: &'static str = step.into();
        metrics::counter!(metric::ROLLOUT_STEPS, "step" => name).increment(1);
        let event = match step {
            Step::Blocked => event::Event::RolloutBlocked,
            Step::Done => event::Event::RolloutDone,
            Step::Lost => event::Event::RolloutLost,
            Step::Ordered => event::Event::RolloutOrdered,
            Step::Refused => event::Event::RolloutRefused,
            Step::Stuck => event::Event::RolloutStuck,
        };
        let details = slog::o!("upstream" => upstream);
        event::emit(&self.context.log, event, details);
    }
}

fn read(standing: engine::State) -> EngineState {
    EngineState {
        adapter: standing.adapter,
        loading: standing.loading,
        model: standing.model,
        role: standing.role,
        version: standing.version,
    }
}

fn reply(answer: &Result<engine::State, Error>) -> Reply {
    match answer {
        Err(Error::Refused { refusal, .. }) if refusal.code == Code::StaleFence => Reply::Stale,
        Err(Error::Refused { .. }) => Reply::Refused,
        Err(_) => Reply::Unanswered,
        Ok(_) => Reply::Accepted,
    }
}

fn wire(action: engine_state::Action) -> engine::Action {
    match action {
        engine_state::Action::Load {
            adapter,
            model,
            version,
        } => engine::Action::Load {
            adapter,
            model,
            version,
        },
        engine_state::Action::Role(role) => engine::Action::Role(role),
    }
}
