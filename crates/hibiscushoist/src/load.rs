//! The command `load`.

use std::io::Write;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use error_stack::Report;
use tokio::sync::Mutex;
use tokio::sync::Semaphore;
use tokio::sync::mpsc;
use tokio::time::sleep_until;

use crate::arguments::Arguments;
use crate::caller::Caller;
use crate::caller::Outcome;
use crate::client::Client;
use crate::credential::Credential;
use crate::error::Error;
use crate::mix;
use crate::mix::Draw;
use crate::mix::Mix;
use crate::progress::Progress;
use crate::report;
use crate::route;
use crate::table::json;
use crate::tally::Group;
use crate::tally::Tally;
use crate::write;
use protocol::address::AddressList;

const DEFAULT_WORKSPACE: &str = "default";
const MICROS_PER_MILLI: u64 = 1000;
const OUTCOMES: usize = 1024;
const USAGE: &str = "load --model NAME [options]; see `hibiscushoist help load`";

/// Holds what a run does.
#[derive(Debug)]
struct Plan {
    caller: Caller,
    count: u64,
    duration: Duration,
    in_flight: usize,
    mix: mix::Name,
    rate: f64,
    scale_percent: usize,
    seed: u64,
    target_us: u64,
    workspaces: Vec<Arc<Workspace>>,
}

#[derive(Debug)]
struct Workspace {
    client: Client,
    credential: Credential,
    kept: Mutex<Option<Kept>>,
    name: String,
}

#[derive(Debug)]
struct Kept {
    addresses: Vec<SocketAddr>,
    until: Instant,
}

#[derive(Debug)]
struct Answered {
    group: Group,
    outcome: Outcome,
}

/// Sends traffic until the time or the count is up and prints the report.
///
/// # Errors
///
/// Returns an error for options that do not fit, and when no server lists its addresses.
pub async fn run(words: &[String], out: &mut impl Write) -> Result<(), Report<Error>> {
    let arguments = Arguments::parse(words, |options| {
        options
            .optopt("", "count", "bounds the requests", "NUMBER")
            .optopt("", "deadline", "is sent with each request", "MS")
            .optopt("", "duration", "bounds the time", "SECONDS")
            .optopt("", "in-flight", "bounds the requests at once", "NUMBER")
            .optopt("", "mix", "names the mix", "NAME")
            .optopt("", "model", "names the model", "NAME")
            .optopt("", "rate", "sets the requests a second", "NUMBER")
            .optopt("", "scale", "scales the prompts", "PERCENT")
            .optopt("", "seed", "seeds the draws", "NUMBER")
            .optopt("", "target", "sets the first-token target", "MS")
            .optmulti("", "workspace", "adds a workspace", "NAME=FILE");
    })?;
    arguments.words(0..=0, USAGE)?;
    let plan = Plan::read(&arguments)?;
    for workspace in &plan.workspaces {
        workspace.refresh().await?;
    }
    let report = plan.drive().await;
    match arguments.json() {
        true => write(out, &json(&report)),
        false => write(out, &report.text()),
    }
}

impl Plan {
    fn read(arguments: &Arguments) -> Result<Self, Report<Error>> {
        let usage = || Error::Usage {
            usage: USAGE.to_owned(),
        };
        let model = arguments.text("model").ok_or_else(usage)?;
        let mix = arguments.text("mix").unwrap_or_else(|| "sabaha".to_owned());
        let deadline_ms = arguments.number("deadline", 1..=86_400_000, 30_000)?;
        Ok(Self {
            caller: Caller::new(model, deadline_ms),
            count: arguments.number("count", 1..=100_000_000, 1000)?,
            duration: Duration::from_secs(arguments.number("duration", 1..=86_400, 10)?),
            in_flight: arguments.number("in-flight", 1..=100_000, 256)? as usize,
            mix: mix.parse().map_err(|_| usage())?,
            rate: arguments.number("rate", 1..=100_000, 10)? as f64,
            scale_percent: arguments.number("scale", 1..=1000, 100)? as usize,
            seed: arguments.number("seed", 0..=u64::MAX, 1)?,
            target_us: arguments.number("target", 1..=3_600_000, 330)? * MICROS_PER_MILLI,
            workspaces: workspaces(arguments)?,
        })
    }

    async fn drive(self) -> report::Report {
        let started = Instant::now();
        let (sender, receiver) = mpsc::channel(OUTCOMES);
        let collector = tokio::spawn(collect(receiver, self.target_us));
        let skipped = self.send(started, sender).await;
        let tally = collector.await.expect("the collector does not panic");
        let run = report::Run {
            elapsed_s: started.elapsed().as_secs_f64(),
            mix: self.mix,
            seed: self.seed,
            skipped,
        };
        let names = self.workspaces.iter().map(|w| w.name.clone());
        report::Report::new(run, &tally, &names.collect::<Vec<_>>())
    }

    async fn send(&self, started: Instant, sender: mpsc::Sender<Answered>) -> u64 {
        let slots = Arc::new(Semaphore::new(self.in_flight));
        let mut mix = Mix::new(self.mix, self.seed, self.scale_percent);
        let mut skipped = 0;
        let mut due = Duration::ZERO;
        for _ in 0..self.count {
            due += Duration::from_secs_f64(mix.pause(self.rate));
            if due >= self.duration {
                break;
            }
            let draw = mix.draw(self.workspaces.len());
            sleep_until((started + due).into()).await;
            let Ok(slot) = Arc::clone(&slots).try_acquire_owned() else {
                skipped += 1;
                continue;
            };
            let call = call(
                self.caller.clone(),
                Arc::clone(&self.workspaces[draw.workspace]),
                draw,
                sender.clone(),
            );
            tokio::spawn(async move {
                call.await;
                drop(slot);
            });
        }
        skipped
    }
}

async fn call(
    caller: Caller,
    workspace: Arc<Workspace>,
    draw: Draw,
    sender: mpsc::Sender<Answered>,
) {
    let addresses = workspace.addresses().await;
    let outcome = caller.call(&addresses, &workspace.credential, &draw).await;
    let group = Group {
        rank: draw.work.rank,
        workspace: draw.workspace,
    };
    let _ = sender.send(Answered { group, outcome }).await;
}

async fn collect(mut receiver: mpsc::Receiver<Answered>, target_us: u64) -> Tally {
    let mut progress = Progress::default();
    let mut tally = Tally::default();
    while let Some(answered) = receiver.recv().await {
        tally.record(answered.group, &answered.outcome, target_us);
        progress.show(|| {
            let total = tally.total(|_| true);
            format!("{} answered, {} whole", total.sent, total.done)
        });
    }
    progress.clear();
    tally
}

impl Workspace {
    async fn addresses(&self) -> Vec<SocketAddr> {
        let mut kept = self.kept.lock().await;
        let fresh = kept.as_ref().filter(|kept| Instant::now() < kept.until);
        if fresh.is_none()
            && let Ok(listed) = self.list().await
        {
            *kept = Some(listed);
        }
        kept.as_ref()
            .map(|kept| kept.addresses.clone())
            .unwrap_or_default()
    }

    async fn refresh(&self) -> Result<(), Report<Error>> {
        *self.kept.lock().await = Some(self.list().await?);
        Ok(())
    }

    async fn list(&self) -> Result<Kept, Report<Error>> {
        let listing = self.client.get::<AddressList>(route::ADDRESSES).await?;
        Ok(Kept {
            addresses: listing.addresses,
            until: Instant::now() + Duration::from_millis(listing.lifetime_ms),
        })
    }
}

fn workspaces(arguments: &Arguments) -> Result<Vec<Arc<Workspace>>, Report<Error>> {
    let servers = arguments.servers()?;
    let new = |name: &str, credential: Credential| {
        Arc::new(Workspace {
            client: Client::new(servers.clone(), credential.clone()),
            credential,
            kept: Mutex::new(None),
            name: name.to_owned(),
        })
    };
    let given = arguments.texts("workspace");
    if given.is_empty() {
        let credential = arguments.credential()?;
        return Ok(vec![new(DEFAULT_WORKSPACE, credential)]);
    }
    let read = |text: &String| {
        let usage = USAGE.to_owned();
        let (name, file) = text.split_once('=').ok_or(Error::Usage { usage })?;
        Ok(new(name, Credential::from_file(file)?))
    };
    given.iter().map(read).collect()
}
