//! Placement of a routed request: chooses its upstream, and waits while all engines are busy.

use std::net::SocketAddr;
use std::time::Duration;

use crate::context::Context;
use crate::gateway::Gateway;
use crate::gateway::RoutedRequest;
use crate::gateway_attempt;
use crate::gateway_retry::Progress;
use crate::gateway_room;
use crate::routing_snapshot::Snapshot;
use coordination::assignment::Request;
use coordination::choice::Choice;
use coordination::choice::Refusal;
use coordination::demand::Demand;
use coordination::prefill;
use coordination::queue::line::Urgency;
use coordination::queue::patience::Patience;
use transport::event;
use transport::event::Event;
use transport::metric;

/// Timeout of a call that asks the leader for an engine. The leader answers within a round trip and
/// one turn of its thread; choosing without it costs less than a longer wait.
const ASSIGN_TIMEOUT: Duration = Duration::from_millis(100);
/// Longest time for which the leader keeps a request until an engine has room for it, in
/// milliseconds; a request waits as long for a leader that is gone.
const MAX_HOLD_MS: u64 = 200;
/// Pause between two placement attempts while all engines are busy and no leader keeps the request;
/// the prefill of one chunk takes about twice as long.
const BUSY_PAUSE: Duration = Duration::from_millis(40);
/// Random addition to a `Retry-After` at the end of a pause, at most, as a divisor of the pause.
const PAUSE_JITTER_DIVISOR: u64 = 4;
/// Upper limit of that addition, in milliseconds; callers have waited long enough by then.
const MAX_PAUSE_JITTER_MS: u64 = 1_500;
/// Least length of a shared prefix for which the leader assigns an engine, in tokens; the prefill
/// of a shorter prefix fits in one step of a batch.
const MIN_SHARED_PREFIX_TOKENS: u64 = 1_024;
/// Least length of a shared prefix for which a host prefers the same engines by itself, in tokens:
/// several blocks of an engine's memory.
const MIN_SHORT_PREFIX_TOKENS: u64 = 256;

/// Chooses the upstream of a request. While all engines are busy, waits as long as the answer can
/// still be useful to the caller.
///
/// # Errors
///
/// Returns why no upstream can take the request.
pub async fn place(
    context: &Context,
    gateway: &Gateway,
    routed: &RoutedRequest,
    progress: &Progress,
) -> Result<(Demand, Choice), Refusal> {
    let mut is_repeat = false;
    loop {
        let mut demand = demand(context, gateway, routed, progress);
        if prefill::is_too_large(&demand) {
            return Err(Refusal::TooLarge);
        }
        if has_line(gateway, &demand)
            && gateway_room::wait(context, gateway, routed, progress, &demand).await?
        {
            demand = self::demand(context, gateway, routed, progress);
        }
        let asked_at = context.clock.now();
        let asked = ask_leader(context, gateway, routed, &demand, is_repeat).await;
        is_repeat |= asked.is_some();
        let chosen = match asked {
            // The engine may have asked for no requests while the leader chose it.
            Some(Ok(choice)) if !is_held(context, gateway, &choice) => Ok(choice),
            Some(Ok(_) | Err(Refusal::NoUpstream | Refusal::Paused)) | None => {
                choose_locally(context, gateway, &demand)
            }
            Some(Err(refusal)) => Err(refusal),
        };
        match chosen {
            Err(Refusal::Busy) if may_wait(context, routed, &demand, 0) => {
                let asked_ms = context.clock.now().since(asked_at);
                let pause = BUSY_PAUSE.saturating_sub(Duration::from_millis(asked_ms));
                tokio::time::sleep(pause).await;
            }
            Err(Refusal::Paused) if ends_in_time(context, gateway, routed, &demand) => {
                tokio::time::sleep(BUSY_PAUSE).await;
            }
            Err(refusal) => return Err(refusal),
            Ok(choice) => return Ok((demand, choice)),
        }
    }
}

/// Asks the leader for the engine of a request with a long shared prefix. Returns `None` if the
/// request has no such prefix, no leader is known, or the leader does not answer.
async fn ask_leader(
    context: &Context,
    gateway: &Gateway,
    routed: &RoutedRequest,
    demand: &Demand,
    is_repeat: bool,
) -> Option<Result<Choice, Refusal>> {
    demand.shared_prefix.as_ref()?;
    let leader = gateway.routing.leader()?;
    let pool = context.pool.as_ref()?;
    let snapshot = gateway.routing.latest();
    let now = context.clock.now();
    let waited_ms = now.since(routed.arrived);
    let patience = patience(routed, demand.is_patient);
    let max_wait_ms = patience.wait_left_ms(waited_ms).min(MAX_HOLD_MS);
    let timeout = ASSIGN_TIMEOUT + Duration::from_millis(max_wait_ms);
    let mut unusable = gateway
        .dispatcher()
        .unusable(now, &snapshot.fleet, &demand.service);
    if demand.runs_once {
        unusable.extend(gateway.dispatcher().suspected());
    }
    let request = Request {
        digest: routed.digest.short(),
        is_repeat,
        max_wait_ms,
        patience,
        request_id: routed.request_head.request_id.clone(),
        rank: rank(routed),
        waited_ms,
        unusable,
        workspace: routed
            .workspace
            .as_ref()
            .map(|workspace| workspace.name.clone()),
        demand: demand.clone(),
    };
    let client = pool.client(leader, None);
    let call = client.call(timeout, |peer, call| async move {
        peer.assign(call, request).await
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

/// Returns the rank of a request: that of its workspace, or else that of its route.
fn rank(routed: &RoutedRequest) -> u32 {
    let workspace = routed.workspace.as_ref();
    workspace.map_or(routed.route.rank, |workspace| workspace.rank)
}

/// Returns whether an upstream that has not been tried can take a request now.
pub fn has_alternative(
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

/// Returns whether a request may wait longer for a free engine, for `wait_ms` or more.
fn may_wait(context: &Context, routed: &RoutedRequest, demand: &Demand, wait_ms: u64) -> bool {
    let waited_ms = context.clock.now().since(routed.arrived);
    wait_ms < patience(routed, demand.is_patient).wait_left_ms(waited_ms)
}

/// Returns how long a request may wait.
fn patience(routed: &RoutedRequest, is_patient: bool) -> Patience {
    Patience {
        goal_ms: routed.route.first_byte_goal_ms,
        is_patient,
    }
}

/// Returns whether an upstream may take the request again while the caller can still use the
/// answer. A caller that is refused needs another connection and comes back later than that.
fn ends_in_time(
    context: &Context,
    gateway: &Gateway,
    routed: &RoutedRequest,
    demand: &Demand,
) -> bool {
    let snapshot = gateway.routing.latest();
    let now = context.clock.now();
    let left_ms = gateway
        .dispatcher()
        .pause_left_ms(now, &snapshot.fleet, demand);
    left_ms.is_some_and(|left_ms| {
        left_ms < demand.left_ms && may_wait(context, routed, demand, left_ms)
    })
}

/// Returns whether the chosen upstream has asked for no requests.
fn is_held(context: &Context, gateway: &Gateway, choice: &Choice) -> bool {
    let now = context.clock.now();
    gateway.dispatcher().is_held(now, &choice.upstream)
}

/// Returns the time after which the caller of a refused request may come back: `min_ms` or, if all
/// upstreams have asked for a pause, the end of the first pause. Callers that were refused during a
/// pause must not all come back at its end.
pub fn retry_after_ms(
    context: &Context,
    gateway: &Gateway,
    routed: &RoutedRequest,
    min_ms: u64,
) -> u64 {
    let demand = demand(context, gateway, routed, &Progress::default());
    let snapshot = gateway.routing.latest();
    let now = context.clock.now();
    let pause_ms = gateway
        .dispatcher()
        .pause_left_ms(now, &snapshot.fleet, &demand);
    let Some(pause_ms) = pause_ms else {
        return min_ms;
    };
    let max_jitter_ms = (pause_ms / PAUSE_JITTER_DIVISOR).min(MAX_PAUSE_JITTER_MS);
    let jitter_ms = rand::random_range(0..=max_jitter_ms);
    pause_ms.saturating_add(jitter_ms).max(min_ms)
}

/// Returns what the dispatcher and the leader need to know of a request to choose its upstream.
fn demand(
    context: &Context,
    gateway: &Gateway,
    routed: &RoutedRequest,
    progress: &Progress,
) -> Demand {
    let snapshot = gateway.routing.latest();
    let service = snapshot.index.service(&routed.service);
    let engine = service.is_some_and(|service| service.engine);
    let model = routed.request_head.model.clone().filter(|_| engine);
    let newest = model.as_ref().and_then(|model| snapshot.weights.get(model));
    let now = context.clock.now();
    let versions = gateway.versions();
    let min_weights = versions.min_versions(now, versions.begin_margin_ms());
    drop(versions);
    let min_weights = model.as_ref().and_then(|model| min_weights.get(model));
    let waited_ms = now.since(routed.arrived);
    let prefix = shared_prefix(routed).filter(|_| progress.exact_weights.is_none());
    let is_long = |(_, tokens): &(String, u64)| *tokens >= MIN_SHARED_PREFIX_TOKENS;
    let short_prefix = prefix.clone().filter(|prefix| !is_long(prefix));
    let shared_prefix = prefix.filter(is_long);
    let is_patient =
        shared_prefix.is_some() && snapshot.index.is_patient(&routed.route, &routed.service);
    let connected = match shared_prefix {
        None => gateway
            .connection_pool
            .idle_addresses(gateway_attempt::connection_limits(routed)),
        Some(_) => Vec::new(),
    };
    Demand {
        answer_tokens: routed.request_head.answer_tokens,
        connected,
        domain: context.settings.failure_domain.clone(),
        exact_weights: progress.exact_weights,
        random: rand::random(),
        first_byte_left_ms: patience(routed, is_patient).first_byte_left_ms(
            waited_ms,
            0,
            Urgency::Calm,
        ),
        is_patient,
        left_ms: routed.left_ms(now),
        memory_tokens: service.and_then(|service| service.memory_tokens),
        min_weights: min_weights.copied().unwrap_or_default(),
        newest_weights: newest.copied().unwrap_or_default(),
        model,
        prompt_tokens: routed.request_head.prompt_tokens,
        runs_once: !routed.route.is_repeatable(),
        service: routed.service.clone(),
        shared_prefix,
        short_prefix,
        stores: stores(&snapshot),
        tried: progress.tried.clone(),
        cache_scope: snapshot.index.cache_scope(routed.workspace.as_ref()),
    }
}

/// Returns the addresses of the stores of cached prefixes.
fn stores(snapshot: &Snapshot) -> Vec<SocketAddr> {
    let services = snapshot.index.table().services.iter();
    let stores = services.filter_map(|service| service.store.as_ref());
    stores.map(|store| store.address).collect()
}

/// Returns the ID and the length in tokens of the prefix that the request shares with others: all
/// parts of the prompt but the last, which belongs to this request alone.
fn shared_prefix(routed: &RoutedRequest) -> Option<(String, u64)> {
    let parts = &routed.request_head.parts;
    let (_, shared) = parts.split_last()?;
    let last = shared.last()?;
    let tokens = shared.iter().map(|part| part.tokens).sum();
    (tokens >= MIN_SHORT_PREFIX_TOKENS).then(|| (last.id.clone(), tokens))
}

/// Returns whether a request waits in a line of this host while all upstreams are full.
fn has_line(gateway: &Gateway, demand: &Demand) -> bool {
    gateway.dispatcher().has_line(demand)
}

/// Chooses an upstream with the observations of this host alone.
fn choose_locally(
    context: &Context,
    gateway: &Gateway,
    demand: &Demand,
) -> Result<Choice, Refusal> {
    let snapshot = gateway.routing.latest();
    let now = context.clock.now();
    gateway.dispatcher().choose(now, &snapshot.fleet, demand)
}
