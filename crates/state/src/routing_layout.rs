//! Layout of the routed table in log entries and snapshots, which has no allotments.
//!
//! Data folders of versions that knew none have to stay readable, so what was added to the table
//! later is stored apart from this.

use std::sync::Arc;

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;

use crate::routing;
use crate::routing::Route;
use crate::routing::Service;

/// A workspace without its allotment.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Workspace {
    isolated: bool,
    keys: Vec<[u8; 32]>,
    name: String,
    rank: u32,
}

/// A table without allotments.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Table {
    routes: Vec<Route>,
    services: Vec<Service>,
    version: u64,
    workspaces: Vec<Workspace>,
}

impl From<&routing::Table> for Table {
    fn from(table: &routing::Table) -> Self {
        let workspaces = table.workspaces.iter().map(|workspace| Workspace {
            isolated: workspace.isolated,
            keys: workspace.keys.clone(),
            name: workspace.name.clone(),
            rank: workspace.rank,
        });
        Self {
            routes: table.routes.clone(),
            services: table.services.clone(),
            version: table.version,
            workspaces: workspaces.collect(),
        }
    }
}

impl From<Table> for routing::Table {
    fn from(table: Table) -> Self {
        let workspaces = table.workspaces.into_iter();
        let workspaces = workspaces.map(|workspace| routing::Workspace {
            allotment: None,
            isolated: workspace.isolated,
            keys: workspace.keys,
            name: workspace.name,
            rank: workspace.rank,
        });
        Self {
            routes: table.routes,
            services: table.services,
            version: table.version,
            workspaces: workspaces.collect(),
        }
    }
}

/// Serializes a table without its allotments.
///
/// # Errors
///
/// Returns the error of the serializer.
pub fn serialize<S: Serializer>(
    table: &Arc<routing::Table>,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    Table::from(&**table).serialize(serializer)
}

/// Deserializes a table that has no allotments.
///
/// # Errors
///
/// Returns the error of the deserializer.
pub fn deserialize<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Arc<routing::Table>, D::Error> {
    Ok(Arc::new(Table::deserialize(deserializer)?.into()))
}
