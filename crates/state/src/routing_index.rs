//! Lookup of the route of a request and of the workspace of a key in a routed table.

use std::collections::HashMap;
use std::sync::Arc;

use crate::routing::Route;
use crate::routing::Service;
use crate::routing::Table;
use crate::routing::Workspace;

/// A routed table with hash maps for lookup.
#[derive(Clone, Debug, Default)]
pub struct RoutingIndex {
    keys: HashMap<[u8; 32], usize>,
    routes: HashMap<String, Vec<usize>>,
    services: HashMap<String, usize>,
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
        let workspaces = table.workspaces.iter().enumerate();
        let keys = workspaces.flat_map(|(index, w)| w.keys.iter().map(move |key| (*key, index)));
        let services = table.services.iter().enumerate();
        let services = services.map(|(index, service)| (service.name.clone(), index));
        Self {
            keys: keys.collect(),
            routes,
            services: services.collect(),
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
