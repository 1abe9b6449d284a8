//! Finds the route of a request and the workspace of a key in a routed table.

use std::collections::HashMap;
use std::sync::Arc;

use crate::routing::Route;
use crate::routing::Service;
use crate::routing::Table;
use crate::routing::Workspace;

/// Holds a routed table with what is needed to look things up in it.
#[derive(Clone, Debug, Default)]
pub struct Index {
    keys: HashMap<[u8; 32], usize>,
    routes: HashMap<String, Vec<usize>>,
    services: HashMap<String, usize>,
    table: Arc<Table>,
}

impl Index {
    /// Returns an index of `table`.
    pub fn new(table: Arc<Table>) -> Self {
        let mut routes: HashMap<String, Vec<usize>> = HashMap::new();
        for (place, route) in table.routes.iter().enumerate() {
            let host = route.host.to_ascii_lowercase();
            routes.entry(host).or_default().push(place);
        }
        for places in routes.values_mut() {
            places.sort_by_key(|place| std::cmp::Reverse(table.routes[*place].prefix.len()));
        }
        let workspaces = table.workspaces.iter().enumerate();
        let keys = workspaces.flat_map(|(place, w)| w.keys.iter().map(move |key| (*key, place)));
        let services = table.services.iter().enumerate();
        let services = services.map(|(place, service)| (service.name.clone(), place));
        Self {
            keys: keys.collect(),
            routes,
            services: services.collect(),
            table: table.clone(),
        }
    }

    /// Returns the route with the longest prefix of `path` under `host`.
    pub fn route(&self, host: impl AsRef<str>, path: impl AsRef<str>) -> Option<&Route> {
        let host = host.as_ref();
        let places = match self.routes.get(host) {
            None => self.routes.get(&host.to_ascii_lowercase())?,
            Some(places) => places,
        };
        let mut routes = places.iter().map(|place| &self.table.routes[*place]);
        routes.find(|route| path.as_ref().starts_with(&route.prefix))
    }

    /// Returns the service of that name.
    pub fn service(&self, name: impl AsRef<str>) -> Option<&Service> {
        let place = self.services.get(name.as_ref())?;
        Some(&self.table.services[*place])
    }

    /// Returns the table.
    pub fn table(&self) -> &Arc<Table> {
        &self.table
    }

    /// Returns the workspace that holds `key`.
    pub fn workspace(&self, key: impl AsRef<[u8]>) -> Option<&Workspace> {
        let hash = *blake3::hash(key.as_ref()).as_bytes();
        let place = self.keys.get(&hash)?;
        Some(&self.table.workspaces[*place])
    }
}
