//! Finds the upstream of a routed request, and waits until one has room for a long prompt.

use std::net::SocketAddr;
use std::time::Duration;

use crate::context::Context;
use crate::gateway::Gateway;
use crate::gateway::RoutedRequest;
use crate::gateway_attempt;
use crate::gateway_retry::Progress;
use crate::routing_snapshot::Snapshot;
use coordination::assignment::Request;
use coordination::choice::Choice;
use coordination::choice::Refusal;
use coordination::demand::Demand;
use transport::event;
use transport::event::Event;
use transport::metric;

/// Bounds the time for which the leading host is asked for an engine; it answers within a round
/// trip and a turn of its thread, and choosing without it costs less than waiting longer.
const ASSIGN_LIMIT: Duration = Duration::from_millis(100);
/// Gives the time between two looks at whether an engine has room: an engine reads a piece of a
/// prompt in about twice that.
const ROOM_LOOK: Duration = Duration::from_millis(40);
/// Gives how long a request waits for room, as a multiple of the time in which its answer should
/// begin; callers leave at four times that, and reading takes about one.
const WAIT_GOALS: u64 = 1;
/// Gives the length from which a shared prompt is worth sending to the engine that has read it, in
/// tokens; shorter ones are read within a step of a batch.
const SHARED_TOKENS: u64 = 1_024;

/// Waits until an engine has room for a request, but only for as long as an answer is still worth
/// having, and returns where it goes.
pub async fn place(
    context: &Context,
    gateway: &Gateway,
    routed: &RoutedRequest,
    progress: &Progress,
) -> Result<(Demand, Choice), Refusal> {
    loop {
        let demand = demand(context, gateway, routed, progress);
        let chosen = match assigned(context, gateway, &demand).await {
            Some(Ok(choice)) => Ok(choice),
            Some(Err(refusal @ (Refusal::Busy | Refusal::TooLate))) => Err(refusal),
            Some(Err(Refusal::NoUpstream)) | None => choose(context, gateway, &demand),
        };
        match chosen {
            Err(Refusal::Busy) if waits(context, routed) => tokio::time::sleep(ROOM_LOOK).await,
            Err(refusal) => return Err(refusal),
            Ok(choice) => return Ok((demand, choice)),
        }
    }
}

/// Returns what the leading host chooses for a long prompt, or nothing where it was not asked or
/// did not answer.
async fn assigned(
    context: &Context,
    gateway: &Gateway,
    demand: &Demand,
) -> Option<Result<Choice, Refusal>> {
    demand.shared_prefix.as_ref()?;
    let leader = gateway.routing.leader()?;
    let pool = context.pool.as_ref()?;
    let snapshot = gateway.routing.latest();
    let now = context.clock.now();
    let ask = Request {
        unusable: gateway
            .dispatcher()
            .unusable(now, &snapshot.fleet, &demand.service),
        demand: demand.clone(),
    };
    let client = pool.client(leader, None);
    let call = client.call(ASSIGN_LIMIT, |peer, call| async move {
        peer.assign(call, ask).await
    });
    let error = match call.await {
        Ok(Ok(assigned)) => {
            let outcome = match &assigned {
                Err(refusal) => <&str>::from(*refusal),
                Ok(_) => "assigned",
            };
            metrics::counter!(metric::ASSIGNMENTS, "outcome" => outcome).increment(1);
            return Some(assigned);
        }
        Ok(Err(rejection)) => rejection.to_string(),
        Err(error) => error.to_string(),
    };
    metrics::counter!(metric::ASSIGNMENTS, "outcome" => "unanswered").increment(1);
    let details = slog::o!("voter" => leader.to_string(), "error" => error);
    event::emit(&context.log, Event::AssignFailed, details);
    None
}

/// Returns whether some other upstream would take a request now.
pub fn is_offered(
    context: &Context,
    gateway: &Gateway,
    routed: &RoutedRequest,
    progress: &Progress,
) -> bool {
    let demand = demand(context, gateway, routed, progress);
    let snapshot = gateway.routing.latest();
    let now = context.clock.now();
    gateway
        .dispatcher()
        .can_place(now, &snapshot.fleet, &demand)
}

/// Returns whether a request may wait for room any longer.
fn waits(context: &Context, routed: &RoutedRequest) -> bool {
    let waited = context.clock.now().since(routed.arrived);
    waited < routed.route.first_byte_goal_ms * WAIT_GOALS
}

fn demand(
    context: &Context,
    gateway: &Gateway,
    routed: &RoutedRequest,
    progress: &Progress,
) -> Demand {
    let snapshot = gateway.routing.latest();
    let service = snapshot.index.service(&routed.service);
    let engine = service.is_some_and(|service| service.engine);
    let model = routed.facts.model.clone().filter(|_| engine);
    let newest = model.as_ref().and_then(|model| snapshot.weights.get(model));
    let now = context.clock.now();
    let waited = now.since(routed.arrived);
    let shared_prefix = shared(routed).filter(|_| progress.exact_weights.is_none());
    let connected = match shared_prefix {
        None => gateway
            .connection_pool
            .idle_addresses(gateway_attempt::limits(routed)),
        Some(_) => Vec::new(),
    };
    Demand {
        connected,
        domain: context.settings.failure_domain.clone(),
        exact_weights: progress.exact_weights,
        random: rand::random(),
        first_byte_left_ms: routed.route.first_byte_goal_ms.saturating_sub(waited),
        left_ms: routed.left_ms(now),
        memory_tokens: service.and_then(|service| service.memory_tokens),
        newest_weights: newest.copied().unwrap_or_default(),
        model,
        prompt_tokens: routed.facts.prompt_tokens,
        service: routed.service.clone(),
        shared_prefix,
        stores: stores(&snapshot),
        tried: progress.tried.clone(),
        isolated_workspace: routed
            .workspace
            .as_ref()
            .filter(|workspace| workspace.isolated)
            .map(|workspace| workspace.name.clone()),
    }
}

/// Returns the stores of cached prompts.
fn stores(snapshot: &Snapshot) -> Vec<SocketAddr> {
    let services = snapshot.index.table().services.iter();
    let stores = services.filter_map(|service| service.store.as_ref());
    stores.map(|store| store.address).collect()
}

/// Returns the last part of the prompt that other requests share and the tokens up to its end; the
/// very last part belongs to the request itself.
fn shared(routed: &RoutedRequest) -> Option<(String, u64)> {
    let parts = &routed.facts.parts;
    let (_, shared) = parts.split_last()?;
    let last = shared.last()?;
    let tokens = shared.iter().map(|part| part.tokens).sum();
    (tokens >= SHARED_TOKENS).then(|| (last.id.clone(), tokens))
}

fn choose(context: &Context, gateway: &Gateway, demand: &Demand) -> Result<Choice, Refusal> {
    let snapshot = gateway.routing.latest();
    let now = context.clock.now();
    gateway.dispatcher().choose(now, &snapshot.fleet, demand)
}
