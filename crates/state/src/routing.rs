//! The routed table: which requests go to which service, for whom and within what limits.
//!
//! An operator replaces it whole. Its version orders replacements; the highest one holds.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use strum::Display;
use thiserror::Error;

/// Tells what may be repeated of a request.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[strum(serialize_all = "snake_case")]
pub enum Kind {
    /// Means that a request may run more than once.
    Idempotent,
    /// Means that a request may run at most once.
    Order,
    /// Means that the answer is a stream of events, which may be resumed where the route says so.
    Stream,
}

/// Sends a share of a route's requests to a service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Target {
    /// Names the service.
    pub service: String,
    /// Weighs the service against the other targets of the route.
    pub weight: u32,
}

/// Describes the requests under one host name and path prefix.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Route {
    /// Bounds the upstreams on which a request may run.
    pub attempt_limit: u32,
    /// Gives the longest pause between events of an answer that is on time, in milliseconds.
    pub max_event_gap_ms: u64,
    /// Gives the time to the first byte of an answer that is on time, in milliseconds.
    pub first_byte_goal_ms: u64,
    /// Names the host that callers ask for.
    pub host: String,
    /// Tells what may be repeated.
    pub kind: Kind,
    /// Begins the paths of the route's requests.
    pub prefix: String,
    /// Tells whether requests need no key.
    pub public: bool,
    /// Ranks the requests; 0 is the most urgent.
    pub rank: u32,
    /// Tells whether a broken stream may go on at another upstream.
    pub resumable: bool,
    /// Lists the services.
    pub targets: Vec<Target>,
    /// Bounds the time to the end of an answer, in milliseconds.
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

/// Describes the upstreams that share one job.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Service {
    /// Bounds the connections that one upstream accepts from all hosts together.
    pub connections: u32,
    /// Tells whether the upstreams are model engines.
    pub engine: bool,
    /// Counts the tokens that the memory of one engine holds, where that is known.
    pub memory_tokens: Option<u64>,
    /// Names the service.
    pub name: String,
    /// Tells where the service keeps cached parts of prompts, where that is its job.
    pub store: Option<Store>,
}

/// Places a store of cached parts of prompts.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Store {
    /// Holds its address.
    pub address: SocketAddr,
    /// Names its failure domain.
    pub domain: String,
}

/// Describes the callers who share keys.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Workspace {
    /// Tells whether cached prompts must not be shared with other workspaces.
    pub isolated: bool,
    /// Holds the BLAKE3 hashes of the keys.
    pub keys: Vec<[u8; 32]>,
    /// Names the workspace.
    pub name: String,
    /// Ranks its requests; 0 is the most urgent.
    pub rank: u32,
}

/// Tells why a table cannot come into force.
#[derive(Clone, Debug, Error, Eq, PartialEq)]
pub enum TableError {
    /// Reports a key that two workspaces hold.
    #[error("workspaces `{first}` and `{second}` share a key")]
    DuplicateKey {
        /// Names one workspace.
        first: String,
        /// Names the other.
        second: String,
    },
    /// Reports two routes for the same requests.
    #[error("two routes have host `{host}` and prefix `{prefix}`")]
    DuplicateRoute {
        /// Names the host.
        host: String,
        /// Gives the prefix.
        prefix: String,
    },
    /// Reports a target that does not exist.
    #[error("route `{prefix}` names the unknown service `{service}`")]
    UnknownService {
        /// Gives the prefix of the route.
        prefix: String,
        /// Names the service.
        service: String,
    },
    /// Reports a route that no request could ever be served by.
    #[error("route `{prefix}` has a timeout of 0 ms")]
    ZeroTimeout {
        /// Gives the prefix of the route.
        prefix: String,
    },
    /// Reports a route whose weights add up to nothing.
    #[error("the weights of route `{prefix}` add up to 0")]
    ZeroWeight {
        /// Gives the prefix of the route.
        prefix: String,
    },
}

/// Holds routes, services and workspaces as of one version.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Table {
    /// Lists the routes.
    pub routes: Vec<Route>,
    /// Lists the services.
    pub services: Vec<Service>,
    /// Orders the tables; 0 means that none was ever accepted.
    pub version: u64,
    /// Lists the workspaces; with none at all, requests need no key.
    pub workspaces: Vec<Workspace>,
}

impl Table {
    /// Checks that the table can come into force.
    ///
    /// # Errors
    ///
    /// Returns the first fault found.
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

/// Holds the routed state that the log replicates.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RoutingState {
    /// Holds the operator's text of the table, for operators who read it back.
    pub source: Arc<String>,
    /// Holds the table in force.
    pub table: Arc<Table>,
    /// Gives the newest weights version of each model.
    pub weights_versions: BTreeMap<String, u64>,
}

impl RoutingState {
    /// Takes a table unless the one in force is as new, and returns whether it took it.
    pub fn replace(&mut self, source: Arc<String>, table: Arc<Table>) -> bool {
        let newer = table.version > self.table.version;
        if newer {
            self.source = source;
            self.table = table;
        }
        newer
    }

    /// Names the weights version that engines of `model` should have; an older one changes nothing.
    pub fn raise_weights_version(&mut self, model: impl Into<String>, version: u64) {
        let newest = self.weights_versions.entry(model.into()).or_default();
        *newest = version.max(*newest);
    }
}
