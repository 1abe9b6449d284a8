//! Reads cache events and load reports of the engines and feeds them to the broker.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::task::JoinSet;

use crate::context::Context;
use coordination::broker::Event;
use coordination::engine_load;
use coordination::liveness::Change as LivenessChange;
use coordination::liveness::Listed;
use coordination::liveness::Signal;
use coordination::liveness::Standing;
use coordination::liveness::Tracker;
use coordination::report::LoadReport;
use protocol::engine;
use protocol::platform;
use state::cache_directory::Batch;
use state::cache_directory::Change;
use state::cache_directory::Snapshot;
use state::column::Column;
use state::ident::Incarnation;
use state::row::Row;
use state::sheet::Sheet;
use state::table::Table;
use transport::engine::Client;
use transport::engine::Session;
use transport::upstream::Error;
use transport::upstream::Limits;

const ENGINE: &str = "engine";
/// Gives the time between two readings of one engine.
const INTERVAL: Duration = Duration::from_millis(50);
/// Bounds the exchanges with an engine; its whole cache has tens of thousands of blocks, each named
/// in about a hundred bytes.
const LIMITS: Limits = Limits {
    body_limit: 16 << 20,
    connect_timeout: Duration::from_millis(500),
    head_timeout: Duration::from_millis(1_000),
    idle_timeout: Duration::from_millis(1_000),
};
const OFF: &str = "off";

/// Reads the engines that this host owns until the daemon ends; `resyncs` names those whose whole
/// cache the broker needs.
pub async fn run(context: Arc<Context>, mut resyncs: mpsc::Receiver<String>) {
    let mut table = context.voter.table();
    let mut owned = context.broker.owned();
    let mut engines = Engines {
        context,
        feeds: BTreeMap::new(),
        tasks: JoinSet::new(),
    };
    loop {
        let current = table.borrow_and_update().clone();
        let mine = owned.borrow_and_update().clone();
        engines.sync(&current, &mine);
        tokio::select! {
            changed = table.changed() => {
                if changed.is_err() {
                    return;
                }
            }
            changed = owned.changed() => {
                if changed.is_err() {
                    return;
                }
            }
            Some(upstream) = resyncs.recv() => {
                if let Some(feed) = engines.feeds.get(&upstream) {
                    feed.resync.notify_one();
                }
            }
        }
    }
}

struct Engines {
    context: Arc<Context>,
    feeds: BTreeMap<String, Entry>,
    tasks: JoinSet<()>,
}

struct Entry {
    address: SocketAddr,
    resync: Arc<Notify>,
    task: tokio::task::AbortHandle,
}

impl Engines {
    fn sync(&mut self, table: &Table, owned: &BTreeSet<String>) {
        let rows = table.sheet(Sheet::Upstreams);
        let rows = rows.filter(|(name, _)| owned.contains(*name));
        let wanted = rows.filter_map(|(name, row)| Some((name, address(row)?)));
        let wanted: BTreeMap<&str, SocketAddr> = wanted.collect();
        self.feeds.retain(|name, entry| {
            let stays = wanted.get(name.as_str()) == Some(&entry.address);
            if !stays {
                entry.task.abort();
            }
            stays
        });
        while self.tasks.try_join_next().is_some() {}
        for (name, address) in wanted {
            if !self.feeds.contains_key(name) {
                let entry = self.start(name, address);
                self.feeds.insert(name.to_owned(), entry);
            }
        }
    }

    fn start(&mut self, name: &str, address: SocketAddr) -> Entry {
        let resync = Arc::new(Notify::new());
        let feed = Feed {
            address: address.ip(),
            after: 0,
            context: self.context.clone(),
            incarnation: None,
            listed: false,
            resync: resync.clone(),
            serving: true,
            session: Session::new(Client::new(address, LIMITS)),
            told: None,
            tracker: Tracker::default(),
            upstream: name.to_owned(),
        };
        let task = self.tasks.spawn(feed.run());
        Entry {
            address,
            resync,
            task,
        }
    }
}

struct Feed {
    address: IpAddr,
    after: u64,
    context: Arc<Context>,
    incarnation: Option<Incarnation>,
    listed: bool,
    resync: Arc<Notify>,
    serving: bool,
    session: Session,
    told: Option<engine_load::Standing>,
    tracker: Tracker,
    upstream: String,
}

impl Feed {
    async fn run(mut self) {
        let mut whole = true;
        loop {
            let read = match whole {
                false => self.read().await,
                true => self.read_whole().await,
            };
            if read.is_err() {
                self.hear(Signal::Failed);
            }
            self.read_listing();
            let resync = self.resync.clone();
            whole = tokio::select! {
                () = resync.notified() => true,
                () = tokio::time::sleep(INTERVAL) => false,
            };
        }
    }

    async fn read(&mut self) -> Result<(), Error> {
        let load = self.session.load().await?;
        let incarnation = load.incarnation;
        self.serving = load.serving;
        self.hear(Signal::Answered {
            incarnation,
            leaving: false,
        });
        self.tell(Event::Load {
            report: sample(load),
            upstream: self.upstream.clone(),
        });
        self.context.health.observe(&self.upstream, incarnation);
        if self.incarnation != Some(incarnation) {
            return self.read_whole().await;
        }
        let events = self.session.events(self.after).await?;
        if events.incarnation == incarnation {
            self.pass_on(&events);
        }
        Ok(())
    }

    async fn read_whole(&mut self) -> Result<(), Error> {
        let snapshot = self.session.snapshot().await?;
        self.after = snapshot.seq;
        self.incarnation = Some(snapshot.incarnation);
        let version = &snapshot.version;
        let blocks = snapshot
            .blocks
            .iter()
            .map(|b| b.block.with_version(version));
        self.tell(Event::Snapshot {
            snapshot: Snapshot {
                blocks: blocks.collect(),
                incarnation: snapshot.incarnation,
                sequence: snapshot.seq,
                version: version.clone(),
            },
            upstream: self.upstream.clone(),
        });
        Ok(())
    }

    /// Passes changes on in runs without holes, so that the directory sees each hole.
    fn pass_on(&mut self, events: &engine::Events) {
        let runs = events.events.chunk_by(|a, b| a.seq + 1 == b.seq);
        for run in runs {
            let changes = run.iter().filter_map(|e| change(e, &events.version));
            self.tell(Event::Cache {
                batch: Batch {
                    changes: changes.collect(),
                    incarnation: events.incarnation,
                    sequence: run[0].seq - 1,
                    version: events.version.clone(),
                },
                upstream: self.upstream.clone(),
            });
        }
        self.after = events.newest.max(self.after);
    }

    fn hear(&mut self, signal: Signal) {
        for change in self.tracker.step(signal) {
            let LivenessChange::StandingChanged { to, .. } = change else {
                continue;
            };
            if to == Standing::Down {
                self.incarnation = None;
            }
        }
        self.stand();
    }

    /// Tells the broker whether the engine may get new work, where that changed; an engine that
    /// loads weights gets none.
    fn stand(&mut self) {
        let standing = match standing(self.tracker.standing()) {
            Some(engine_load::Standing::Usable) if !self.serving => engine_load::Standing::Leaving,
            Some(standing) => standing,
            None => return,
        };
        if self.told.replace(standing) != Some(standing) {
            self.tell(Event::Standing {
                standing,
                upstream: self.upstream.clone(),
            });
        }
    }

    /// Hears what the platform says. A host that it never named may be new to a list that lags, and
    /// one that is missing may have a malformed entry.
    fn read_listing(&mut self) {
        let listing = self.context.platform.borrow().clone();
        let listed = match listing.standing(self.address) {
            None if !self.listed || listing.malformed > 0 => return,
            None => Listed::Gone,
            Some(platform::Standing::Leaving) => Listed::Leaving,
            Some(platform::Standing::Live) => Listed::Live,
        };
        self.listed = true;
        self.hear(Signal::Listed {
            edition: listing.edition,
            listed,
        });
    }

    fn tell(&self, event: Event) {
        let _ = self.context.broker.feed(event);
    }
}

fn address(row: &Row) -> Option<SocketAddr> {
    let reads = row.text(Column::Type) == Some(ENGINE) && row.text(Column::Standing) != Some(OFF);
    reads.then(|| row.address(Column::Address))?
}

fn change(event: &engine::Event, version: &str) -> Option<Change> {
    let block = event.block.map(|block| block.with_version(version));
    match event.change {
        engine::Change::Cleared => Some(Change::Cleared),
        engine::Change::Evicted => block.map(Change::Removed),
        engine::Change::Stored => block.map(Change::Stored),
    }
}

fn sample(load: engine::Load) -> LoadReport {
    let narrow = |number: u64| u32::try_from(number).unwrap_or(u32::MAX);
    LoadReport {
        age_ms: load.age_ms,
        queued_background_tokens: load.queued_background_tokens,
        incarnation: load.incarnation,
        prefill_rate: narrow(load.prefill_rate),
        running: narrow(load.running + load.waiting),
        slots: narrow(load.slots),
        queued_urgent_tokens: load.queued_urgent_tokens,
        version: load.version,
    }
}

/// Returns the broker's word for a standing, where the broker is to be told of it.
fn standing(standing: Standing) -> Option<engine_load::Standing> {
    match standing {
        Standing::Down => Some(engine_load::Standing::Dead),
        Standing::Leaving => Some(engine_load::Standing::Leaving),
        Standing::Serving => Some(engine_load::Standing::Usable),
        Standing::Suspect => Some(engine_load::Standing::Ejected),
        Standing::Unknown => None,
    }
}
