//! Lookup of the route of a request and of the workspace of a key in a routed table.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;

use crate::routing::Route;
use crate::routing::Service;
use crate::routing::Table;
use crate::routing::Workspace;

/// Bytes of the hash of the isolated workspaces that make up the ID of the shared scope.
const SCOPE_ID_BYTES: usize = 8;

/// A routed table with hash maps for lookup.
#[derive(Clone, Debug, Default)]
pub struct RoutingIndex {
    keys: HashMap<[u8; 32], usize>,
    /// Rank of the most urgent route of each service.
    most_urgent: HashMap<String, u32>,
    routes: HashMap<String, Vec<usize>>,
    services: HashMap<String, usize>,
    shared_scope: Option<String>,
    table: Arc<Table>,
}

impl RoutingIndex {
    /// Returns an index of `table`.
    pub fn new(table: Arc<Table>) -> Self {
        let mut routes: HashMap<String, Vec<usize>> = HashMap::new();
        for (index, route) in table.routes.iter().enumerate() {
            let host = route.host.to_ascii_lowercase();
            routes.entry(host).or_default().push(index);
        }
        for indices in routes.values_mut() {
            indices.sort_by_key(|index| std::cmp::Reverse(table.routes[*index].prefix.len()));
        }
        let mut most_urgent: HashMap<String, u32> = HashMap::new();
        for route in &table.routes {
            for target in &route.targets {
                let rank = most_urgent
                    .entry(target.service.clone())
                    .or_insert(u32::MAX);
                *rank = route.rank.min(*rank);
            }
        }
        let workspaces = table.workspaces.iter().enumerate();
        let keys = workspaces.flat_map(|(index, w)| w.keys.iter().map(move |key| (*key, index)));
        let services = table.services.iter().enumerate();
        let services = services.map(|(index, service)| (service.name.clone(), index));
        Self {
            keys: keys.collect(),
            most_urgent,
            routes,
            services: services.collect(),
            shared_scope: shared_scope(&table),
            table: table.clone(),
        }
    }

    /// Returns the route of `host` with the longest prefix that `path` starts with.
    pub fn route(&self, host: impl AsRef<str>, path: impl AsRef<str>) -> Option<&Route> {
        let host = host.as_ref();
        let indices = match self.routes.get(host) {
            None => self.routes.get(&host.to_ascii_lowercase())?,
            Some(indices) => indices,
        };
        let mut routes = indices.iter().map(|index| &self.table.routes[*index]);
        routes.find(|route| path.as_ref().starts_with(&route.prefix))
    }

    /// Returns the ID of the scope in which requests of `workspace` share cached parts of prompts,
    /// or `None` if all requests share them.
    ///
    /// An isolated workspace has a scope of its own. The others share one that belongs to the set
    /// of isolated workspaces, so that it holds nothing that one of those left before it was
    /// isolated.
    pub fn cache_scope(&self, workspace: Option<&Workspace>) -> Option<String> {
        let isolated = workspace.filter(|workspace| {
            let mut listed = self.table.workspaces.iter();
            let listed = listed.find(|listed| listed.name == workspace.name);
            listed.unwrap_or(workspace).isolated
        });
        match isolated {
            None => self.shared_scope.clone(),
            Some(workspace) => Some(format!("-{}", workspace.name)),
        }
    }

    /// Returns whether a route is patient at one of its services: whether the table ranks another
    /// route of that service before it.
    pub fn is_patient(&self, route: &Route, service: impl AsRef<str>) -> bool {
        let most_urgent = self.most_urgent.get(service.as_ref());
        most_urgent.is_some_and(|rank| *rank < route.rank)
    }

    /// Returns the service of that name.
    pub fn service(&self, name: impl AsRef<str>) -> Option<&Service> {
        let index = self.services.get(name.as_ref())?;
        Some(&self.table.services[*index])
    }

    /// Returns the table of this index.
    pub fn table(&self) -> &Arc<Table> {
        &self.table
    }

    /// Returns the workspace that `key` belongs to.
    pub fn workspace(&self, key: impl AsRef<[u8]>) -> Option<&Workspace> {
        let hash = *blake3::hash(key.as_ref()).as_bytes();
        let index = self.keys.get(&hash)?;
        Some(&self.table.workspaces[*index])
    }
}

/// Returns the ID of the scope of the workspaces that are not isolated, if any workspace is.
fn shared_scope(table: &Table) -> Option<String> {
    let isolated = table.workspaces.iter().filter(|w| w.isolated);
    let isolated: BTreeSet<&str> = isolated.map(|w| w.name.as_str()).collect();
    if isolated.is_empty() {
        return None;
    }
    let mut hasher = blake3::Hasher::new();
    for name in isolated {
        hasher.update(&(name.len() as u64).to_le_bytes());
        hasher.update(name.as_bytes());
    }
    let hash = hasher.finalize();
    let bytes = hash.as_bytes()[..SCOPE_ID_BYTES].iter();
    let id: String = bytes.map(|byte| format!("{byte:02x}")).collect();
    Some(format!("+{id}"))
}
