//! Drives one order to a plain service, so that it runs at most once.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::timeout;

use crate::context::Context;
use coordination::order::Effect;
use coordination::order::Event;
use coordination::order::Order;
use coordination::order::Policy;
use coordination::order::Reply;
use state::ident::Digest;
use state::ledger::Attempt;
use state::ledger::CallKey;
use state::ledger::Response;
use state::time::Instant;
use transport::metric;
use transport::service::Call;
use transport::service::PreparedCall;
use transport::upstream::Limits;

/// Describes an order.
#[derive(Clone, Debug)]
pub struct Ask {
    /// Lists the addresses of the service, in the order in which they are tried.
    pub addresses: Vec<SocketAddr>,
    /// Holds the call; its attempt is filled in by the ledger.
    pub call: Call,
    /// Gives the time after which the order is not sent any more.
    pub deadline: Instant,
    /// Identifies the method, path and body.
    pub digest: Digest,
    /// Names the order.
    pub key: CallKey,
    /// Bounds the exchange with the service.
    pub limits: Limits,
}

struct Driver {
    ask: Ask,
    context: Arc<Context>,
    ready: Option<PreparedCall>,
    tries: usize,
}

/// Runs the order to its end, whether or not the caller still waits.
pub async fn run(context: Arc<Context>, ask: Ask) -> Reply {
    let now = context.clock.now();
    let (key, digest) = (ask.key.clone(), ask.digest);
    let policy = Policy::default();
    let made = Order::new(now, key, digest, rand::random(), ask.deadline, policy);
    let (mut order, mut effect) = made;
    let mut driver = Driver {
        ask,
        context,
        ready: None,
        tries: 0,
    };
    loop {
        let event = match effect {
            Effect::Reply(reply) => {
                let name: &'static str = outcome(&reply);
                metrics::counter!(metric::ORDERS, "outcome" => name).increment(1);
                return reply;
            }
            effect => driver.act(effect).await,
        };
        let now = driver.context.clock.now();
        effect = match order.step(now, event) {
            // Each effect leads to an event that its stage waits for.
            None => Effect::Wait(0),
            Some(effect) => effect,
        };
    }
}

impl Driver {
    async fn act(&mut self, effect: Effect) -> Event {
        match effect {
            Effect::Begin(intent) => match self.context.voter.begin(intent).await {
                Err(_) => Event::BeginLost,
                Ok(decision) => Event::Begun(decision),
            },
            Effect::Connect(attempt) => self.connect(attempt).await,
            Effect::Finish(report) => match self.context.voter.finish(report).await {
                Err(_) => Event::FinishLost,
                Ok(_) => Event::Finished,
            },
            Effect::Send(_) => self.send().await,
            Effect::Reply(_) => Event::WaitElapsed,
            Effect::Wait(millis) => {
                tokio::time::sleep(Duration::from_millis(millis)).await;
                Event::WaitElapsed
            }
        }
    }

    async fn connect(&mut self, attempt: Attempt) -> Event {
        let addresses = &self.ask.addresses;
        let Some(address) = addresses.get(self.tries % addresses.len().max(1)) else {
            return Event::ConnectFailed;
        };
        self.tries += 1;
        let call = Call {
            attempt: attempt.0,
            ..self.ask.call.clone()
        };
        match PreparedCall::open(*address, call, self.ask.limits).await {
            Err(_) => Event::ConnectFailed,
            Ok(ready) => {
                self.ready = Some(ready);
                Event::Connected
            }
        }
    }

    async fn send(&mut self) -> Event {
        let Some(ready) = self.ready.take() else {
            return Event::SendFailed;
        };
        let left = self.ask.deadline.since(self.context.clock.now());
        match timeout(Duration::from_millis(left), ready.send()).await {
            Err(_) | Ok(Err(_)) => Event::SendFailed,
            Ok(Ok(answer)) => Event::Answered {
                not_run: answer.not_run,
                response: Response {
                    body: answer.body.to_vec(),
                    content_type: answer.content_type,
                    status: answer.status,
                },
            },
        }
    }
}

fn outcome(reply: &Reply) -> &'static str {
    match reply {
        Reply::Answer {
            replayed: false, ..
        } => "done",
        Reply::Answer { replayed: true, .. } => "replayed",
        Reply::Refused(refusal) => (*refusal).into(),
    }
}
