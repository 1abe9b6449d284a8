//! The routed table: which requests go to which service, for which callers and within what limits.
//!
//! An operator always replaces the whole table. The table with the highest version is in force.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use strum::Display;
use thiserror::Error;

/// Whether and how a request may be repeated.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[strum(serialize_all = "snake_case")]
pub enum Kind {
    /// A request may run more than once.
    Idempotent,
    /// A request may run at most once.
    Order,
    /// The answer is a stream of events, which may be resumed where the route says so.
    Stream,
}

/// A service that gets a share of a route's requests.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Target {
    /// Name of the service.
    pub service: String,
    /// Weight of the service relative to the other targets of the route.
    pub weight: u32,
}

/// A route: how requests under one host name and path prefix are served.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Route {
    /// Most upstreams on which a request may run.
    pub attempt_limit: u32,
    /// Longest pause between the events of an answer that counts as on time, in milliseconds.
    pub max_event_gap_ms: u64,
    /// Longest time to the first byte of an answer that counts as on time, in milliseconds.
    pub first_byte_goal_ms: u64,
    /// Host name of the requests.
    pub host: String,
    /// Whether and how the requests may be repeated.
    pub kind: Kind,
    /// Prefix of the paths of the requests.
    pub prefix: String,
    /// Whether the requests need no key.
    pub public: bool,
    /// Priority of the requests; 0 is the most urgent.
    pub rank: u32,
    /// Whether a broken stream may be resumed at another upstream.
    pub resumable: bool,
    /// The services that serve the requests.
    pub targets: Vec<Target>,
    /// Longest time to the end of an answer, in milliseconds.
    pub timeout_ms: u64,
}

impl Route {
    /// Returns whether a request may run again after a run whose outcome is unknown.
    pub fn is_repeatable(&self) -> bool {
        match self.kind {
            Kind::Idempotent => true,
            Kind::Order => false,
            Kind::Stream => self.resumable,
        }
    }
}

/// A service: a group of interchangeable upstreams.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Service {
    /// Most connections that one upstream accepts from all hosts together.
    pub connections: u32,
    /// Whether the upstreams are model engines.
    pub engine: bool,
    /// Number of tokens that fit into the memory of one engine, if known.
    pub memory_tokens: Option<u64>,
    /// Name of the service.
    pub name: String,
    /// Store in which the service keeps cached parts of prompts, if it has one.
    pub store: Option<Store>,
}

/// A store of cached parts of prompts.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Store {
    /// Address of the store.
    pub address: SocketAddr,
    /// Name of the store's failure domain.
    pub domain: String,
}

/// Unit in which an allotment counts.
#[derive(Clone, Copy, Debug, Default, Deserialize, Display, Eq, PartialEq, Serialize)]
#[strum(serialize_all = "snake_case")]
pub enum Unit {
    /// Each request counts as one.
    #[default]
    Requests,
    /// A request counts as the tokens of its prompt and of its longest answer.
    Tokens,
}

/// How much a workspace may use over all hosts together.
///
/// In any window, the requests that are sent to upstreams cost at most the rate times the window
/// and the burst.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Allotment {
    /// Units that may be used at once after a pause.
    pub burst: u64,
    /// Units that a request counts as which states no tokens.
    pub plain_cost: u64,
    /// Units a second.
    pub rate: u64,
    /// The unit.
    pub unit: Unit,
}

impl Allotment {
    /// Returns the units that a request counts as whose prompt and longest answer have `tokens`
    /// tokens together; 0 if it states none.
    pub fn cost(&self, tokens: u64) -> u64 {
        match (self.unit, tokens) {
            (Unit::Requests, _) => 1,
            (Unit::Tokens, 0) => self.plain_cost,
            (Unit::Tokens, tokens) => tokens,
        }
    }
}

/// A workspace: the callers who share keys.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Workspace {
    /// How much the workspace may use; without a limit if absent.
    pub allotment: Option<Allotment>,
    /// Whether cached prompts must not be shared with other workspaces.
    pub isolated: bool,
    /// BLAKE3 hashes of the keys.
    pub keys: Vec<[u8; 32]>,
    /// Name of the workspace.
    pub name: String,
    /// Priority of the workspace's requests; 0 is the most urgent.
    pub rank: u32,
}

/// Reason why a table is invalid.
#[derive(Clone, Debug, Error, Eq, PartialEq)]
pub enum TableError {
    /// Two workspaces have the same key.
    #[error("workspaces `{first}` and `{second}` share a key")]
    DuplicateKey {
        /// Name of one workspace.
        first: String,
        /// Name of the other.
        second: String,
    },
    /// Two routes have the same host name and prefix.
    #[error("two routes have host `{host}` and prefix `{prefix}`")]
    DuplicateRoute {
        /// Name of the host.
        host: String,
        /// The prefix.
        prefix: String,
    },
    /// The service of a target does not exist.
    #[error("route `{prefix}` names the unknown service `{service}`")]
    UnknownService {
        /// The prefix of the route.
        prefix: String,
        /// Name of the service.
        service: String,
    },
    /// The allotment of a workspace has a rate of zero, so that it would never recover.
    #[error("the allotment of workspace `{workspace}` has a rate of 0")]
    ZeroRate {
        /// Name of the workspace.
        workspace: String,
    },
    /// A route has a timeout of zero, so that every request would fail.
    #[error("route `{prefix}` has a timeout of 0 ms")]
    ZeroTimeout {
        /// The prefix of the route.
        prefix: String,
    },
    /// The weights of a route's targets add up to zero.
    #[error("the weights of route `{prefix}` add up to 0")]
    ZeroWeight {
        /// The prefix of the route.
        prefix: String,
    },
}

/// Routes, services and workspaces as of one version.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Table {
    /// The routes.
    pub routes: Vec<Route>,
    /// The services that serve the requests.
    pub services: Vec<Service>,
    /// Version of the table; a higher one replaces a lower one, and 0 means that no table was ever
    /// accepted.
    pub version: u64,
    /// The workspaces; with none at all, requests need no key.
    pub workspaces: Vec<Workspace>,
}

impl Table {
    /// Returns the allotments of the workspaces that have one, by name.
    pub fn allotments(&self) -> BTreeMap<String, Allotment> {
        let workspaces = self.workspaces.iter();
        workspaces
            .filter_map(|workspace| Some((workspace.name.clone(), workspace.allotment?)))
            .collect()
    }

    /// Returns the allotment of a workspace, if it has one.
    pub fn allotment(&self, workspace: &str) -> Option<Allotment> {
        let mut workspaces = self.workspaces.iter();
        workspaces.find(|w| w.name == workspace)?.allotment
    }

    /// Replaces the allotments of all workspaces; those that are not named get none.
    pub fn set_allotments(&mut self, allotments: &BTreeMap<String, Allotment>) {
        for workspace in &mut self.workspaces {
            workspace.allotment = allotments.get(&workspace.name).copied();
        }
    }

    /// Checks that the table is valid.
    ///
    /// # Errors
    ///
    /// Returns the first problem found.
    pub fn check(&self) -> Result<(), TableError> {
        let services: BTreeSet<&str> = self.services.iter().map(|s| s.name.as_str()).collect();
        let mut seen = BTreeSet::new();
        for route in &self.routes {
            route.check(&services)?;
            if !seen.insert((&route.host, &route.prefix)) {
                return Err(TableError::DuplicateRoute {
                    host: route.host.clone(),
                    prefix: route.prefix.clone(),
                });
            }
        }
        let mut holders: BTreeMap<&[u8; 32], &str> = BTreeMap::new();
        for workspace in &self.workspaces {
            workspace.check()?;
            for key in &workspace.keys {
                let previous = holders.insert(key, &workspace.name);
                if let Some(first) = previous.filter(|first| *first != workspace.name) {
                    return Err(TableError::DuplicateKey {
                        first: first.to_owned(),
                        second: workspace.name.clone(),
                    });
                }
            }
        }
        Ok(())
    }
}

impl Workspace {
    fn check(&self) -> Result<(), TableError> {
        match self.allotment {
            Some(allotment) if allotment.rate == 0 => Err(TableError::ZeroRate {
                workspace: self.name.clone(),
            }),
            Some(_) | None => Ok(()),
        }
    }
}

impl Route {
    fn check(&self, services: &BTreeSet<&str>) -> Result<(), TableError> {
        let prefix = self.prefix.clone();
        let unknown = self
            .targets
            .iter()
            .find(|target| !services.contains(target.service.as_str()));
        if let Some(target) = unknown {
            let service = target.service.clone();
            return Err(TableError::UnknownService { prefix, service });
        }
        let weight: u64 = self.targets.iter().map(|t| u64::from(t.weight)).sum();
        if weight == 0 {
            return Err(TableError::ZeroWeight { prefix });
        }
        match self.timeout_ms {
            0 => Err(TableError::ZeroTimeout { prefix }),
            _ => Ok(()),
        }
    }
}

/// The routing state that the log replicates.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RoutingState {
    /// The table as the operator sent it, for operators who read it back.
    pub source: Arc<String>,
    /// The table in force.
    #[serde(with = "crate::routing_layout")]
    pub table: Arc<Table>,
    /// The newest weights version of each model.
    pub weights_versions: BTreeMap<String, u64>,
}

impl RoutingState {
    /// Replaces the table if the new one has a higher version, and returns whether it did.
    pub fn replace(&mut self, source: Arc<String>, table: Arc<Table>) -> bool {
        let newer = table.version > self.table.version;
        if newer {
            self.source = source;
            self.table = table;
        }
        newer
    }

    /// Replaces the allotments of the table in force.
    pub fn set_allotments(&mut self, allotments: &BTreeMap<String, Allotment>) {
        Arc::make_mut(&mut self.table).set_allotments(allotments);
    }

    /// Raises the weights version that engines of `model` should serve; a lower one changes
    /// nothing.
    pub fn raise_weights_version(&mut self, model: impl Into<String>, version: u64) {
        let newest = self.weights_versions.entry(model.into()).or_default();
        *newest = version.max(*newest);
    }
}
